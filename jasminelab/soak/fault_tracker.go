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
func (t *faultTracker) begin(names ...string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range names {
		t.activeCounts[n]++
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, n := range names {
			t.activeCounts[n]--
			t.endedAt[n] = time.Now()
		}
	}
}

// faultFreeSince reports whether none of the named nodes, or the store if it is named, has had a fault since start.
func (t *faultTracker) faultFreeSince(start time.Time, names ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range names {
		if t.activeCounts[n] > 0 || t.endedAt[n].After(start) {
			return false
		}
	}
	return true
}
