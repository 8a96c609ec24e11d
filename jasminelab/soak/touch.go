package soak

import (
	"sync"
	"time"
)

// settle is the time after a disturbance from which the promises with a time bound hold again.
const settle = 3 * time.Second

// touch keeps what was disturbed and until when.
type touch struct {
	mu    sync.Mutex
	open  map[string]int
	ended map[string]time.Time
}

func newTouch() *touch { return &touch{open: make(map[string]int), ended: make(map[string]time.Time)} }

// disturb notes that the named parts are disturbed until the returned function is called.
func (t *touch) disturb(names ...string) func() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range names {
		t.open[n]++
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		for _, n := range names {
			t.open[n]--
			t.ended[n] = time.Now()
		}
	}
}

// calmSince reports whether none of the parts has been disturbed since at.
func (t *touch) calmSince(at time.Time, names ...string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range names {
		if t.open[n] > 0 || t.ended[n].After(at) {
			return false
		}
	}
	return true
}
