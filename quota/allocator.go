package quota

import "time"

// bucket is the token bucket of one caller.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// Allocator holds the token buckets of the callers whose home node is this node; the zero value is ready to use.
type Allocator struct {
	buckets map[string]*bucket
	sweptAt time.Time
}

// Grant takes at most the requested tokens from the caller's bucket and returns how many it granted to the node. It first subtracts
// ungranted, which is the number of requests that the node admitted without a granted token. The caller's limit is rate requests per second.
func (a *Allocator) Grant(now time.Time, caller string, rate, burst, requested, ungranted float64) float64 {
	if a.buckets == nil {
		a.buckets = make(map[string]*bucket)
	}
	a.sweep(now)
	burst = max(burst, 1)
	b := a.buckets[caller]
	if b == nil {
		b = &bucket{tokens: burst, refilledAt: now}
		a.buckets[caller] = b
	}
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	b.tokens -= ungranted
	granted := min(requested, max(0, b.tokens))
	b.tokens -= granted
	return granted
}

// sweep deletes the buckets of idle callers, at most once per idleTimeout.
func (a *Allocator) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < idleTimeout {
		return
	}
	a.sweptAt = now
	for caller, b := range a.buckets {
		if now.Sub(b.refilledAt) > 2*idleTimeout && b.tokens >= 0 {
			delete(a.buckets, caller)
		}
	}
}

// Len returns the number of callers with a token bucket at this node.
func (a *Allocator) Len() int { return len(a.buckets) }
