package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ringStep is how far ahead in the ring of a data centre the nodes are that a node watches.
const ringStep = 2

func compareNames(a, b string) int { return strings.Compare(a, b) }

// choose selects the neighbours: successors and the opposite node in the ring of the data centre, and for relays the relays of other data centres.
func (e *Engine) choose() {
	if !e.stale {
		return
	}
	e.stale = false
	old := e.near
	e.near = nil
	ring := e.ring(e.self.DataCentre)
	i := slices.Index(ring, e.self)
	for k := 1; k <= ringStep; k++ {
		e.addNear(ring[(i+k)%len(ring)])
	}
	e.addNear(ring[(i+len(ring)/2)%len(ring)])
	if i < relays {
		e.addRelays(i)
	}
	for _, m := range old {
		if !slices.Contains(e.near, m) {
			m.outbox, m.misses, m.probing = nil, 0, time.Time{}
		}
	}
}

func (e *Engine) addNear(m *entry) {
	if m != e.self && !slices.Contains(e.near, m) {
		e.near = append(e.near, m)
	}
}

// addRelays adds one relay of each other data centre of the region, and one of each other region.
func (e *Engine) addRelays(i int) {
	regions := make(map[string][]string) // data centres by region, in order
	for _, dc := range e.dataCentres() {
		r := e.ring(dc)[0].Region
		regions[r] = append(regions[r], dc)
	}
	own := slices.Index(regions[e.self.Region], e.self.DataCentre)
	for _, r := range slices.Sorted(maps.Keys(regions)) {
		for k, dc := range regions[r] {
			near := r == e.self.Region && dc != e.self.DataCentre
			if ring := e.ring(dc); near || r != e.self.Region && k == (own+i)%len(regions[r]) {
				e.addNear(ring[i%len(ring)])
			}
		}
	}
}

// ring returns the live nodes of a data centre in the order of the hash of their names; the first ones are its relays.
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

// Relay reports whether the node is one of those that speak for its data centre.
func (e *Engine) Relay() bool {
	ring := e.ring(e.self.DataCentre)
	return slices.Index(ring, e.self) < relays
}

// Neighbours returns the nodes to which news goes first.
func (e *Engine) Neighbours() []Member {
	e.choose()
	out := make([]Member, len(e.near))
	for i, m := range e.near {
		out[i] = m.Member
	}
	return out
}

// pick returns up to n random live nodes other than the node itself and skip.
func (e *Engine) pick(n int, skip *entry) []*entry {
	var list []*entry
	for _, m := range e.sorted() {
		if m != e.self && m != skip && m.Status == Alive && m.misses == 0 {
			list = append(list, m)
		}
	}
	e.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
