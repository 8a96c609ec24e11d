package retry

import "time"

// windowSlots is the number of parts of a sliding window.
const windowSlots = 20

// windowSum adds up values of the last window, in parts of it. It counts by the steady clock, so that a step of the time of day neither
// empties nor stops it. The zero value is empty.
type windowSum struct {
	slots  [windowSlots]float64
	start  time.Time // time of the first value
	newest int       // number of the newest part since start
}

// number returns the number of the part of the window that contains the given time.
func (w *windowSum) number(at time.Time, window time.Duration) int {
	if w.start.IsZero() {
		w.start = at
	}
	return int(max(0, at.Sub(w.start)) / (window / windowSlots))
}

// advance moves the window on to now and clears the parts that it leaves.
func (w *windowSum) advance(now time.Time, window time.Duration) {
	number := w.number(now, window)
	for n := max(w.newest+1, number-windowSlots+1); n <= number; n++ {
		w.slots[n%windowSlots] = 0
	}
	w.newest = max(w.newest, number)
}

// add adds a value that belongs to the given time, unless the window has left that time behind.
func (w *windowSum) add(at time.Time, window time.Duration, value float64) {
	w.advance(at, window)
	if n := w.number(at, window); n > w.newest-windowSlots {
		w.slots[n%windowSlots] += value
	}
}

// sum returns the sum of the window that ends now.
func (w *windowSum) sum(now time.Time, window time.Duration) float64 {
	w.advance(now, window)
	total := 0.0
	for _, v := range w.slots {
		total += v
	}
	return total
}
