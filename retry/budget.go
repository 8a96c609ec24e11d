package retry

// maxTokens bounds the retries that may be saved up where no reserve is set.
const maxTokens = 10

// Budget allows retries up to a ratio of requests; the zero value allows none.
type Budget struct {
	ratio   float64
	tokens  float64
	reserve float64
}

// NewBudget returns a budget of ratio retries for each request.
func NewBudget(ratio float64) *Budget { return &Budget{ratio: ratio} }

// SetRatio changes the retries allowed for each request.
func (b *Budget) SetRatio(ratio float64) { b.ratio = ratio }

// SetReserve changes how many retries may be saved up; 0 stands for the default.
func (b *Budget) SetReserve(n float64) {
	if b.reserve == 0 && n > 0 {
		b.tokens = max(b.tokens, n)
	}
	b.reserve = n
}

func (b *Budget) bound() float64 {
	if b.reserve > 0 {
		return max(1, b.reserve)
	}
	return maxTokens
}

// Request counts a first attempt.
func (b *Budget) Request() { b.tokens = min(b.bound(), b.tokens+b.ratio) }

// Left reports whether one more attempt is allowed without counting it.
func (b *Budget) Left() bool { return b.tokens >= 1 }

// Take reports whether one more attempt is allowed and counts it.
func (b *Budget) Take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
