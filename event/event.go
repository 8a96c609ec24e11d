package event

import (
	"sort"
	"strings"
	"sync"
	"time"
)

// Kind names a type of event.
type Kind string

// The kinds of events that a process records.
const (
	Start     Kind = "start"
	Stop      Kind = "stop"
	Join      Kind = "join"
	Leave     Kind = "leave"
	Dead      Kind = "dead"
	Announce  Kind = "announce"
	Drain     Kind = "drain"
	Gone      Kind = "gone"
	Eject     Kind = "eject"
	Trial     Kind = "trial"
	Restore   Kind = "restore"
	Avoid     Kind = "avoid"
	Retry     Kind = "retry"
	Refuse    Kind = "refuse"
	Unknown   Kind = "unknown"
	Bundle    Kind = "bundle"
	Reject    Kind = "reject"
	Owner     Kind = "owner"
	Fence     Kind = "fence"
	StoreDown Kind = "storedown"
	StoreUp   Kind = "storeup"
)

// Event is one recorded decision or observation.
type Event struct {
	Stamp    Stamp  `json:"stamp"`
	Node     string `json:"node"`
	Kind     Kind   `json:"kind"`
	Upstream string `json:"upstream,omitempty"`
	Request  string `json:"request,omitempty"`
	Text     string `json:"text,omitempty"`
}

// Ring is a ring buffer of the newest events. The zero value stores none.
type Ring struct {
	node        string
	clock       *Clock
	maxEvents   int
	mu          sync.Mutex
	buf         []Event
	oldestIndex int
}

// NewRing returns a ring for up to maxEvents events, recorded under the name of the node.
func NewRing(node string, clock *Clock, size int) *Ring {
	return &Ring{node: node, clock: clock, maxEvents: size, buf: make([]Event, 0, size)}
}

// Add stamps and stores e, dropping the oldest event when the ring is full.
func (r *Ring) Add(e Event) {
	if r == nil || r.maxEvents == 0 {
		return
	}
	e.Node = r.node
	e.Stamp = r.clock.Now(time.Now())
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.buf) < r.maxEvents {
		r.buf = append(r.buf, e)
		return
	}
	r.buf[r.oldestIndex] = e
	r.oldestIndex = (r.oldestIndex + 1) % len(r.buf)
}

// Events returns the stored events that match f, oldest first.
func (r *Ring) Events(f Filter) []Event {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	all := make([]Event, 0, len(r.buf))
	all = append(all, r.buf[r.oldestIndex:]...)
	all = append(all, r.buf[:r.oldestIndex]...)
	r.mu.Unlock()
	matching := all[:0]
	for _, e := range all {
		if f.match(e) {
			matching = append(matching, e)
		}
	}
	return matching
}

// Filter selects events. An empty field matches any value; Request matches by prefix.
type Filter struct {
	Node     string
	Kind     Kind
	Upstream string
	Request  string
}

func (f Filter) match(e Event) bool {
	return (f.Node == "" || f.Node == e.Node) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		(f.Upstream == "" || f.Upstream == e.Upstream) &&
		(f.Request == "" || strings.HasPrefix(e.Request, f.Request))
}

// Merge merges the events of several processes, ordered by stamp and then by node.
func Merge(lists ...[]Event) []Event {
	var merged []Event
	for _, l := range lists {
		merged = append(merged, l...)
	}
	sort.SliceStable(merged, func(i, j int) bool {
		if merged[i].Stamp != merged[j].Stamp {
			return merged[i].Stamp < merged[j].Stamp
		}
		return merged[i].Node < merged[j].Node
	})
	return merged
}
