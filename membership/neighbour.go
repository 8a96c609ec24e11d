package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ringSuccessorCount is the number of a node's successors, in the ring of its data centre, that are its neighbours.
const ringSuccessorCount = 2

func compareNames(a, b string) int { return strings.Compare(a, b) }

// chooseNeighbours selects the neighbours: the successors and the node half-way round in the ring of the data centre
// and, if this node is a relay, relays of other data centres.
func (e *Engine) chooseNeighbours() {
	if !e.neighboursStale {
		return
	}
	e.neighboursStale = false
	previous := e.neighbours
	e.neighbours = nil
	ring := e.ring(e.self.DataCentre)
	i := slices.Index(ring, e.self)
	for k := 1; k <= ringSuccessorCount; k++ {
		e.addNeighbour(ring[(i+k)%len(ring)])
	}
	e.addNeighbour(ring[(i+len(ring)/2)%len(ring)])
	if i < relaysPerDataCentre {
		e.addRelays(i)
	}
	for _, m := range previous {
		if !slices.Contains(e.neighbours, m) {
			m.pendingRecords, m.failedHeartbeats, m.probeDeadline = nil, 0, time.Time{}
		}
	}
}

func (e *Engine) addNeighbour(m *memberState) {
	if m != e.self && !slices.Contains(e.neighbours, m) {
		e.neighbours = append(e.neighbours, m)
	}
}

// addRelays adds one relay of each other data centre of the region, and one of each other region, to the neighbours.
// The argument i is the index of this node among the relays of its data centre; it spreads the choices over
// the relays of the other data centres.
func (e *Engine) addRelays(i int) {
	regions := make(map[string][]string) // data centres by region, sorted
	for _, dc := range e.dataCentres() {
		r := e.ring(dc)[0].Region
		regions[r] = append(regions[r], dc)
	}
	ownIndex := slices.Index(regions[e.self.Region], e.self.DataCentre)
	for _, r := range slices.Sorted(maps.Keys(regions)) {
		for k, dc := range regions[r] {
			otherInRegion := r == e.self.Region && dc != e.self.DataCentre
			if ring := e.ring(dc); otherInRegion || r != e.self.Region && k == (ownIndex+i)%len(regions[r]) {
				e.addNeighbour(ring[i%len(ring)])
			}
		}
	}
}

// ring returns the live nodes of a data centre sorted by the hash of their names; the first ones are its relays.
func (e *Engine) ring(dc string) []*memberState {
	var ring []*memberState
	for _, m := range e.members {
		if m.DataCentre == dc && (m.live() || m == e.self) {
			ring = append(ring, m)
		}
	}
	slices.SortFunc(ring, func(a, b *memberState) int {
		if c := cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)); c != 0 {
			return c
		}
		return compareNames(a.Name, b.Name)
	})
	return ring
}

func (e *Engine) dataCentres() []string {
	var names []string
	for _, m := range e.members {
		if m.live() && !slices.Contains(names, m.DataCentre) {
			names = append(names, m.DataCentre)
		}
	}
	slices.Sort(names)
	return names
}

// IsRelay reports whether the node is a relay of its data centre, which exchanges heartbeats with other data centres.
func (e *Engine) IsRelay() bool {
	ring := e.ring(e.self.DataCentre)
	return slices.Index(ring, e.self) < relaysPerDataCentre
}

// Neighbours returns the records of the nodes to which this node sends regular heartbeats and new records.
func (e *Engine) Neighbours() []Member {
	e.chooseNeighbours()
	records := make([]Member, len(e.neighbours))
	for i, m := range e.neighbours {
		records[i] = m.Member
	}
	return records
}

// randomResponsiveNodes returns up to n random nodes, other than this node and skip, that are alive and whose last heartbeat did
// not fail.
func (e *Engine) randomResponsiveNodes(n int, skip *memberState) []*memberState {
	var candidates []*memberState
	for _, m := range e.sortedMembers() {
		if m != e.self && m != skip && m.Status == Alive && m.failedHeartbeats == 0 {
			candidates = append(candidates, m)
		}
	}
	e.rnd.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}
