package peer

import (
	"math"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/peer/peerv1"
	"github.com/jasminevane/jasminevane/quota"
	"github.com/matryer/is"
)

// TestAllotOnTheWire guards against fields that are lost between nodes, and against a short time to retry that becomes none.
func TestAllotOnTheWire(t *testing.T) {
	is := is.New(t)
	ask := quota.Ask{Caller: "c", Node: "n", Wanted: 3, Used: -2, Relayed: true}
	is.Equal(quotaAsk(askProto(ask)), ask)
	grant := quota.Grant{Tokens: 3, Allowance: 4, TTL: 2 * time.Second, RetryAfter: 250 * time.Millisecond}
	is.Equal(quotaGrant(grantProto(grant)), grant)
	is.Equal(quotaGrant(grantProto(quota.Grant{RetryAfter: time.Microsecond})).RetryAfter, time.Millisecond)
}

// TestAllotOfAFaultyNode guards against a number of another node that no bucket recovers from.
func TestAllotOfAFaultyNode(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		is := is.New(t)
		is.Equal(quotaAsk(&peerv1.AllotRequest{Want: v, Used: v}), quota.Ask{})
		is.Equal(quotaGrant(&peerv1.AllotResponse{Granted: v, Allowance: v}), quota.Grant{})
	}
	is.New(t).Equal(quotaAsk(&peerv1.AllotRequest{Want: -1}).Wanted, 0.0)
}
