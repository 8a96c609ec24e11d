package soak

import (
	"sync"
	"time"
)

// settleTime is how long after the end of a fault guarantees with a time limit are not checked.
const settleTime = 3 * time.Second

// faultTracker records the active faults of the nodes and the store, and when their latest faults ended.
type faultTracker struct {
	mu           sync.Mutex
	activeCounts map[string]int       // number of active faults, by name of the node or store
	endedAt      map[string]time.Time // end of the latest fault, by name of the node or store
}

func newFaultTracker() *faultTracker {
	return &faultTracker{activeCounts: make(map[string]int), endedAt: make(map[string]time.Time)}
}

// begin records the start of a fault of the named nodes or the store. The returned function records its end.
func (d *faultTracker) begin(names ...string) func() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range names {
		d.activeCounts[n]++
	}
	return func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		for _, n := range names {
			d.activeCounts[n]--
			d.endedAt[n] = time.Now()
		}
	}
}

// faultFreeSince reports whether none of the named nodes, or the store if it is named, has had a fault since start.
func (d *faultTracker) faultFreeSince(start time.Time, names ...string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range names {
		if d.activeCounts[n] > 0 || d.endedAt[n].After(start) {
			return false
		}
	}
	return true
}
