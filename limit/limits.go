package limit

import (
	"context"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/quota"
	"github.com/pkg/errors"
)

// Times of requests and calls that wait for tokens. A call over a new connection takes two round trips, and a node that has little of a core
// may need as long again.
const (
	maxWait       = 160 * time.Millisecond // of a request
	waitPart      = 8                      // a request waits at most this part of the objective of its class
	askPatience   = maxWait / 2            // time without an answer after which another node is asked
	relayPatience = 50 * time.Millisecond  // the same for a node that passes a call on
	askTimeout    = 400 * time.Millisecond
)

// TickInterval is the interval at which Tick must be called.
const TickInterval = 100 * time.Millisecond

// ErrNoBundle reports that a node can't tell the limit of a caller, since it has no bundle yet.
var ErrNoBundle = errors.New("no bundle is in force here yet")

// ErrUnknownCaller reports that the bundle in force doesn't have the caller, other than that of the node that asks.
var ErrUnknownCaller = errors.New("the bundle in force here doesn't have the caller")

// Lookup returns the limit in force of a caller, which is the zero Limit if it has none, and whether the bundle in force has the caller.
type Lookup func(caller string) (limit quota.Limit, known bool)

// Caller makes the call Allot to the named node. A call that is given up costs the connection, so it ends much later than its answer is waited for.
type Caller func(ctx context.Context, node string, ask quota.Ask) (quota.Grant, error)

// Limits holds the limits of callers at one node. It is safe for concurrent use.
type Limits struct {
	self      string
	call      Caller
	running   sync.WaitGroup
	mu        sync.Mutex
	fleet     *quota.Fleet
	limiter   *quota.Limiter
	allocator *quota.Allocator
	lookup    Lookup
	waiting   map[uint64]chan quota.Verdict // requests that wait for a token, by ticket
	hasBundle bool                          // a bundle is in force
}

// New returns the limits of the named node, which starts now. Lookup returns the limit of a caller in force.
func New(now time.Time, self string, rule quota.Rule, lookup Lookup, call Caller) *Limits {
	fleet := quota.NewFleet(now, self)
	return &Limits{
		self:      self,
		call:      call,
		lookup:    lookup,
		fleet:     fleet,
		limiter:   quota.NewLimiter(fleet),
		allocator: quota.NewAllocator(now, fleet, rule),
		waiting:   make(map[uint64]chan quota.Verdict),
	}
}

// Fleet calls f with the node's view of the fleet.
func (l *Limits) Fleet(f func(*quota.Fleet)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(l.fleet)
}

// SetCallers sets the number of callers that have a limit in the bundle in force.
func (l *Limits) SetCallers(now time.Time, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasBundle = true
	if l.fleet.SetCallers(n) {
		l.allocator.Reassign(now)
	}
}

// Take decides on a request of a caller. It waits for the answer of another node where that is needed; objective is that of the request's class,
// or 0. A refusal is a *quota.LimitError.
func (l *Limits) Take(ctx context.Context, caller string, objective time.Duration) (quota.Verdict, error) {
	limit, _ := l.lookup(caller)
	l.mu.Lock()
	v, call := l.limiter.Admit(time.Now(), caller, limit)
	decided := make(chan quota.Verdict, 1)
	if v.Decision == quota.Waiting {
		l.waiting[v.Ticket] = decided
	}
	l.mu.Unlock()
	l.ask(call)
	if v.Decision == quota.Waiting {
		v = l.await(ctx, v, decided, objective)
	}
	return v, v.Err(limit)
}

func (l *Limits) await(ctx context.Context, v quota.Verdict, decided chan quota.Verdict, objective time.Duration) quota.Verdict {
	wait := maxWait
	if objective > 0 {
		wait = min(wait, objective/waitPart)
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case v = <-decided:
		return v
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if cancelled, ok := l.limiter.Cancel(time.Now(), v.Caller, v.Ticket); ok {
		delete(l.waiting, v.Ticket)
		return cancelled
	}
	return <-decided // it was decided before the lock was taken
}

// Return gives back the token of a request that was admitted but has not run.
func (l *Limits) Return(caller string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.Return(time.Now(), caller)
}

// ask makes a call in the background and gives the result to the limiter; c may be nil.
func (l *Limits) ask(c *quota.Call) {
	if c == nil {
		return
	}
	l.running.Go(func() {
		late := time.AfterFunc(askPatience, func() {
			l.apply(func(now time.Time) quota.Output { return l.limiter.Late(now, c) })
		})
		defer late.Stop()
		grant, err := l.allotAt(c.To, c.Ask)
		l.apply(func(now time.Time) quota.Output {
			if err != nil {
				return l.limiter.Failed(now, c)
			}
			return l.limiter.Answered(now, c, grant)
		})
	})
}

// apply gives an input to the limiter, hands its verdicts to the waiting requests and makes the next call.
func (l *Limits) apply(input func(now time.Time) quota.Output) {
	l.mu.Lock()
	out := input(time.Now())
	for _, v := range out.Verdicts {
		if decided := l.waiting[v.Ticket]; decided != nil {
			delete(l.waiting, v.Ticket)
			decided <- v
		}
	}
	l.mu.Unlock()
	l.ask(out.Call)
}

// allotAt passes an Ask to the named node, which may be this one.
func (l *Limits) allotAt(node string, ask quota.Ask) (quota.Grant, error) {
	if node == l.self {
		return l.Allot(ask)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	grant, err := l.call(ctx, node, ask)
	return grant, errors.Wrapf(err, "ask %s for tokens of %s", node, ask.Caller)
}

// Allot answers an Ask, or passes it on to the caller's allocator. The error is ErrNoBundle or ErrUnknownCaller if the node doesn't know the caller: it
// must not take it for one without a limit, and the node that asks turns to the stand-in.
func (l *Limits) Allot(ask quota.Ask) (quota.Grant, error) {
	_, known := l.lookup(ask.Caller)
	l.mu.Lock()
	if !known {
		defer l.mu.Unlock()
		if !l.hasBundle {
			return quota.Grant{}, ErrNoBundle
		}
		return quota.Grant{}, ErrUnknownCaller
	}
	to := l.allocator.Relay(time.Now(), ask)
	l.mu.Unlock()
	if to != "" {
		grant, ok := l.relay(to, ask)
		l.mu.Lock()
		l.allocator.Relayed(time.Now(), ask, to, ok)
		l.mu.Unlock()
		if ok {
			return grant, nil
		}
	}
	limit, _ := l.lookup(ask.Caller)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.allocator.Answer(time.Now(), ask, limit), nil
}

func (l *Limits) relay(to string, ask quota.Ask) (quota.Grant, bool) {
	ask.Relayed = true
	answers := make(chan quota.Grant, 1)
	l.running.Go(func() {
		defer close(answers)
		if grant, err := l.allotAt(to, ask); err == nil {
			answers <- grant
		}
	})
	timer := time.NewTimer(relayPatience)
	defer timer.Stop()
	select {
	case grant, ok := <-answers:
		return grant, ok
	case <-timer.C:
		return quota.Grant{}, false
	}
}

// Tick advances the limits to now.
func (l *Limits) Tick(now time.Time) {
	l.mu.Lock()
	l.allocator.Tick(now)
	calls := l.limiter.Tick(now)
	l.mu.Unlock()
	for _, c := range calls {
		l.ask(c)
	}
}

// Wait waits until all calls have ended. Nothing else may be called meanwhile.
func (l *Limits) Wait() { l.running.Wait() }
