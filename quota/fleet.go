package quota

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times that the view of the fleet depends on.
const (
	// detectionTime is the time within which both sides of a cut, and a node that was wrongly taken for dead, are assumed to know of it.
	detectionTime = 5 * time.Second
	// rememberTime is the time for which a dead node counts as one that may run beyond a cut. It must outlast partitions.
	rememberTime = 2 * time.Minute
	// handoverTime is the time within which all nodes know of one that leaves.
	handoverTime = 500 * time.Millisecond
	// soleNodeTime is the time after the start from which a node that has heard from no other one takes itself for the only one.
	soleNodeTime = 10 * time.Second
	// silentTime is the time for which a node that didn't answer is not asked again.
	silentTime = 500 * time.Millisecond
)

// callersPerShard is the minimum number of callers of a shard, if there are more shards than one.
const callersPerShard = 16

// Status is the state of another node in the view of this one.
type Status int

// The statuses of a node.
const (
	Live    Status = iota + 1
	Leaving        // still runs, but holds no buckets
	Dead           // may run beyond a cut
	Left
)

// member is a node of the fleet.
type member struct {
	hash        uint64
	status      Status
	since       time.Time // time of the last change of the status
	silentUntil time.Time
}

func (m *member) counted(now time.Time) bool {
	return m.status == Live || m.status == Leaving || m.status == Dead && now.Sub(m.since) < rememberTime
}

// Fleet is the fleet as one node sees it. It chooses the allocator of a caller and its stand-in.
type Fleet struct {
	self     string
	startAt  time.Time
	members  map[string]*member
	shards   uint64 // number of groups of callers that share an allocator, a power of two; 0 while their number is unknown
	complete bool   // the node has heard from another one, or there is none
	version  uint64
	share    float64   // live nodes as a share of the known ones
	known    int       // live nodes, and dead ones that may run beyond a cut
	raisedAt time.Time // time at which share last rose
	countAt  time.Time // time at which the nodes were counted last
}

// NewFleet returns the view of a node that knows only itself.
func NewFleet(now time.Time, self string) *Fleet {
	f := &Fleet{self: self, startAt: now, members: make(map[string]*member)}
	f.Update(now, self, Live)
	return f
}

// Update sets the status of a node.
func (f *Fleet) Update(now time.Time, name string, status Status) {
	m := f.members[name]
	if m != nil && m.status == status {
		return
	}
	if m == nil {
		m = &member{hash: xxhash.Sum64String(name)}
		f.members[name] = m
	}
	m.status, m.since = status, now
	f.version++
	f.count(now)
}

// SetCallers sets the number of callers that have a limit, from which the number of shards follows, and reports whether callers moved to other
// nodes thereby. Callers of one shard share an allocator, so that the connections to it stay in use.
func (f *Fleet) SetCallers(n int) (moved bool) {
	shards := uint64(1)
	for 2*shards*callersPerShard <= uint64(max(0, n)) {
		shards *= 2
	}
	if shards == f.shards {
		return false
	}
	moved = f.shards > 0
	f.shards = shards
	f.version++
	return moved
}

// shardHash returns the hash of the shard of a caller. Each caller is a shard of its own while their number is unknown.
func (f *Fleet) shardHash(caller string) uint64 {
	hash := xxhash.Sum64String(caller)
	if f.shards == 0 {
		return hash
	}
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], hash%f.shards)
	return xxhash.Sum64(b[:])
}

// Learn adds a node that has registered but that this node has not met.
func (f *Fleet) Learn(now time.Time, name string) {
	if f.members[name] == nil {
		f.Update(now, name, Dead)
	}
}

// Remove removes a node that is no longer known.
func (f *Fleet) Remove(now time.Time, name string) {
	if name == f.self {
		return
	}
	delete(f.members, name)
	f.version++
	f.count(now)
}

// Complete tells that the node has heard from another one, or that there is none. Until then it fills no bucket.
func (f *Fleet) Complete(now time.Time) {
	if f.complete {
		return
	}
	f.complete = true
	f.count(now)
}

// count counts the nodes anew.
func (f *Fleet) count(now time.Time) {
	f.countAt = now
	live, known := 0, 0
	for _, m := range f.members {
		if m.counted(now) {
			known++
		}
		if m.status == Live || m.status == Leaving {
			live++
		}
	}
	share := 0.0
	if f.complete && known > 0 {
		share = float64(live) / float64(known)
	}
	if share > f.share {
		f.raisedAt = now
	}
	f.share, f.known = share, known
}

// recount counts the nodes anew if the last count is old: dead nodes are forgotten in time.
func (f *Fleet) recount(now time.Time) {
	if now.Sub(f.startAt) > soleNodeTime {
		f.Complete(now)
	}
	if now.Sub(f.countAt) >= time.Second {
		f.count(now)
	}
}

// part returns the share of n nodes in the known ones.
func (f *Fleet) part(n int) float64 { return min(1, float64(n)/float64(max(1, f.known))) }

// silence records that a node didn't answer.
func (f *Fleet) silence(now time.Time, name string) {
	if m := f.members[name]; m != nil {
		m.silentUntil = now.Add(silentTime)
	}
}

// answered records that a node answered.
func (f *Fleet) answered(name string) {
	if m := f.members[name]; m != nil {
		m.silentUntil = time.Time{}
	}
}

func (f *Fleet) silent(now time.Time, name string) bool {
	m := f.members[name]
	return m == nil || now.Before(m.silentUntil)
}

// places holds the two nodes that are asked for the tokens of a caller, in the view of one version.
type places struct {
	allocator, standIn string
	version            uint64
}

// place returns the places of a caller; those of an earlier call are reused while the view is the same.
func (f *Fleet) place(caller string, old places) places {
	if old.version == f.version {
		return old
	}
	p := places{version: f.version}
	var first, second uint64
	shardHash := f.shardHash(caller)
	for name, m := range f.members {
		if m.status != Live {
			continue
		}
		weight := m.weight(shardHash)
		switch {
		case p.allocator == "" || weight > first:
			second, p.standIn = first, p.allocator
			first, p.allocator = weight, name
		case p.standIn == "" || weight > second:
			second, p.standIn = weight, name
		}
	}
	if p.allocator == "" {
		p.allocator = f.self // the last node of the fleet leaves
	}
	return p
}

// weight returns the weight of the node for a shard; the live node with the highest one is the allocator.
func (m *member) weight(shardHash uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:], shardHash)
	binary.LittleEndian.PutUint64(b[8:], m.hash)
	return xxhash.Sum64(b[:])
}

// takeover returns when this node became the allocator of a caller because a node before it died or left, and until when that node
// may still grant tokens. Both are zero if no node is before it.
func (f *Fleet) takeover(caller string) (since, heldUntil time.Time) {
	shardHash := f.shardHash(caller)
	own := f.members[f.self].weight(shardHash)
	for _, m := range f.members {
		if m.status == Live || m.weight(shardHash) <= own {
			continue
		}
		hold := detectionTime
		if m.status != Dead {
			hold = handoverTime
		}
		since, heldUntil = later(since, m.since), later(heldUntil, m.since.Add(hold))
	}
	return since, heldUntil
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Allocator returns the name of the caller's allocator.
func (f *Fleet) Allocator(caller string) string { return f.place(caller, places{}).allocator }
