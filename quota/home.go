package quota

import "time"

type bucket struct {
	tokens float64
	at     time.Time
}

// Allocator holds the token buckets of the callers whose home is this node; the zero value works.
type Allocator struct {
	buckets map[string]*bucket
	swept   time.Time
}

// Allot grants up to want tokens to a node, after taking off what it used without a grant; rate is the caller's limit in requests a second.
func (h *Allocator) Allot(now time.Time, caller string, rate, burst, want, used float64) float64 {
	if h.buckets == nil {
		h.buckets = make(map[string]*bucket)
	}
	h.sweep(now)
	burst = max(burst, 1)
	b := h.buckets[caller]
	if b == nil {
		b = &bucket{tokens: burst, at: now}
		h.buckets[caller] = b
	}
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.at).Seconds())
	b.at = now
	b.tokens -= used
	n := min(want, max(0, b.tokens))
	b.tokens -= n
	return n
}

func (h *Allocator) sweep(now time.Time) {
	if now.Sub(h.swept) < idleTime {
		return
	}
	h.swept = now
	for name, b := range h.buckets {
		if now.Sub(b.at) > 2*idleTime && b.tokens >= 0 {
			delete(h.buckets, name)
		}
	}
}

// Len returns the number of callers whose home is this node.
func (h *Allocator) Len() int { return len(h.buckets) }
