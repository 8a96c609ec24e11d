package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ringSuccessors is the number of successors in the ring of its data centre that are neighbours of a node.
const ringSuccessors = 2

func compareNames(a, b string) int { return strings.Compare(a, b) }

// chooseNeighbours selects the neighbours: the successors and the opposite node in the ring of the data centre
// and, if this node is a relay, relays of other data centres.
func (e *Engine) chooseNeighbours() {
	if !e.neighboursStale {
		return
	}
	e.neighboursStale = false
	old := e.neighbours
	e.neighbours = nil
	ring := e.ring(e.self.DataCentre)
	i := slices.Index(ring, e.self)
	for k := 1; k <= ringSuccessors; k++ {
		e.addNeighbour(ring[(i+k)%len(ring)])
	}
	e.addNeighbour(ring[(i+len(ring)/2)%len(ring)])
	if i < relaysPerDataCentre {
		e.addRelays(i)
	}
	for _, m := range old {
		if !slices.Contains(e.neighbours, m) {
			m.pending, m.failures, m.probeDeadline = nil, 0, time.Time{}
		}
	}
}

func (e *Engine) addNeighbour(m *entry) {
	if m != e.self && !slices.Contains(e.neighbours, m) {
		e.neighbours = append(e.neighbours, m)
	}
}

// addRelays adds one relay of each other data centre of the region and one of each other region.
// The index i of this node among the relays of its data centre spreads the choices.
func (e *Engine) addRelays(i int) {
	regions := make(map[string][]string) // data centres by region, in order
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
func (e *Engine) ring(dc string) []*entry {
	var ring []*entry
	for _, m := range e.members {
		if m.DataCentre == dc && (m.live() || m == e.self) {
			ring = append(ring, m)
		}
	}
	slices.SortFunc(ring, func(a, b *entry) int {
		if c := cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)); c != 0 {
			return c
		}
		return compareNames(a.Name, b.Name)
	})
	return ring
}

func (e *Engine) dataCentres() []string {
	var list []string
	for _, m := range e.members {
		if m.live() && !slices.Contains(list, m.DataCentre) {
			list = append(list, m.DataCentre)
		}
	}
	slices.Sort(list)
	return list
}

// IsRelay reports whether the node is a relay of its data centre, which exchanges heartbeats with other data centres.
func (e *Engine) IsRelay() bool {
	ring := e.ring(e.self.DataCentre)
	return slices.Index(ring, e.self) < relaysPerDataCentre
}

// Neighbours returns the nodes that get regular heartbeats and new records.
func (e *Engine) Neighbours() []Member {
	e.chooseNeighbours()
	out := make([]Member, len(e.neighbours))
	for i, m := range e.neighbours {
		out[i] = m.Member
	}
	return out
}

// randomAlive returns up to n random nodes that are alive and have no failed heartbeats, without this node and skip.
func (e *Engine) randomAlive(n int, skip *entry) []*entry {
	var list []*entry
	for _, m := range e.sorted() {
		if m != e.self && m != skip && m.Status == Alive && m.failures == 0 {
			list = append(list, m)
		}
	}
	e.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
