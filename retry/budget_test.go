package retry_test

import (
	"testing"

	"github.com/jasminevane/jasminevane/retry"
	"pgregory.net/rapid"
)

func TestRetriesStayWithinTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		b := retry.NewBudget(ratio)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b.Request()
				requests++
			} else if b.Take() {
				retries++
			}
			if float64(retries) > ratio*float64(requests)+1e-6 {
				t.Fatalf("%d retries of %d requests, ratio %g", retries, requests, ratio)
			}
		}
	})
}
