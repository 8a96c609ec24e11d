package soak

import (
	"sync"
	"time"
)

// settleTime is the time after a disturbance from which the promises with a time bound hold again.
const settleTime = 3 * time.Second

// disturbances keeps what was disturbed and until when.
type disturbances struct {
	mu     sync.Mutex
	active map[string]int
	ended  map[string]time.Time
}

func newDisturbances() *disturbances {
	return &disturbances{active: make(map[string]int), ended: make(map[string]time.Time)}
}

// disturb notes that the named parts are disturbed until the returned function is called.
func (t *disturbances) disturb(names ...string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range names {
		t.active[n]++
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, n := range names {
			t.active[n]--
			t.ended[n] = time.Now()
		}
	}
}

// undisturbedSince reports whether none of the parts has been disturbed since at.
func (t *disturbances) undisturbedSince(start time.Time, names ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range names {
		if t.active[n] > 0 || t.ended[n].After(start) {
			return false
		}
	}
	return true
}
