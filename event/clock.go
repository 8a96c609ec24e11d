package event

import (
	"sync"
	"time"
)

// logicalBits is the width in bits of the counter that orders events within one millisecond.
const logicalBits = 16

// Stamp is the time of a hybrid logical clock: Unix milliseconds in the upper 48 bits, a counter in the lower 16.
type Stamp uint64

// Time returns the physical part of the stamp.
func (s Stamp) Time() time.Time { return time.UnixMilli(int64(s >> logicalBits)) }

// Clock is a hybrid logical clock. Its stamps increase with every event and every message received. The zero value is ready to use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp greater than all stamps issued or observed before.
func (c *Clock) Now(now time.Time) Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last+1, Stamp(now.UnixMilli())<<logicalBits)
	return c.last
}

// Observe advances the clock to a stamp received from another process.
func (c *Clock) Observe(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last = max(c.last, s)
}
