package retry_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/retry"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// take reports whether the budget grants a retry.
func take(b *retry.Budget, now time.Time) bool {
	_, ok := b.Take(now)
	return ok
}

func TestRetriesStayWithinTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		budget := retry.NewBudget(ratio)
		requests, retries := 0, 0
		for range rapid.IntRange(1, 500).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "request") {
				budget.RecordRequest(epoch)
				requests++
			} else if take(budget, epoch) {
				retries++
			}
			if float64(retries) > ratio*float64(requests)+1e-6 {
				t.Fatalf("%d retries of %d requests, ratio %g", retries, requests, ratio)
			}
		}
	})
}

// TestRetriesOfAWindowStayWithinTheReserve draws requests, retries and restarts of the process at random times. It checks that no window
// that ends with a retry has more retries than the ratio and the reserve allow.
func TestRetriesOfAWindowStayWithinTheReserve(t *testing.T) {
	const window = 10 * time.Second
	type event struct {
		at      time.Time
		request bool // a request if true, a retry if false
	}
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		reserve := rapid.Float64Range(2, 20).Draw(t, "reserve")
		var budget *retry.Budget
		now := epoch
		restart := func() {
			budget = retry.NewBudget(ratio)
			budget.SetReserve(now, reserve)
		}
		restart()
		var events []event
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			switch action := rapid.IntRange(0, 19).Draw(t, "kind"); {
			case action == 0:
				restart()
			case action < 10:
				budget.RecordRequest(now)
				events = append(events, event{now, true})
			case take(budget, now):
				events = append(events, event{now, false})
				requests, retries := 0, 0
				for _, e := range events {
					if now.Sub(e.at) > window {
						continue
					}
					if e.request {
						requests++
					} else {
						retries++
					}
				}
				if maxRetries := ratio*float64(requests) + reserve + 1; float64(retries) > maxRetries {
					t.Fatalf("%d retries of %d requests in a window, allowed %g", retries, requests, maxRetries)
				}
			}
		}
	})
}

// TestRestartGivesNoRetries guards against a retry surge when all processes of a fleet restart: full initial budgets would add up within
// one window.
func TestRestartGivesNoRetries(t *testing.T) {
	b := retry.NewBudget(0.2)
	b.SetReserve(epoch, 2.5)
	b.RecordRequest(epoch)
	if take(b, epoch) {
		t.Fatal("a new budget allows a retry")
	}
}

// TestIdleFleetCanRetryItsFirstRequests checks that each node of a small reserve has a retry when traffic begins some seconds after the
// start, and that ratio tokens are saved up for a burst of failures.
func TestIdleFleetCanRetryItsFirstRequests(t *testing.T) {
	const window = 10 * time.Second
	b := retry.NewBudget(0.2)
	b.SetReserve(epoch, 1.8)
	now := epoch.Add(8 * time.Second)
	b.RecordRequest(now)
	if !take(b, now) {
		t.Fatal("no retry for the first request")
	}
	const requests = 100
	for range requests {
		now = now.Add(window / requests)
		b.RecordRequest(now)
	}
	retries := 0
	for take(b, now) {
		retries++
	}
	if want := 10; retries < want || retries > 20 {
		t.Fatalf("%d retries in a row after %d requests in a window, want %d to 20", retries, requests, want)
	}
}

// TestSavedRetriesStayWithinEachWindow has requests come steadily and fail all at once after a time without failures, and checks the
// limit in each window: what was saved before a window must not add to what the requests in it allow.
func TestSavedRetriesStayWithinEachWindow(t *testing.T) {
	const window, ratio, reserve = 10 * time.Second, 0.2, 2.0
	b := retry.NewBudget(ratio)
	b.SetReserve(epoch, reserve)
	var requests, retries []time.Time
	now := epoch
	for i := range 6000 {
		now = now.Add(10 * time.Millisecond)
		if i%10 == 0 {
			b.RecordRequest(now)
			requests = append(requests, now)
		}
		if i >= 3000 && take(b, now) {
			retries = append(retries, now)
		}
	}
	within := func(times []time.Time, end time.Time) float64 {
		count := 0
		for _, at := range times {
			if at.After(end.Add(-window)) && !at.After(end) {
				count++
			}
		}
		return float64(count)
	}
	for _, end := range retries {
		if allowed := ratio*within(requests, end) + reserve; within(retries, end) > allowed {
			t.Fatalf("%v retries in the window that ends at %v, allowed %v", within(retries, end), end.Sub(epoch), allowed)
		}
	}
}

// TestReturnedRetriesAddNothing takes and returns retries of the reserve again and again, as hedges do that find no capacity, and checks
// that the window then allows no more than the reserve.
func TestReturnedRetriesAddNothing(t *testing.T) {
	const reserve = 20.0
	b := retry.NewBudget(0.2)
	b.SetReserve(epoch, reserve)
	now := epoch
	retries := 0
	for i := range 400 { // 40 s, of which the retries of the last 10 s are sent
		now = now.Add(100 * time.Millisecond)
		g, ok := b.Take(now)
		for ; ok && i >= 300; g, ok = b.Take(now) {
			retries++
		}
		if ok {
			b.Return(g)
		}
	}
	if float64(retries) > reserve {
		t.Fatalf("%d retries in a window, allowed %v", retries, reserve)
	}
}
