package retry

import "time"

// Parameters of the budget.
const (
	maxTokens = 10   // retries that may be saved up where no reserve is set
	heldBack  = 0.75 // part of the ratio that is spent: retries that upstreams cause by calls of their own count, too
)

// Budget allows retries up to a ratio of requests and a reserve in each window; the zero value allows none. A new budget is empty, so that a process that starts again gains nothing by it.
type Budget struct {
	ratio  float64
	tokens float64
	bound  float64 // most tokens
	rate   float64 // tokens a second besides those of requests
	last   time.Time
}

// NewBudget returns a budget of ratio retries for each request.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio} }

// SetRatio changes the retries allowed for each request.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// SetReserve allows n retries in each window besides those of requests: half of them may be saved up, the others come with time.
func (b *Budget) SetReserve(n float64, window time.Duration) {
	b.bound, b.rate = 0, 0
	if n > 0 {
		b.bound = max(1, n/2)
		b.rate = max(0, n-b.bound) / window.Seconds()
	}
}

// Request counts a first attempt.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	ratio := b.ratio
	if b.bound > 0 {
		ratio *= heldBack
	}
	b.add(ratio)
}

func (b *Budget) refill(now time.Time) {
	if !b.last.IsZero() {
		b.add(b.rate * max(0, now.Sub(b.last).Seconds()))
	}
	b.last = now
}

func (b *Budget) add(tokens float64) {
	bound := b.bound
	if bound == 0 {
		bound = maxTokens
	}
	b.tokens = min(bound, b.tokens+tokens)
}

// Available reports whether one more attempt is allowed without counting it.
func (b *Budget) Available() bool { return b.tokens >= 1 }

// Take reports whether one more attempt is allowed and counts it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
