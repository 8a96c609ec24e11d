package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/limit"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/quota"
	"github.com/pkg/errors"
)

// quotaStatuses maps the statuses of members to those by which allocators are chosen.
var quotaStatuses = map[membership.Status]quota.Status{
	membership.Alive: quota.Live, membership.Leaving: quota.Leaving, membership.Left: quota.Left, membership.Dead: quota.Dead,
}

func (n *Node) newLimits(now time.Time) *limit.Limits {
	return limit.New(now, n.cfg.Name, n.cfg.Quota.rule(), n.callerLimit, n.allotAt)
}

// callerLimit returns the limit of a caller, which is the zero Limit if it has none, and whether the bundle in force has the caller.
func (n *Node) callerLimit(name string) (limit quota.Limit, known bool) {
	c := n.Bundle().Caller(name)
	if c == nil {
		return quota.Limit{}, false
	}
	return quota.Limit{Rate: c.Rate(), Burst: c.Burst()}, true
}

// Admit implements caller.Fleet. It rejects the request if the node stops and can't serve it in time, or if its caller has exceeded its rate limit.
func (n *Node) Admit(r *caller.Request) error {
	if err := n.limitByStop(r); err != nil {
		return err
	}
	verdict, err := n.limits.Take(r.HTTP.Context(), r.Caller, r.Match.Class.Objective())
	if verdict.Decision == quota.Unlimited {
		return nil
	}
	n.metrics.limitDecisions.WithLabelValues(string(verdict.Decision)).Inc()
	if verdict.Changed {
		in, _ := n.callerLimit(verdict.Caller)
		_ = level.Info(n.logger).Log("msg", "limit", "caller", verdict.Caller, "limited", err != nil, "decision", verdict.Decision,
			"rate", in.Rate, "burst", in.Burst, "tokens", verdict.Tokens, "age", verdict.Age.Milliseconds())
	}
	if err != nil {
		rejection := outcome.NewError(outcome.NotRun, outcome.CodeCallerLimit, err)
		rejection.RetryAfter = verdict.RetryAfter
		return rejection
	}
	return nil
}

// Allot implements peer.Node.
func (n *Node) Allot(ask quota.Ask) (quota.Grant, error) { return n.limits.Allot(ask) }

// allotAt asks another node for tokens.
func (n *Node) allotAt(ctx context.Context, name string, ask quota.Ask) (quota.Grant, error) {
	m, ok := n.view.member(name)
	if !ok {
		return quota.Grant{}, errors.Errorf("node %s is no longer a member", name)
	}
	return n.client.Allot(ctx, m.Address, ask)
}

// tickLimits advances the limits of callers to now.
func (n *Node) tickLimits(_ context.Context, now time.Time) {
	if n.recall.heardAny() {
		n.limits.Fleet(func(f *quota.Fleet) { f.Complete(now) })
	}
	n.limits.Tick(now)
}
