package retry

import "time"

// Parameters of the budget.
const (
	defaultCapacity   = 10   // retries that may accumulate if no reserve is set
	reserveRatioShare = 0.75 // share of the ratio granted if a reserve is set; the rest is left for retries of calls that upstreams make
)

// Budget allows retries up to a ratio of the requests plus a reserve in each window; the zero value allows none.
// A new budget is empty, so that a restart of the process grants no extra retries.
type Budget struct {
	ratio      float64
	tokens     float64
	capacity   float64 // largest number of tokens; 0 means defaultCapacity
	refillRate float64 // tokens per second in addition to those of requests
	refilledAt time.Time
}

// NewBudget returns a budget of ratio retries per request.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio} }

// SetRatio changes the number of retries allowed per request.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// SetReserve allows n retries in each window in addition to those of requests.
// Half of n is the number of tokens that may accumulate; the rest is refilled over the window.
func (b *Budget) SetReserve(n float64, window time.Duration) {
	b.capacity, b.refillRate = 0, 0
	if n > 0 {
		b.capacity = max(1, n/2)
		b.refillRate = max(0, n-b.capacity) / window.Seconds()
	}
}

// RecordRequest records a first attempt.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	ratio := b.ratio
	if b.capacity > 0 {
		ratio *= reserveRatioShare
	}
	b.add(ratio)
}

func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		b.add(b.refillRate * max(0, now.Sub(b.refilledAt).Seconds()))
	}
	b.refilledAt = now
}

func (b *Budget) add(tokens float64) {
	capacity := b.capacity
	if capacity == 0 {
		capacity = defaultCapacity
	}
	b.tokens = min(capacity, b.tokens+tokens)
}

// Available reports whether a retry is allowed, without spending a token.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Take reports whether a retry is allowed and, if so, spends a token.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
