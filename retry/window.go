package retry

import "time"

// windowSlots is the number of parts of a sliding window.
const windowSlots = 20

// windowSum adds up values of the last ratioWindow, in parts of the window. The zero value is empty.
type windowSum struct {
	slots   [windowSlots]float64
	current int64 // number of the newest part, counted from the Unix epoch
}

// advance moves the window on to now and clears the parts that it leaves.
func (w *windowSum) advance(now time.Time) {
	number := now.UnixNano() / int64(ratioWindow/windowSlots)
	for n := max(w.current+1, number-windowSlots+1); n <= number; n++ {
		w.slots[n%windowSlots] = 0
	}
	w.current = max(w.current, number)
}

// add adds a value at now.
func (w *windowSum) add(now time.Time, value float64) {
	w.advance(now)
	w.slots[w.current%windowSlots] += value
}

// sum returns the sum of the window that ends now.
func (w *windowSum) sum(now time.Time) float64 {
	w.advance(now)
	total := 0.0
	for _, v := range w.slots {
		total += v
	}
	return total
}
