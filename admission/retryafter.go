package admission

import (
	"math"
	"time"
)

// Parameters of the time after which a refused request is told to return.
const (
	maxReturnShare  = 1.0 / 3 // maximum share of the time that a request has left
	minReturn       = 20 * time.Millisecond
	refusalsOfOne   = 3   // gates that typically refuse the same request before its caller is told
	minReturnSpread = 0.7 // smallest factor by which the time is varied
	returnSpread    = 0.6 // range of the factors by which the time is varied
	minCapSpread    = 0.3 // the same for the maximum of the time
	capSpread       = 0.4
	priorityCount   = maxPriority + 1
)

// returnPlan plans when refused requests return, so that they come at the rate at which slots become free. The zero value has no returns.
type returnPlan struct {
	nextAt [priorityCount]time.Time // time of the next return, by priority
	count  uint64
}

// hint returns the time after which a refused request is to return: after the wait that it would have now and behind the returns planned
// before, of the same priority or a more urgent one; left is the time that the request has left.
func (p *returnPlan) hint(now time.Time, priority int, wait, interval, left time.Duration) time.Duration {
	at := now.Add(wait)
	if p.nextAt[priority].After(at) {
		at = p.nextAt[priority]
	}
	if latest := now.Add(time.Duration(maxReturnShare * float64(left))); at.After(latest) {
		at = latest // later returns can't be planned
	}
	next := at.Add(interval / refusalsOfOne)
	for i := priority; i < priorityCount; i++ {
		if next.After(p.nextAt[i]) {
			p.nextAt[i] = next
		}
	}
	p.count++
	_, point := math.Modf(float64(p.count) * (math.Phi - 1)) // consecutive points of this sequence are evenly spread
	return SpreadReturn(at.Sub(now), left, point)
}

// SpreadReturn varies the time after which a refused request returns by a point in [0, 1), so that callers don't return together, and
// limits it to a third of the time that the request has left.
func SpreadReturn(after, left time.Duration, point float64) time.Duration {
	spread := time.Duration((minReturnSpread + returnSpread*point) * float64(after))
	longest := time.Duration(maxReturnShare * (minCapSpread + capSpread*point) * float64(left))
	return max(0, min(max(minReturn, spread), longest))
}

// LimitReturn limits the time after which a refused request returns to a third of the time that it has left.
func LimitReturn(after, left time.Duration) time.Duration {
	return max(0, min(after, time.Duration(maxReturnShare*float64(left))))
}
