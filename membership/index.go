package membership

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// index holds the members and keeps them sorted, so that one change costs no walk over all of them.
type index struct {
	byName map[string]*memberState
	sorted []*memberState   // by name
	rings  map[string]*ring // the live nodes of each data centre, and this node
	live   int              // number of live nodes
}

// ring holds nodes of one data centre sorted by the hash of their names.
type ring struct{ nodes []*memberState }

func newIndex() index {
	return index{byName: make(map[string]*memberState), rings: make(map[string]*ring)}
}

// add adds a node whose name is not in the index yet.
func (ix *index) add(m *memberState) {
	m.position = xxhash.Sum64String(m.Name)
	ix.byName[m.Name] = m
	i, _ := slices.BinarySearchFunc(ix.sorted, m, compareByName)
	ix.sorted = slices.Insert(ix.sorted, i, m)
	ix.link(m)
}

// remove removes a node.
func (ix *index) remove(m *memberState) {
	ix.unlink(m)
	delete(ix.byName, m.Name)
	if i, found := slices.BinarySearchFunc(ix.sorted, m, compareByName); found {
		ix.sorted = slices.Delete(ix.sorted, i, i+1)
	}
}

// replace stores a later record of a node.
func (ix *index) replace(m *memberState, record Member) {
	if m.live() == record.live() && m.DataCentre == record.DataCentre {
		m.Member = record
		return
	}
	ix.unlink(m)
	m.Member = record
	ix.link(m)
}

// link adds a node to the ring of its data centre.
func (ix *index) link(m *memberState) {
	if m.live() {
		ix.live++
	}
	if !m.inRing() {
		return
	}
	r := ix.rings[m.DataCentre]
	if r == nil {
		r = &ring{}
		ix.rings[m.DataCentre] = r
	}
	i, _ := slices.BinarySearchFunc(r.nodes, m, compareByPosition)
	r.nodes = slices.Insert(r.nodes, i, m)
}

// unlink removes a node from the ring of its data centre.
func (ix *index) unlink(m *memberState) {
	if m.live() {
		ix.live--
	}
	r := ix.rings[m.DataCentre]
	if r == nil || !m.inRing() {
		return
	}
	if i := r.indexOf(m); i >= 0 {
		r.nodes = slices.Delete(r.nodes, i, i+1)
	}
	if len(r.nodes) == 0 {
		delete(ix.rings, m.DataCentre)
	}
}

// dataCentres returns the names of the data centres that have a live node, sorted.
func (ix *index) dataCentres() []string { return slices.Sorted(maps.Keys(ix.rings)) }

// ring returns the ring of a data centre.
func (ix *index) ring(dc string) *ring {
	if r := ix.rings[dc]; r != nil {
		return r
	}
	return &ring{}
}

// indexOf returns the index of a node in the ring, or -1 if it is not in it.
func (r *ring) indexOf(m *memberState) int {
	i, found := slices.BinarySearchFunc(r.nodes, m, compareByPosition)
	if !found {
		return -1
	}
	return i
}

// at returns the node at index i, counted around the ring.
func (r *ring) at(i int) *memberState { return r.nodes[i%len(r.nodes)] }

func compareNames(a, b string) int { return strings.Compare(a, b) }

func compareByName(a, b *memberState) int { return compareNames(a.Name, b.Name) }

func compareByPosition(a, b *memberState) int {
	return cmp.Or(cmp.Compare(a.position, b.position), compareNames(a.Name, b.Name))
}
