package retry

import "time"

// Parameters of the budget.
const (
	reserveRatioShare = 0.5              // fraction of the ratio used if a reserve is set: calls of upstreams count as requests here, and those of repeated runs as retries
	firstRefillFactor = 3                // factor on the refill rate of the reserve until a new budget has its first token
	window            = 10 * time.Second // time over which requests and the reserve allow retries
)

// Budget limits retries to a ratio of the requests plus a fixed reserve in each window; the zero value allows none.
// A new budget is empty, so that a restart of the process grants no extra retries.
type Budget struct {
	ratio      float64
	requests   windowSum // requests of the last window
	spent      windowSum // retries of that time that the requests allowed
	tokens     float64   // retries that the reserve allows now
	maxTokens  float64   // maximum number of accumulated tokens; 0 if there is no reserve
	refillRate float64   // tokens per second
	refilledAt time.Time
	started    bool // there has been a token
}

// NewBudget returns an empty budget that allows ratio retries for each request.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio} }

// SetRatio changes the number of retries that each request allows.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// SetReserve allows n retries in each window in addition to those that requests allow. At most half of n tokens, but at least one,
// may accumulate; the rest of n is the number of tokens that accrue over one window.
func (b *Budget) SetReserve(now time.Time, n float64) {
	b.refill(now)
	b.maxTokens, b.refillRate = 0, 0
	if n > 0 {
		b.maxTokens = max(1, n/2)
		b.refillRate = max(0, n-b.maxTokens) / window.Seconds()
	}
}

// RecordRequest counts a request; it is called for the first attempt only.
func (b *Budget) RecordRequest(now time.Time) { b.requests.add(now, window, 1) }

// refill adds the tokens that accrued since the last call.
func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		elapsed := max(0, now.Sub(b.refilledAt).Seconds())
		if !b.started {
			elapsed *= firstRefillFactor
		}
		b.tokens = min(b.maxTokens, b.tokens+b.refillRate*elapsed)
		b.started = b.started || b.tokens >= 1
	}
	b.refilledAt = now
}

// unspent returns the number of retries that the requests of the last window allow and that were not sent yet.
func (b *Budget) unspent(now time.Time) float64 {
	ratio := b.ratio
	if b.maxTokens > 0 {
		ratio *= reserveRatioShare
	}
	return max(0, ratio*b.requests.sum(now, window)-b.spent.sum(now, window))
}

// Available reports whether a retry is allowed, without spending it.
func (b *Budget) Available(now time.Time) bool {
	b.refill(now)
	return b.unspent(now)+b.tokens >= 1
}

// Grant is the right to send one retry.
type Grant struct {
	at           time.Time
	fromRequests float64 // part of the retry that requests allowed; the rest came from the reserve
}

// Take grants a retry; ok is false if the budget allows none.
func (b *Budget) Take(now time.Time) (g Grant, ok bool) {
	if !b.Available(now) {
		return Grant{}, false
	}
	g = Grant{at: now, fromRequests: min(1, b.unspent(now))}
	b.spent.add(now, window, g.fromRequests)
	b.tokens -= 1 - g.fromRequests
	return g, true
}

// Return gives back a grant whose retry was not sent, to where it came from.
func (b *Budget) Return(g Grant) {
	b.spent.add(g.at, window, -g.fromRequests)
	b.tokens = min(b.maxTokens, b.tokens+1-g.fromRequests)
}
