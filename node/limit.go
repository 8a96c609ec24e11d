package node

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/quota"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

const tokenRequestTimeout = 400 * time.Millisecond

// rateLimits holds the rate limits of callers and of the traffic to other regions.
type rateLimits struct {
	mu        sync.Mutex
	limiter   *quota.Limiter
	allocator *quota.Allocator
	link      *rate.Limiter // bytes to other regions; nil for no limit
}

// Admit implements caller.Fleet.
func (n *Node) Admit(r *caller.Request) error {
	c := n.Bundle().Caller(r.Caller)
	if c == nil {
		return nil
	}
	n.limits.mu.Lock()
	ok, tokenReq := n.limits.limiter.Admit(time.Now(), c.Name())
	n.limits.mu.Unlock()
	if tokenReq != nil {
		n.spawn(func() { n.requestTokens(*tokenReq, c.Rate()) })
	}
	if ok {
		return nil
	}
	e := outcome.NewError(outcome.NotRun, outcome.CodeCallerLimit, errors.Errorf("caller %s exceeded its limit of %g requests a second", c.Name(), c.Rate()))
	e.RetryAfter = retryAfter
	return e
}

// requestTokens asks the home node of a caller for tokens and applies its response.
func (n *Node) requestTokens(tokenReq quota.TokenRequest, limit float64) {
	granted, err := n.sendTokenRequest(tokenReq)
	now := time.Now()
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	if err != nil {
		n.limits.limiter.ApplyFailure(now, tokenReq, limit/float64(max(1, len(n.view.Load().live))))
		return
	}
	n.limits.limiter.ApplyGrant(now, tokenReq, granted)
}

func (n *Node) sendTokenRequest(tokenReq quota.TokenRequest) (float64, error) {
	home := homeNode(tokenReq.Caller, n.view.Load().live)
	if home.Name == n.cfg.Name {
		return n.GrantTokens(tokenReq.Caller, tokenReq.RequestedTokens, tokenReq.UngrantedRequests), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), tokenRequestTimeout)
	defer cancel()
	return n.client.RequestTokens(ctx, home.Address, tokenReq.Caller, tokenReq.RequestedTokens, tokenReq.UngrantedRequests)
}

// homeNode returns the home node of a caller, which holds the caller's token bucket; it is chosen by rendezvous hashing.
func homeNode(name string, live []membership.Member) membership.Member {
	var best membership.Member
	score := uint64(0)
	for _, m := range live {
		if w := xxhash.Sum64String(strings.Join([]string{name, m.Name}, "|")); w >= score {
			best, score = m, w
		}
	}
	return best
}

// GrantTokens implements peer.Node.
func (n *Node) GrantTokens(name string, want, used float64) float64 {
	c := n.Bundle().Caller(name)
	if c == nil {
		return want
	}
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	return n.limits.allocator.Grant(time.Now(), name, c.Rate(), c.Burst(), want, used)
}

// linkAvailable reports whether the node may send more requests to other regions now.
func (n *Node) linkAvailable() bool {
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	return n.limits.link == nil || n.limits.link.Tokens() > 0
}

// chargeLink takes bytes that were sent to another region from the link's token bucket.
func (n *Node) chargeLink(bytes int64) {
	n.metrics.linkBytes.Add(float64(max(0, bytes)))
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	if l := n.limits.link; l != nil {
		l.ReserveN(time.Now(), min(l.Burst(), int(max(0, bytes))))
	}
}

func (n *Node) setLinkLimit(bytes int64) {
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	n.limits.link = nil
	if bytes > 0 {
		n.limits.link = rate.NewLimiter(rate.Limit(bytes), int(bytes))
	}
}
