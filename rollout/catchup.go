package rollout

import (
	"slices"
	"time"
)

// Limits of the fetches of missing state from other nodes.
const (
	fetchPatience = 400 * time.Millisecond // time without an answer after which a second node is asked; doubles with each further one
	maxFetches    = 4                      // fetches that run at a time; one more ends the oldest
)

// Fetch is a request to another node for the state that this node lacks.
type Fetch struct {
	Name, Address string // of the node that is asked
	start         time.Time
}

// CatchUp decides from which nodes a node fetches the state that it lacks. A node that has told of newer state may have frozen or lost
// power since, so a fetch that isn't answered soon doesn't keep the node from asking another. The zero value has no fetch running.
type CatchUp struct {
	sources []*Fetch // nodes with newer state that are not being asked, in the order in which they told of it
	running []*Fetch // oldest first
}

// Heard records that the named node at the address has state that this node lacks.
func (c *CatchUp) Heard(name, address string) {
	told := func(f *Fetch) bool { return f.Name == name }
	if slices.ContainsFunc(c.running, told) {
		return
	}
	c.sources = append(slices.DeleteFunc(c.sources, told), &Fetch{Name: name, Address: address})
}

// Next returns the fetch to begin now, and a running one to cancel in return. Each is nil if there is none. Sources for which needed
// returns false, since their state has come from another node meanwhile, are forgotten.
func (c *CatchUp) Next(now time.Time, needed func(name string) bool) (begin, cancel *Fetch) {
	c.sources = slices.DeleteFunc(c.sources, func(f *Fetch) bool { return !needed(f.Name) })
	if len(c.sources) == 0 || c.waits(now) {
		return nil, nil
	}
	last := len(c.sources) - 1 // the last one to be heard is the least likely to be lost
	begin = c.sources[last]
	begin.start = now
	c.sources = c.sources[:last]
	if len(c.running) >= maxFetches {
		cancel = c.running[0]
		c.running = c.running[1:]
	}
	c.running = append(c.running, begin)
	return begin, cancel
}

// waits reports whether the newest running fetch is to be given more time.
func (c *CatchUp) waits(now time.Time) bool {
	if len(c.running) == 0 {
		return false
	}
	patience := fetchPatience << (len(c.running) - 1)
	return now.Sub(c.running[len(c.running)-1].start) < patience
}

// Ended records that a fetch was answered, failed or was canceled.
func (c *CatchUp) Ended(f *Fetch) {
	c.running = slices.DeleteFunc(c.running, func(r *Fetch) bool { return r == f })
}
