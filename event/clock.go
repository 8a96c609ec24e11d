package event

import (
	"sync"
	"time"
)

// logicalBits is the width of the counter that orders events within one millisecond.
const logicalBits = 16

// Stamp is a hybrid logical time: milliseconds since 1970 in the upper 48 bits, a counter below.
type Stamp uint64

// Time returns the physical part of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// Clock issues stamps that grow with every event and every message received; the zero value works.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp greater than all stamps issued or seen before.
func (c *Clock) Now(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, Stamp(now.UnixMilli())<<logicalBits)
	return c.last
}

// Observe moves the clock past a stamp received from another process.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}
