package quota_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/quota"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// TestLimitHoldsOverAllNodes spreads the requests of one caller over many nodes in random patterns and checks that together they admit
// no more than the caller's limit and burst, plus one initial token per node.
func TestLimitHoldsOverAllNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiterCount := rapid.IntRange(1, 20).Draw(t, "doors")
		rate := float64(rapid.IntRange(5, 200).Draw(t, "rate"))
		burst := rate / 5
		limiters, allocator := make([]quota.Limiter, limiterCount), quota.Allocator{}
		now, admitted := epoch, 0
		for range rapid.IntRange(100, 1500).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			limiter := &limiters[rapid.IntRange(0, limiterCount-1).Draw(t, "door")]
			ok, req := limiter.Admit(now, "c")
			if ok {
				admitted++
			}
			if req != nil {
				limiter.ApplyGrant(now, *req, allocator.Grant(now, "c", rate, burst, req.RequestedTokens, req.UngrantedRequests))
			}
		}
		elapsedSeconds := now.Sub(epoch).Seconds()
		if maxAdmitted := rate*elapsedSeconds + burst + float64(limiterCount) + 1; float64(admitted) > maxAdmitted {
			t.Fatalf("%d requests admitted in %.1fs, want at most %.0f", admitted, elapsedSeconds, maxAdmitted)
		}
	})
}

func TestGreedyCallerGetsItsLimit(t *testing.T) {
	is := is.New(t)
	const rate, limiterCount = 100.0, 25
	limiters, allocator := make([]quota.Limiter, limiterCount), quota.Allocator{}
	admitted, now := 0, epoch
	for i := range 20000 {
		now = now.Add(time.Millisecond)
		limiter := &limiters[i%limiterCount]
		ok, req := limiter.Admit(now, "greedy")
		if ok {
			admitted++
		}
		if req != nil {
			limiter.ApplyGrant(now, *req, allocator.Grant(now, "greedy", rate, 20, req.RequestedTokens, req.UngrantedRequests))
		}
	}
	limitRatio := float64(admitted) / 20 / rate
	is.True(limitRatio > 0.9 && limitRatio < 1.1) // within 10% of the limit
}

func TestNodesKeepTheirShareWithoutHomeNode(t *testing.T) {
	is := is.New(t)
	var limiter quota.Limiter
	admitted, now := 0, epoch
	for range 10000 {
		now = now.Add(time.Millisecond)
		ok, req := limiter.Admit(now, "c")
		if ok {
			admitted++
		}
		if req != nil {
			limiter.ApplyFailure(now, *req, 10)
		}
	}
	is.True(admitted > 80 && admitted < 130) // the node's share is 10 requests per second, over 10 s
}
