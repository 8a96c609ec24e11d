package retry_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/retry"
	"github.com/matryer/is"
)

func TestHedgeLeavesTimeForTheSecondAttempt(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name              string
		typical, timeLeft time.Duration
		doubtful          bool
		want              time.Duration
	}{
		{"much time", 100 * ms, 2000 * ms, false, 300 * ms},
		{"little time", 900 * ms, 4000 * ms, false, 2200 * ms},
		{"too little time", 900 * ms, 1500 * ms, false, 900 * ms},
		{"a doubtful upstream", 100 * ms, 2000 * ms, true, 150 * ms},
		{"a very short class", 5 * ms, 500 * ms, false, 60 * ms},
		{"nothing known", 0, 1000 * ms, false, 500 * ms},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := retry.NewHedge(tt.typical, tt.timeLeft, tt.doubtful)
			is.Equal(h.Next(), tt.want)
		})
	}
}

// TestHedgeIsTriedAgain checks that a hedge that found no capacity is tried again soon, and at last without the demand for free capacity.
func TestHedgeIsTriedAgain(t *testing.T) {
	is := is.New(t)
	h := retry.NewHedge(100*time.Millisecond, 2*time.Second, false)
	is.True(h.RequiresSpare())
	before := h.Next()
	h.Failed()
	is.True(h.Next() > before && h.Next() <= before+100*time.Millisecond)
	for range 3 {
		h.Failed()
	}
	is.True(!h.RequiresSpare())
}
