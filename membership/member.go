package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Status is the lifecycle status of a node.
type Status int

// The statuses of a node. Of two records with equal incarnation and sequence numbers, the one with the greater status is newer.
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
	Suspect bool // the upstream's gate suspects that it is unhealthy
}

// Member is the record of one node. Only that node writes it, except that other nodes set the status Dead.
type Member struct {
	Name        string
	Incarnation uint64
	Seq         uint64
	HealthSeq   uint64 // counts the changes of Suspect flags since the record got its Seq
	Status      Status
	Region      string
	DataCentre  string
	Address     string
	Upstreams   []Upstream
	Departures  []Departure // upstreams whose leaving this or an earlier process of the node has acknowledged
}

// Newer reports whether m is a newer record of the node than other.
func (m *Member) Newer(other *Member) bool {
	if c := cmp.Compare(m.Incarnation, other.Incarnation); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(m.Seq, other.Seq); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(m.Status, other.Status); c != 0 {
		return c > 0
	}
	return m.HealthSeq > other.HealthSeq
}

// sameButHealth reports whether two records differ in nothing but the Suspect flags of upstreams.
func (m *Member) sameButHealth(other *Member) bool {
	if m.Incarnation != other.Incarnation || m.Seq != other.Seq || m.Status != other.Status || m.Address != other.Address || len(m.Upstreams) != len(other.Upstreams) || !slices.Equal(m.Departures, other.Departures) {
		return false
	}
	for i, u := range m.Upstreams {
		old := other.Upstreams[i]
		if old.Suspect = u.Suspect; old != u {
			return false
		}
	}
	return true
}

// live reports whether the node is alive or leaving.
func (m *Member) live() bool { return m.Status == Alive || m.Status == Leaving }

// hash returns a hash of the record's name, incarnation, sequence number and status, which is used to compare views. The health of
// upstreams is not part of it: views that differ only in health count as equal.
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

// bucketCount is the number of buckets into which the members are divided, by a hash of their names, to compare views.
const bucketCount = 32

// bucketOf returns the bucket of a node, given the hash of its name.
func bucketOf(position uint64) int { return int(position % bucketCount) }
