package retry_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/retry"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func TestRetriesStayWithinTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		b := retry.NewBudget(ratio)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(epoch)
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

// TestRetriesOfAWindowStayWithinTheReserve draws requests, retries and restarts of the process at random times and checks each window that
// ends with a retry.
func TestRetriesOfAWindowStayWithinTheReserve(t *testing.T) {
	const window = 10 * time.Second
	type step struct {
		at      time.Time
		request bool
	}
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		reserve := rapid.Float64Range(2, 20).Draw(t, "reserve")
		var b *retry.Budget
		restart := func() {
			b = retry.NewBudget(ratio)
			b.SetReserve(reserve, window)
		}
		restart()
		now := epoch
		var steps []step
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch p := rapid.IntRange(0, 19).Draw(t, "kind"); {
			case p == 0:
				restart()
			case p < 10:
				b.RecordRequest(now)
				steps = append(steps, step{now, true})
			case b.Take():
				steps = append(steps, step{now, false})
				requests, retries := 0, 0
				for _, s := range steps {
					if now.Sub(s.at) > window {
						continue
					}
					if s.request {
						requests++
					} else {
						retries++
					}
				}
				if allowed := ratio*float64(requests) + reserve + 1; float64(retries) > allowed {
					t.Fatalf("%d retries of %d requests in a window, allowed %g", retries, requests, allowed)
				}
			}
		}
	})
}

// TestRestartGivesNoRetries guards against a retry surge when all processes of a fleet restart: full initial budgets would add up within
// one window.
func TestRestartGivesNoRetries(t *testing.T) {
	b := retry.NewBudget(0.2)
	b.SetReserve(2.5, 10*time.Second)
	b.RecordRequest(epoch)
	if b.Take() {
		t.Fatal("a new budget allows a retry")
	}
}
