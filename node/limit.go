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

// rateLimits holds the rate limiters for callers and for the bytes exchanged with other regions.
type rateLimits struct {
	mu             sync.Mutex
	callerLimiter  *quota.Limiter   // limits the request rates of callers with the tokens granted to this node
	tokenAllocator *quota.Allocator // grants tokens for the callers whose home node is this node
	linkLimiter    *rate.Limiter    // limits the bytes a second exchanged with other regions; nil for no limit
}

// Admit implements caller.Fleet. It rejects the request if the node stops and can't serve it in time, or if its caller has exceeded its rate limit.
func (n *Node) Admit(r *caller.Request) error {
	if err := n.limitByStop(r); err != nil {
		return err
	}
	callerConfig := n.Bundle().Caller(r.Caller)
	if callerConfig == nil || !callerConfig.Limited() {
		return nil
	}
	n.limits.mu.Lock()
	admitted, tokenReq := n.limits.callerLimiter.Admit(time.Now(), callerConfig.Name())
	n.limits.mu.Unlock()
	if tokenReq != nil {
		n.spawn(func() { n.requestTokens(*tokenReq, callerConfig.Rate()) })
	}
	if admitted {
		return nil
	}
	rejection := outcome.NewError(outcome.NotRun, outcome.CodeCallerLimit, errors.Errorf("caller %s exceeded its limit of %g requests a second", callerConfig.Name(), callerConfig.Rate()))
	rejection.RetryAfter = retryAfter
	return rejection
}

// requestTokens requests tokens from the caller's home node and adds the granted tokens to the caller's limiter.
func (n *Node) requestTokens(tokenReq quota.TokenRequest, callerRate float64) {
	granted, err := n.sendTokenRequest(tokenReq)
	now := time.Now()
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	if err != nil {
		n.limits.callerLimiter.ApplyFailure(now, tokenReq, callerRate/float64(max(1, n.view.liveCount())))
		return
	}
	n.limits.callerLimiter.ApplyGrant(now, tokenReq, granted)
}

func (n *Node) sendTokenRequest(tokenReq quota.TokenRequest) (float64, error) {
	home := homeNode(tokenReq.Caller, n.view.liveMembers())
	if home.Name == n.cfg.Name {
		return n.GrantTokens(tokenReq.Caller, tokenReq.RequestedTokens, tokenReq.UngrantedRequests), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), tokenRequestTimeout)
	defer cancel()
	return n.client.RequestTokens(ctx, home.Address, tokenReq.Caller, tokenReq.RequestedTokens, tokenReq.UngrantedRequests)
}

// homeNode returns the home node of a caller, chosen by rendezvous hashing. The home node holds the caller's token bucket.
func homeNode(callerName string, liveMembers []membership.Member) membership.Member {
	var home membership.Member
	highestWeight := uint64(0)
	for _, member := range liveMembers {
		if weight := xxhash.Sum64String(strings.Join([]string{callerName, member.Name}, "|")); weight >= highestWeight {
			home, highestWeight = member, weight
		}
	}
	return home
}

// GrantTokens implements peer.Node. It grants tokens from the caller's token bucket, for which this node is the home node.
func (n *Node) GrantTokens(callerName string, requested, used float64) float64 {
	callerConfig := n.Bundle().Caller(callerName)
	if callerConfig == nil || !callerConfig.Limited() {
		return requested
	}
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	return n.limits.tokenAllocator.Grant(time.Now(), callerName, callerConfig.Rate(), callerConfig.Burst(), requested, used)
}

// linkHasCapacity reports whether the rate limit allows another request to another region now.
func (n *Node) linkHasCapacity() bool {
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	return n.limits.linkLimiter == nil || n.limits.linkLimiter.Tokens() > 0
}

// chargeLink takes the bytes of a request to another region and of its response from the token bucket of linkLimiter.
func (n *Node) chargeLink(bytes int64) {
	n.metrics.linkBytes.Add(float64(max(0, bytes)))
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	if limiter := n.limits.linkLimiter; limiter != nil {
		limiter.ReserveN(time.Now(), min(limiter.Burst(), int(max(0, bytes))))
	}
}

func (n *Node) setLinkLimit(bytesPerSecond int64) {
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	n.limits.linkLimiter = nil
	if bytesPerSecond > 0 {
		n.limits.linkLimiter = rate.NewLimiter(rate.Limit(bytesPerSecond), int(bytesPerSecond))
	}
}
