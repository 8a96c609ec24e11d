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

const allotTimeout = 400 * time.Millisecond

// limiter holds callers to their limits.
type limiter struct {
	mu   sync.Mutex
	door *quota.Limiter
	home *quota.Allocator
	link *rate.Limiter // bytes to other regions; nil for no bound
}

// Admit implements caller.Fleet.
func (n *Node) Admit(r *caller.Request) error {
	c := n.Bundle().Caller(r.Caller)
	if c == nil {
		return nil
	}
	n.limits.mu.Lock()
	ok, ask := n.limits.door.Admit(time.Now(), c.Name())
	n.limits.mu.Unlock()
	if ask != nil {
		n.spawn(func() { n.allot(*ask, c.Rate()) })
	}
	if ok {
		return nil
	}
	e := outcome.NewError(outcome.NotRun, outcome.CodeCallerLimit, errors.Errorf("caller %s is over its limit of %g requests a second", c.Name(), c.Rate()))
	e.RetryAfter = retryAfter
	return e
}

// allot asks the home of a caller for tokens.
func (n *Node) allot(ask quota.TokenRequest, limit float64) {
	got, err := n.askHome(ask)
	now := time.Now()
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	if err != nil {
		n.limits.door.ApplyFailure(now, ask, limit/float64(max(1, len(n.view.Load().live))))
		return
	}
	n.limits.door.ApplyGrant(now, ask, got)
}

func (n *Node) askHome(ask quota.TokenRequest) (float64, error) {
	home := homeOf(ask.Caller, n.view.Load().live)
	if home.Name == n.cfg.Name {
		return n.GrantTokens(ask.Caller, ask.Want, ask.Used), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), allotTimeout)
	defer cancel()
	return n.client.RequestTokens(ctx, home.Address, ask.Caller, ask.Want, ask.Used)
}

// homeOf returns the node that holds the bucket of a caller.
func homeOf(name string, live []membership.Member) membership.Member {
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
	return n.limits.home.Allot(time.Now(), name, c.Rate(), c.Burst(), want, used)
}

// linkOpen reports whether the node may send more work to other regions now.
func (n *Node) linkOpen() bool {
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	return n.limits.link == nil || n.limits.link.Tokens() > 0
}

// countLink takes bytes that went to another region off the budget.
func (n *Node) countLink(bytes int64) {
	n.metrics.linkBytes.Add(float64(max(0, bytes)))
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	if l := n.limits.link; l != nil {
		l.ReserveN(time.Now(), min(l.Burst(), int(max(0, bytes))))
	}
}

func (n *Node) setLink(bytes int64) {
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	n.limits.link = nil
	if bytes > 0 {
		n.limits.link = rate.NewLimiter(rate.Limit(bytes), int(bytes))
	}
}
