package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// Times of a stop.
const (
	drainHandoverTimeout = 3 * time.Second        // maximum time to hand over the shards
	shutdownTimeout      = 200 * time.Millisecond // maximum time for goroutines to end after the servers are closed
	exitTime             = 400 * time.Millisecond // time that the end of the process takes after the callers' port is closed
	stopRetryAfter       = 50 * time.Millisecond  // value of the Retry-After header: another node can serve the request at once
	drainNotice          = 500 * time.Millisecond // time for the fleet to learn that the gates of a stopping node will refuse requests
)

// stopPlan tells what a stopping node does with a request. The zero value is the plan of a node that doesn't stop.
type stopPlan struct {
	noticeAt time.Time // the other nodes are told then to send no more requests to the upstreams beside the node
	refuseAt time.Time // from then on requests are refused, those of callers and those of other nodes
	endAt    time.Time // requests that still run are ended then
	closeAt  time.Time // the node says that it has left then, even if responses remain to be sent
}

// newStopPlan returns the plan of a node that begins to stop now. After the grace time, if it isn't 0, the process is killed.
func newStopPlan(now time.Time, lameDuck, drain, grace time.Duration) stopPlan {
	p := stopPlan{refuseAt: now.Add(lameDuck), endAt: now.Add(drain)}
	p.noticeAt, p.closeAt = now, p.endAt
	if notice := p.refuseAt.Add(-drainNotice); notice.After(now) {
		p.noticeAt = notice
	}
	if last := now.Add(grace - exitTime); last.After(p.closeAt) {
		p.closeAt = last
	}
	return p
}

// takes reports whether a request that typically takes the given time, or 0 if that is unknown, is taken at now.
func (p stopPlan) takes(now time.Time, typical time.Duration) bool {
	if p.endAt.IsZero() {
		return true
	}
	return now.Before(p.refuseAt) && now.Add(typical).Before(p.endAt)
}

// deadline returns the deadline of a request that is taken: the response must be sent before the node ends.
func (p stopPlan) deadline(deadline time.Time) time.Time {
	if p.endAt.IsZero() || deadline.Before(p.endAt) {
		return deadline
	}
	return p.endAt
}

// limitByStop refuses a request that a stopping node no longer takes, and shortens the deadline of one that it takes.
func (n *Node) limitByStop(r *caller.Request) error {
	plan := n.stopPlan.Load()
	if plan == nil {
		return nil
	}
	if !plan.takes(time.Now(), n.typicalTime(r)) {
		err := stoppingError()
		err.RetryAfter = stopRetryAfter
		return err
	}
	r.Deadline = plan.deadline(r.Deadline)
	return nil
}

// limitAttemptByStop refuses an attempt at an upstream beside a stopping node that can no longer end in time, and shortens the deadline of one that
// is taken.
func (n *Node) limitAttemptByStop(a *upstream.Attempt) error {
	plan := n.stopPlan.Load()
	if plan == nil {
		return nil
	}
	if !plan.takes(time.Now(), a.TypicalLatency) {
		return stoppingError()
	}
	a.Deadline = plan.deadline(a.Deadline)
	return nil
}

func stoppingError() *outcome.Error {
	return outcome.NewError(outcome.NotRun, outcome.CodeDraining, errors.New("the node stops"))
}

// typicalTime returns the median service time of the request's class over the upstreams of its service, or 0 if the service is unknown.
func (n *Node) typicalTime(r *caller.Request) time.Duration {
	state := (*n.services.Load())[r.Match.Service.Name()]
	if state == nil {
		return 0
	}
	classIndex, ok := state.lookupClassIndex(r.Match.Class.Name())
	if !ok {
		return 0
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	return state.balancer.TypicalServiceTime(time.Now(), classIndex, r.Match.Class.Objective())
}

// stop stops the node gracefully. It announces that the node is leaving and, for the lame-duck period, still takes requests of callers and of other
// nodes that can end in time. Then it refuses requests until those that run have ended, hands over the shards and closes the servers.
func (n *Node) stop(servers servers) {
	_ = level.Info(n.logger).Log("msg", "stopping")
	n.events.Add(event.Event{Kind: event.Stop})
	leaveTime := time.Now()
	plan := newStopPlan(leaveTime, n.cfg.Limits.LameDuck.Std(), n.cfg.DrainTimeout(), n.cfg.Limits.Grace.Std())
	n.stopPlan.Store(&plan)
	n.stopping.Store(true)
	n.mu.Lock()
	n.members.SetStatus(leaveTime, membership.Leaving)
	n.mu.Unlock()
	ctx, cancel := context.WithDeadline(context.Background(), plan.endAt)
	defer cancel()
	n.sleep(ctx, time.Until(plan.noticeAt))
	n.gates.giveNotice()
	n.announceUpstreams()
	n.sleep(ctx, time.Until(plan.refuseAt))
	n.gates.drain()
	servers.caller.waitUntilIdle(ctx)
	if !n.protocols.hasConfigSource() {
		n.handOverShards(ctx)
	}
	n.waitUntil(ctx, func() bool { return n.gates.runningRequests() == 0 })
	unanswered := n.endServer(ctx, "callers", servers.caller, plan.closeAt)
	n.mu.Lock()
	n.members.SetStatus(time.Now(), membership.Left)
	n.mu.Unlock()
	n.tickMembership(ctx, time.Now())
	n.endServer(ctx, "nodes", servers.peer, plan.closeAt)
	time.Sleep(2 * membershipTickInterval) // lets the last heartbeats be sent
	if unanswered > 0 {
		servers.caller.finish()
	}
}

// endServer ends a server, logs what became of the requests that still ran, and returns how many have no response yet.
func (n *Node) endServer(ctx context.Context, clients string, s *drainableServer, closeAt time.Time) (unanswered int) {
	start := time.Now()
	ended, unanswered := s.end(ctx, closeAt)
	_ = level.Info(n.logger).Log("msg", "port closed", "clients", clients, "took", time.Since(start), "ended", ended, "unanswered", unanswered)
	return unanswered
}

// handOverShards waits for pending requests with idempotency keys, then hands over the node's shards to other nodes.
// The node must still respond to its peers meanwhile.
func (n *Node) handOverShards(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainHandoverTimeout)
	defer cancel()
	n.waitUntil(ctx, func() bool { return n.keys.pending() == 0 })
	n.mu.Lock()
	n.owners.Leave()
	n.mu.Unlock()
	n.waitUntil(ctx, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.owners.OwnedShards() == 0
	})
}

// awaitStopped waits up to shutdownTimeout for the node's goroutines and logs that the node has stopped.
func (n *Node) awaitStopped(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		n.running.Wait()
		close(done)
	}()
	unfinished := false
	select {
	case <-done:
	case <-time.After(shutdownTimeout):
		unfinished = true
	}
	_ = level.Info(n.logger).Log("msg", "stopped", "signal", ctx.Err() != nil, "unfinished", unfinished, "running", n.gates.runningRequests())
}
