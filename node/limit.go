package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/quota"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Times of the calls for tokens.
const (
	maxTokenWait      = 60 * time.Millisecond  // maximum time that a request waits for a token
	tokenWaitPart     = 8                      // a request waits at most this part of the objective of its class
	askPatience       = 30 * time.Millisecond  // time without an answer after which another node is asked
	relayPatience     = 20 * time.Millisecond  // the same for a node that passes the call on
	askTimeout        = 400 * time.Millisecond // time after which a call is given up and its connection dropped
	limitTickInterval = 100 * time.Millisecond
)

// rateLimits holds the limits of callers and of the bytes exchanged with other regions.
type rateLimits struct {
	mu          sync.Mutex
	fleet       *quota.Fleet
	limiter     *quota.Limiter
	allocator   *quota.Allocator
	waiting     map[uint64]chan quota.Verdict // requests that wait for a token, by ticket
	linkLimiter *rate.Limiter                 // limits the bytes a second exchanged with other regions; nil for no limit
}

func (l *rateLimits) init(now time.Time, cfg *Settings) {
	l.fleet = quota.NewFleet(now, cfg.Name)
	l.limiter = quota.NewLimiter(l.fleet)
	l.allocator = quota.NewAllocator(now, l.fleet, cfg.Quota.rule())
	l.waiting = make(map[uint64]chan quota.Verdict)
}

// setMember applies the record of a member to the view by which allocators are chosen.
func (l *rateLimits) setMember(now time.Time, m membership.Member) {
	statuses := map[membership.Status]quota.Status{
		membership.Alive: quota.Live, membership.Leaving: quota.Leaving, membership.Left: quota.Left, membership.Dead: quota.Dead,
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.Update(now, m.Name, statuses[m.Status])
}

func (l *rateLimits) removeMember(now time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.Remove(now, name)
}

// learnMember adds a node of the directory, which may not have been met.
func (l *rateLimits) learnMember(now time.Time, name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fleet.Learn(now, name)
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
	limit := callerLimit(callerConfig)
	verdict := n.takeToken(r, limit)
	n.metrics.limitDecisions.WithLabelValues(string(verdict.Decision)).Inc()
	if verdict.Changed {
		_ = level.Info(n.logger).Log("msg", "limit", "caller", verdict.Caller, "limited", !verdict.Decision.Admitted(), "decision", verdict.Decision,
			"rate", limit.Rate, "burst", limit.Burst, "tokens", verdict.Tokens, "age", verdict.Age.Milliseconds())
	}
	if err := verdict.Err(limit); err != nil {
		rejection := outcome.NewError(outcome.NotRun, outcome.CodeCallerLimit, err)
		rejection.RetryAfter = verdict.RetryAfter
		return rejection
	}
	return nil
}

func callerLimit(c *bundle.Caller) quota.Limit {
	return quota.Limit{Rate: c.Rate(), Burst: c.Burst()}
}

// takeToken returns the decision on a request. It waits for the answer of another node where that is needed.
func (n *Node) takeToken(r *caller.Request, limit quota.Limit) quota.Verdict {
	l := &n.limits
	l.mu.Lock()
	verdict, call := l.limiter.Admit(time.Now(), r.Caller, limit)
	decided := make(chan quota.Verdict, 1)
	if verdict.Decision == quota.Waiting {
		l.waiting[verdict.Ticket] = decided
	}
	l.mu.Unlock()
	n.askForTokens(call)
	if verdict.Decision != quota.Waiting {
		return verdict
	}
	wait := maxTokenWait
	if objective := r.Match.Class.Objective(); objective > 0 {
		wait = min(wait, objective/tokenWaitPart)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case verdict = <-decided:
		return verdict
	case <-timer.C:
	case <-r.HTTP.Context().Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if late, ok := l.limiter.Cancel(time.Now(), r.Caller, verdict.Ticket); ok {
		delete(l.waiting, verdict.Ticket)
		return late
	}
	return <-decided
}

// returnToken gives back the token of a request that was admitted but has not run.
func (n *Node) returnToken(callerName string) {
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	n.limits.limiter.Return(time.Now(), callerName)
}

// askForTokens makes a call in the background and gives the result to the limiter; call may be nil.
func (n *Node) askForTokens(call *quota.Call) {
	if call == nil {
		return
	}
	limiter := n.limits.limiter
	n.spawn(func() {
		late := time.AfterFunc(askPatience, func() {
			n.applyLimitOutput(func(now time.Time) quota.Output { return limiter.Late(now, call) })
		})
		defer late.Stop()
		grant, err := n.allotAt(call.To, call.Ask)
		n.applyLimitOutput(func(now time.Time) quota.Output {
			if err != nil {
				return limiter.Failed(now, call)
			}
			return limiter.Answered(now, call, grant)
		})
	})
}

// applyLimitOutput passes an input to the limiter, hands its verdicts to the waiting requests and makes the next call.
func (n *Node) applyLimitOutput(input func(now time.Time) quota.Output) {
	n.limits.mu.Lock()
	output := input(time.Now())
	for _, verdict := range output.Verdicts {
		if decided := n.limits.waiting[verdict.Ticket]; decided != nil {
			delete(n.limits.waiting, verdict.Ticket)
			decided <- verdict
		}
	}
	n.limits.mu.Unlock()
	n.askForTokens(output.Call)
}

// allotAt passes an Ask to the named node, which may be this one.
func (n *Node) allotAt(name string, ask quota.Ask) (quota.Grant, error) {
	if name == n.cfg.Name {
		return n.Allot(ask), nil
	}
	m, ok := n.view.member(name)
	if !ok {
		return quota.Grant{}, errors.Errorf("node %s is no longer a member", name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	return n.client.Allot(ctx, m.Address, ask)
}

// Allot implements peer.Node. It grants tokens of a caller, or passes the Ask on to the caller's allocator.
func (n *Node) Allot(ask quota.Ask) quota.Grant {
	n.limits.mu.Lock()
	to := n.limits.allocator.Relay(time.Now(), ask)
	n.limits.mu.Unlock()
	if to != "" {
		grant, ok := n.relayAsk(to, ask)
		n.limits.mu.Lock()
		n.limits.allocator.Relayed(time.Now(), ask, to, ok)
		n.limits.mu.Unlock()
		if ok {
			return grant
		}
	}
	limit := quota.Limit{}
	if callerConfig := n.Bundle().Caller(ask.Caller); callerConfig != nil {
		limit = callerLimit(callerConfig)
	}
	n.limits.mu.Lock()
	defer n.limits.mu.Unlock()
	return n.limits.allocator.Answer(time.Now(), ask, limit)
}

// relayAsk passes an Ask on. The call goes on if its answer takes too long, since a call that is given up costs the connection.
func (n *Node) relayAsk(to string, ask quota.Ask) (quota.Grant, bool) {
	ask.Relayed = true
	answers := make(chan quota.Grant, 1)
	n.spawn(func() {
		defer close(answers)
		if grant, err := n.allotAt(to, ask); err == nil {
			answers <- grant
		}
	})
	select {
	case grant, ok := <-answers:
		return grant, ok
	case <-time.After(relayPatience):
		return quota.Grant{}, false
	}
}

// tickLimits advances the limits of callers to now.
func (n *Node) tickLimits(_ context.Context, now time.Time) {
	n.limits.mu.Lock()
	if n.recall.heardAny() {
		n.limits.fleet.Complete(now)
	}
	n.limits.allocator.Tick(now)
	calls := n.limits.limiter.Tick(now)
	n.limits.mu.Unlock()
	for _, call := range calls {
		n.askForTokens(call)
	}
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
