package node

import "sync"

// longRunning is how much earlier than this process another node must have started to count as one that ran beside an earlier process of this
// node. It is in milliseconds of the time of day, which may differ between instances.
const longRunning = 10_000

// recall tells whether a process that has started knows the departures that earlier processes of its node acknowledged. They are in the
// directory, and other nodes tell of them. The zero value has heard of nothing.
type recall struct {
	mu              sync.Mutex
	directoryRead   bool   // the departures in the directory were applied, or there is no directory
	directoryFailed bool   // a call to the directory failed
	heard           bool   // another node has told what it knows, or there is none
	oldNode         string // name of one that did so and ran beside an earlier process of this node; empty if there is none
	heardTwoOld     bool   // another such node did so, too
}

// readDirectory records that the departures in the directory were applied.
func (r *recall) readDirectory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directoryRead = true
}

// failDirectory records that a call to the directory failed.
func (r *recall) failDirectory() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directoryFailed = true
}

// hearNobody records that there is no other node.
func (r *recall) hearNobody() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = true
}

// hear records that the named node, of the given incarnation, told this process, of the incarnation own, what it knows.
func (r *recall) hear(name string, incarnation, own uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.heard = true
	switch {
	case incarnation+longRunning >= own:
	case r.oldNode == "":
		r.oldNode = name
	case r.oldNode != name:
		r.heardTwoOld = true
	}
}

// heardAny reports whether another node has told what it knows, or there is none.
func (r *recall) heardAny() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heard
}

// complete reports whether all departures are known, as far as they can be. Without the directory, two nodes that have run for long must have
// been heard: one that started together with this process knows as little, and one may have been suspended while a departure spread.
func (r *recall) complete() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.directoryRead {
		return r.heard
	}
	return r.directoryFailed && r.heardTwoOld
}
