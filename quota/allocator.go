package quota

import "time"

// Parameters of the buckets.
const (
	startHold        = 2 * time.Second        // time after the start of a node within which others may not know of it
	resumeHold       = 500 * time.Millisecond // time after a pause within which nodes still ask the stand-in
	pauseTime        = time.Second            // time without a call after which a node counts as having been paused
	askerTime        = 2 * time.Second        // time for which a node that asked is expected to ask again
	standInGap       = time.Second            // time without an Ask after which a node no longer counts as standing in
	idleTime         = 10 * time.Second       // time after which the state of an idle node or caller is deleted
	allowanceTTL     = 2 * time.Second
	allowanceTime    = 400 * time.Millisecond // demand that an allowance covers
	refillPart       = 0.5                    // part of an allowance after whose use the node asks for the next one
	minAllowanceRate = 4                      // requests a second from which a node gets an allowance; below it, giving the rest back costs what it saves
	maxAskRate       = 250                    // calls a second for one caller that is over its limit
	maxRetryAfter    = 2 * time.Second
	askersPart       = 0.7 // part of the rate of the nodes that ask a bucket which it gets while another node may grant tokens
)

// Allocator holds the token buckets of the callers that this node grants tokens for, as their allocator or as its stand-in.
type Allocator struct {
	fleet     *Fleet
	rule      Rule
	buckets   map[string]*bucket
	calledAt  time.Time // time of the last call of any method
	resetAt   time.Time // time of the start, or of the end of the last pause
	heldUntil time.Time // buckets fill at the reserve's pace until then
}

// NewAllocator returns an allocator of a node that starts now.
func NewAllocator(now time.Time, fleet *Fleet, rule Rule) *Allocator {
	return &Allocator{fleet: fleet, rule: rule, buckets: make(map[string]*bucket), calledAt: now, resetAt: now, heldUntil: now.Add(startHold)}
}

// Len returns the number of callers with a token bucket at this node.
func (a *Allocator) Len() int { return len(a.buckets) }

// Relay returns the name of the node to which an Ask is passed on, or an empty string if this node answers it.
func (a *Allocator) Relay(now time.Time, ask Ask) string {
	if ask.Relayed {
		return ""
	}
	to := a.allocator(ask.Caller)
	if to == a.fleet.self || to == ask.Node || a.fleet.silent(now, to) {
		return ""
	}
	return to
}

// allocator returns the name of the caller's allocator.
func (a *Allocator) allocator(caller string) string {
	b := a.buckets[caller]
	if b == nil {
		return a.fleet.Allocator(caller)
	}
	a.place(caller, b)
	return b.places.allocator
}

// Relayed records whether the allocator answered an Ask that was passed on to it.
func (a *Allocator) Relayed(now time.Time, ask Ask, to string, answered bool) {
	if !answered {
		a.fleet.silence(now, to)
		return
	}
	if b := a.buckets[ask.Caller]; b != nil {
		b.standInAt = time.Time{}
	}
}

// Answer grants tokens of a caller with the given limit.
func (a *Allocator) Answer(now time.Time, ask Ask, limit Limit) Grant {
	if limit.Rate <= 0 {
		return Grant{Tokens: ask.Wanted}
	}
	a.noticePause(now)
	if a.fleet.share == 0 && ask.Used <= 0 {
		return Grant{RetryAfter: unansweredTime} // a bucket that is created now would start without the reserve
	}
	b := a.bucket(now, ask.Caller, limit)
	if b.places.allocator != a.fleet.self || now.Before(b.heldUntil) {
		b.standIn(now)
	}
	p := a.refill(now, ask.Caller, b)
	node := b.settle(now, ask)
	b.clamp(p)
	g := Grant{Tokens: b.grant(ask.Wanted), TTL: allowanceTTL}
	if g.Tokens < ask.Wanted {
		g.RetryAfter = b.retryAfter(p)
		return g
	}
	g.Allowance = b.allow(node)
	return g
}

// Reassign empties the buckets to the reserve after a change of the shards: nodes that don't know of it yet ask the former allocators.
func (a *Allocator) Reassign(now time.Time) { a.reset(now, detectionTime) }

// Tick fills the buckets and deletes those that are as a new one would be. It must be called several times a second.
func (a *Allocator) Tick(now time.Time) {
	a.noticePause(now)
	a.fleet.recount(now)
	for caller, b := range a.buckets {
		b.forget(now)
		a.refill(now, caller, b)
		if now.Sub(b.askedAt) > idleTime && len(b.askers) == 0 && b.tokens >= 0 {
			delete(a.buckets, caller)
		}
	}
}

// noticePause empties the buckets to the reserve after a pause of the process: the stand-in may have granted the rest.
func (a *Allocator) noticePause(now time.Time) {
	paused := now.Sub(a.calledAt) > pauseTime
	a.calledAt = now
	if !paused {
		return
	}
	a.reset(now, resumeHold)
}

// reset empties the buckets to the reserve, which they have until hold has passed.
func (a *Allocator) reset(now time.Time, hold time.Duration) {
	a.resetAt, a.heldUntil = now, now.Add(hold)
	for _, b := range a.buckets {
		b.tokens = min(b.tokens, a.rule.reserve(b.limit).capacity)
		b.refilledAt = now
	}
}

// bucket returns the bucket of a caller. A new one holds what it would hold if it had been created at the last time at which another node may
// have granted tokens, with the reserve and nobody asking since.
func (a *Allocator) bucket(now time.Time, caller string, limit Limit) *bucket {
	if b := a.buckets[caller]; b != nil {
		b.limit = limit
		return b
	}
	b := &bucket{limit: limit, refilledAt: now, askedAt: now, askers: make(map[string]*asker)}
	a.place(caller, b)
	since, _ := a.fleet.takeover(caller)
	b.tokens = a.rule.reserve(limit).capacity
	if b.places.allocator == a.fleet.self {
		b.tokens *= a.fleet.share
		b.refilledAt = later(a.resetAt, later(since, a.fleet.raisedAt))
	}
	a.buckets[caller] = b
	return b
}

// place updates what a bucket knows of the view.
func (a *Allocator) place(caller string, b *bucket) {
	if b.places.version == a.fleet.version {
		return
	}
	b.places = a.fleet.place(caller, b.places)
	_, b.heldUntil = a.fleet.takeover(caller)
}

// refill fills a bucket and returns its pace from now on.
func (a *Allocator) refill(now time.Time, caller string, b *bucket) pace {
	a.place(caller, b)
	held, free := a.rule.reserve(b.limit), a.rule.full(b.limit).scaled(a.fleet.share)
	heldUntil := later(a.heldUntil, b.heldUntil)
	switch {
	case b.isolated(now):
		held = a.standInPace(b)
	case now.Before(a.heldUntil): // all nodes may have started, each for itself
		held = pace{rate: max(held.rate, a.askersRate(b)) * a.fleet.share, capacity: held.capacity * a.fleet.share}
	}
	if b.places.allocator != a.fleet.self {
		heldUntil = now.Add(time.Second) // until the view changes
	}
	b.refill(now, heldUntil, held, free)
	if now.Before(heldUntil) {
		return held
	}
	return free
}

// askersRate returns the part of the rate that belongs to the nodes that ask this one: each asks one node at a time, so that the nodes which may
// be allocators together stay about within the rate. The rest is for nodes that have turned to another one within askerTime.
func (a *Allocator) askersRate(b *bucket) float64 {
	return askersPart * b.limit.Rate * a.fleet.part(b.recentAskers)
}

// standInPace returns the pace of a node to which others turn beyond a cut: the share of those that ask it, since each asks only one node.
func (a *Allocator) standInPace(b *bucket) pace {
	reserve := a.rule.reserve(b.limit)
	p := a.rule.full(b.limit).scaled(a.fleet.part(b.recentAskers))
	return pace{rate: max(p.rate, reserve.rate), capacity: max(p.capacity, reserve.capacity)}
}
