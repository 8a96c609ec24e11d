package retry

import (
	"math"
	"time"
)

// Parameters of the budget; one token allows one retry.
const (
	defaultMaxTokens  = 10              // maximum number of accumulated tokens if no reserve is set
	firstRefillFactor = 3               // factor on the refill rate of the reserve until a new budget has its first token
	saveTime          = 5 * time.Second // time for which tokens of requests may be saved up in addition to the reserve
	reserveRatioShare = 0.75            // fraction of the ratio used if a reserve is set; the rest is left for retries of calls that upstreams make
)

// Budget limits retries to a ratio of the requests plus a fixed reserve in each window; the zero value allows none.
// A new budget is empty, so that a restart of the process grants no extra retries.
type Budget struct {
	ratio      float64
	tokens     float64
	maxTokens  float64 // maximum number of accumulated tokens; 0 means defaultMaxTokens
	refillRate float64 // tokens per second that accrue in addition to those for requests
	refilledAt time.Time
	started    bool    // there has been a token
	rate       float64 // requests per second, a moving average over saveTime
}

// NewBudget returns an empty budget to which each request adds ratio tokens; one token allows one retry.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio} }

// SetRatio changes the number of tokens that each request adds.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// SetReserve allows n retries in each window in addition to those that requests allow. At most half of n tokens, but at least one,
// may accumulate; the rest of n is the number of tokens that accrue over one window.
func (b *Budget) SetReserve(now time.Time, n float64, window time.Duration) {
	b.refill(now)
	b.maxTokens, b.refillRate = 0, 0
	if n > 0 {
		b.maxTokens = max(1, n/2)
		b.refillRate = max(0, n-b.maxTokens) / window.Seconds()
	}
}

// RecordRequest adds the tokens for one request; it is called for the first attempt only.
func (b *Budget) RecordRequest(now time.Time) {
	b.refill(now)
	b.rate += 1 / saveTime.Seconds()
	b.add(b.tokensPerRequest())
}

// tokensPerRequest returns the number of tokens that one request adds.
func (b *Budget) tokensPerRequest() float64 {
	if b.maxTokens > 0 {
		return b.ratio * reserveRatioShare
	}
	return b.ratio
}

// refill adds the tokens that accrued since the last call.
func (b *Budget) refill(now time.Time) {
	if !b.refilledAt.IsZero() {
		elapsed := max(0, now.Sub(b.refilledAt).Seconds())
		b.rate *= math.Exp(-elapsed / saveTime.Seconds())
		if !b.started {
			elapsed *= firstRefillFactor
		}
		b.add(b.refillRate * elapsed)
		b.started = b.started || b.tokens >= 1
	}
	b.refilledAt = now
}

// add adds tokens up to the maximum.
func (b *Budget) add(tokens float64) {
	maxTokens := float64(defaultMaxTokens)
	if b.maxTokens > 0 {
		maxTokens = b.maxTokens + b.tokensPerRequest()*b.rate*saveTime.Seconds()
	}
	b.tokens = min(max(maxTokens, b.tokens), b.tokens+tokens)
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

// Return gives back the token of a retry that was not sent.
func (b *Budget) Return() { b.tokens++ }
