package quota

import (
	"math"
	"time"
)

// bucket is the token bucket of one caller.
type bucket struct {
	limit        Limit
	tokens       float64 // negative while more has been used than granted
	allowances   float64 // upper bound of the tokens that nodes hold; they count against the capacity
	refilledAt   time.Time
	askedAt      time.Time
	askers       map[string]*asker // by name of the node
	recentAskers int               // nodes that asked within askerTime
	places       places
	heldUntil    time.Time // earlier allocators may grant tokens until then
	standInSince time.Time // start of the time for which this node has stood in for an allocator that it can't reach; zero if it doesn't
	standInAt    time.Time // time at which it last did so
}

// asker is a node that asks for tokens of a caller.
type asker struct {
	askedAt   time.Time
	rate      float64 // moving average of its requests a second
	allowance float64 // its last allowance
	holds     float64 // upper bound of the tokens that it holds, with what may be left of earlier allowances
}

// settle takes the report of a node into account and returns its record.
func (b *bucket) settle(now time.Time, ask Ask) *asker {
	a := b.askers[ask.Node]
	if a == nil {
		a = &asker{askedAt: now}
		b.askers[ask.Node] = a
		b.recentAskers++
	}
	elapsed := now.Sub(a.askedAt).Seconds()
	a.rate = a.rate/(1+elapsed) + ask.Wanted + max(0, refillPart*a.allowance+ask.Used)
	b.allowances -= a.holds
	if a.holds *= 1 - refillPart; elapsed > allowanceTTL.Seconds() {
		a.holds = 0
	}
	b.allowances += a.holds
	a.allowance = 0
	a.askedAt, b.askedAt = now, now
	b.tokens -= ask.Used
	return a
}

// forget deletes idle nodes and counts the others.
func (b *bucket) forget(now time.Time) {
	b.recentAskers = 0
	for name, a := range b.askers {
		idle := now.Sub(a.askedAt)
		if idle > allowanceTTL {
			b.allowances -= a.holds
			a.holds = 0
		}
		if idle < askerTime {
			b.recentAskers++
		}
		if idle > idleTime {
			delete(b.askers, name)
		}
	}
}

// standIn records that this node answers in place of the allocator. After a gap the allocator may have been reached meanwhile.
func (b *bucket) standIn(now time.Time) {
	if now.Sub(b.standInAt) > standInGap {
		b.standInSince = now
	}
	b.standInAt = now
}

// isolated reports whether this node has stood in for so long that the allocator, if it runs, knows that it is cut off from the nodes that ask
// this one.
func (b *bucket) isolated(now time.Time) bool {
	return now.Sub(b.standInAt) <= standInGap && now.Sub(b.standInSince) > detectionTime
}

// refill fills the bucket at the pace held until heldUntil, and at the pace free from then on.
func (b *bucket) refill(now, heldUntil time.Time, held, free pace) {
	if now.Before(heldUntil) {
		b.fill(now, held)
		return
	}
	if b.refilledAt.Before(heldUntil) {
		b.fill(heldUntil, held)
	}
	b.fill(now, free)
}

func (b *bucket) fill(now time.Time, p pace) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += p.rate * elapsed.Seconds()
		b.refilledAt = now
	}
	b.clamp(p)
}

// clamp limits the tokens to the capacity, of which allowances are a part.
func (b *bucket) clamp(p pace) { b.tokens = min(b.tokens, max(0, p.capacity-b.allowances)) }

// grant takes at most the wanted tokens.
func (b *bucket) grant(wanted float64) float64 {
	granted := math.Floor(max(0, min(wanted, b.tokens)))
	b.tokens -= granted
	return granted
}

// allow gives a busy node an allowance for allowanceTime of its demand, at most half of the tokens that are left. Its tokens are taken at once;
// the node gives back what it doesn't use, so that a node that is lost can't have used more.
func (b *bucket) allow(a *asker) float64 {
	if a.rate < minAllowanceRate {
		return 0
	}
	a.allowance = b.grant(min(b.tokens/2, a.rate*allowanceTime.Seconds()))
	a.holds += a.allowance
	b.allowances += a.allowance
	return a.allowance
}

// retryAfter returns the time until a token is expected, and at least the time that keeps the asking nodes within maxAskRate.
func (b *bucket) retryAfter(p pace) time.Duration {
	wait := float64(b.recentAskers) / maxAskRate
	if p.rate > 0 {
		wait = max(wait, (1-b.tokens)/p.rate)
	}
	return min(maxRetryAfter, time.Duration(wait*float64(time.Second)))
}
