package membership

import (
	"cmp"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Status is the lifecycle status of a node.
type Status int

// Statuses of a node. At equal sequence numbers, a later one supersedes an earlier one.
const (
	Alive Status = iota + 1
	Leaving
	Left
	Dead
)

// String returns the name of the status.
func (s Status) String() string {
	names := [...]string{"none", "alive", "leaving", "left", "dead"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// State is the state of an upstream.
type State int

// The states of an upstream.
const (
	Warming State = iota + 1
	Ready
	Draining
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"none", "warming", "ready", "draining"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Upstream is an upstream served by a node.
type Upstream struct {
	ID      string
	Service string
	Slots   int
	State   State
	Suspect bool // its gate reports it as suspect
}

// Member is the record of one node. Only that node writes it, except for the status Dead, which others set.
type Member struct {
	Name        string
	Incarnation uint64
	Seq         uint64
	Status      Status
	Region      string
	DataCentre  string
	Address     string
	Upstreams   []Upstream
}

// Newer reports whether m supersedes o.
func (m *Member) Newer(o *Member) bool {
	if c := cmp.Compare(m.Incarnation, o.Incarnation); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(m.Seq, o.Seq); c != 0 {
		return c > 0
	}
	return m.Status > o.Status
}

// live reports whether the node is alive or leaving.
func (m *Member) live() bool { return m.Status == Alive || m.Status == Leaving }

// hash returns a hash of the name and version of the record, with which views are compared.
func (m *Member) hash() uint64 {
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], m.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], m.Seq)
	b[16] = byte(m.Status)
	var h xxhash.Digest
	h.Reset()
	_, _ = h.WriteString(m.Name)
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// bucketCount is the number of buckets into which members are hashed for the comparison of views.
const bucketCount = 32

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % bucketCount) }
