package peer

import (
	"math"
	"time"

	"github.com/jasminevane/jasminevane/peer/peerv1"
	"github.com/jasminevane/jasminevane/quota"
)

func askProto(a quota.Ask) *peerv1.AllotRequest {
	return &peerv1.AllotRequest{Caller: a.Caller, Node: a.Node, Want: a.Wanted, Used: a.Used, Relayed: a.Relayed}
}

func quotaAsk(m *peerv1.AllotRequest) quota.Ask {
	return quota.Ask{Caller: m.GetCaller(), Node: m.GetNode(), Wanted: max(0, finite(m.GetWant())), Used: finite(m.GetUsed()), Relayed: m.GetRelayed()}
}

func grantProto(g quota.Grant) *peerv1.AllotResponse {
	return &peerv1.AllotResponse{Granted: g.Tokens, Allowance: g.Allowance, TtlMs: milliseconds(g.TTL), RetryMs: milliseconds(g.RetryAfter)}
}

func quotaGrant(m *peerv1.AllotResponse) quota.Grant {
	return quota.Grant{
		Tokens:     max(0, finite(m.GetGranted())),
		Allowance:  max(0, finite(m.GetAllowance())),
		TTL:        time.Duration(m.GetTtlMs()) * time.Millisecond,
		RetryAfter: time.Duration(m.GetRetryMs()) * time.Millisecond,
	}
}

// finite returns v, or 0 for a value that would spoil a bucket for good.
func finite(v float64) float64 {
	if math.IsNaN(v) || math.IsInf(v, 0) {
		return 0
	}
	return v
}

// milliseconds rounds up: a time to retry that became 0 would mean that there is no need to wait.
func milliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
