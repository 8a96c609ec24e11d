package retry

import "time"

// Delays of hedged attempts, in multiples of the typical service time.
const (
	hedgeFactor         = 3   // time without a response after which an attempt counts as late
	doubtfulHedgeFactor = 1.5 // the same at an upstream that is likely unhealthy
	roomFactor          = 2   // time that is left for the hedged attempt
	overdueFactor       = 5   // time after which a hedged attempt may go to an upstream without free capacity
)

// Delays that don't depend on the service time.
const (
	minHedgeDelay      = 60 * time.Millisecond
	hedgeRetryInterval = 100 * time.Millisecond // time until a hedge that could not start is tried again
)

// Hedge decides when a request whose attempt has no response gets another attempt in parallel.
type Hedge struct {
	typical time.Duration
	next    time.Duration // time since the start of the request at which the next hedged attempt is due
}

// NewHedge returns the decision for a request with the given typical service time, 0 if it is unknown, and time left until its deadline.
// An attempt at a doubtful upstream, which is likely unhealthy, is hedged earlier.
func NewHedge(typical, timeLeft time.Duration, doubtful bool) Hedge {
	if typical <= 0 {
		return Hedge{next: timeLeft / 2}
	}
	factor := float64(hedgeFactor)
	if doubtful {
		factor = doubtfulHedgeFactor
	}
	late := time.Duration(factor * float64(typical))
	latest := max(typical, timeLeft-roomFactor*typical)
	return Hedge{typical: typical, next: max(minHedgeDelay, min(late, latest))}
}

// Next returns the time since the start of the request at which the next hedged attempt is due.
func (h *Hedge) Next() time.Duration { return h.next }

// Failed records that no hedged attempt could be started, for want of budget or capacity; the next is due soon after.
func (h *Hedge) Failed() { h.next += hedgeRetryInterval }

// Started records that a hedged attempt was started; the next one is due after it is late in turn.
func (h *Hedge) Started() { h.next += max(minHedgeDelay, hedgeFactor*h.typical) }

// RequiresSpare reports whether a hedged attempt that is due may go only to an upstream with free capacity. Once the first attempt is
// surely lost, it may go to any.
func (h *Hedge) RequiresSpare() bool { return h.typical <= 0 || h.next < overdueFactor*h.typical }
