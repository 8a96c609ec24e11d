package peer

import (
	"time"

	"github.com/jasminevane/jasminevane/peer/peerv1"
	"github.com/jasminevane/jasminevane/quota"
)

func askProto(a quota.Ask) *peerv1.AllotRequest {
	return &peerv1.AllotRequest{Caller: a.Caller, Node: a.Node, Want: a.Wanted, Used: a.Used, Relayed: a.Relayed}
}

func quotaAsk(m *peerv1.AllotRequest) quota.Ask {
	return quota.Ask{Caller: m.GetCaller(), Node: m.GetNode(), Wanted: m.GetWant(), Used: m.GetUsed(), Relayed: m.GetRelayed()}
}

func grantProto(g quota.Grant) *peerv1.AllotResponse {
	return &peerv1.AllotResponse{Granted: g.Tokens, Allowance: g.Allowance, TtlMs: milliseconds(g.TTL), RetryMs: milliseconds(g.RetryAfter)}
}

func quotaGrant(m *peerv1.AllotResponse) quota.Grant {
	return quota.Grant{
		Tokens:     m.GetGranted(),
		Allowance:  m.GetAllowance(),
		TTL:        time.Duration(m.GetTtlMs()) * time.Millisecond,
		RetryAfter: time.Duration(m.GetRetryMs()) * time.Millisecond,
	}
}

// milliseconds rounds up: a time to retry that became 0 would mean that there is no need to wait.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
