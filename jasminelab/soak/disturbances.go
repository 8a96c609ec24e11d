package soak

import (
	"sync"
	"time"
)

// settleTime is the time after the end of a disturbance from which promises with a time bound are checked again.
const settleTime = 3 * time.Second

// disturbances records which nodes, and whether the store, are disturbed by faults, or when they last were.
type disturbances struct {
	mu     sync.Mutex
	active map[string]int       // faults in progress, by name
	ended  map[string]time.Time // end of the latest fault, by name
}

func newDisturbances() *disturbances {
	return &disturbances{active: make(map[string]int), ended: make(map[string]time.Time)}
}

// begin records that the named nodes or the store are disturbed until the returned function is called.
func (d *disturbances) begin(names ...string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range names {
		d.active[n]++
	}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, n := range names {
			d.active[n]--
			d.ended[n] = time.Now()
		}
	}
}

// undisturbedSince reports whether none of the named nodes and the store was disturbed since start.
func (d *disturbances) undisturbedSince(start time.Time, names ...string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range names {
		if d.active[n] > 0 || d.ended[n].After(start) {
			return false
		}
	}
	return true
}
