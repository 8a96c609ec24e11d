package quota

import "time"

type bucket struct {
	tokens float64
	at     time.Time
}

// Allocator holds the token buckets of the callers whose home node is this node; the zero value is ready to use.
type Allocator struct {
	buckets map[string]*bucket
	sweptAt time.Time
}

// Grant returns the tokens granted to a node, at most want, after subtracting the used requests that it admitted without a grant.
// The caller's limit is rate requests per second.
func (a *Allocator) Grant(now time.Time, caller string, rate, burst, want, used float64) float64 {
	if a.buckets == nil {
		a.buckets = make(map[string]*bucket)
	}
	a.sweep(now)
	burst = max(burst, 1)
	b := a.buckets[caller]
	if b == nil {
		b = &bucket{tokens: burst, at: now}
		a.buckets[caller] = b
	}
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	b.tokens -= used
	n := min(want, max(0, b.tokens))
	b.tokens -= n
	return n
}

func (a *Allocator) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < idleTimeout {
		return
	}
	a.sweptAt = now
	for name, b := range a.buckets {
		if now.Sub(b.at) > 2*idleTimeout && b.tokens >= 0 {
			delete(a.buckets, name)
		}
	}
}

// Len returns the number of callers with a token bucket at this node.
func (a *Allocator) Len() int { return len(a.buckets) }
