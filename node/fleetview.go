package node

import (
	"slices"
	"strings"
	"sync"

	"github.com/jasminevane/jasminevane/membership"
)

// fleetView holds the members as requests see them. A change replaces one record. The zero value is empty.
type fleetView struct {
	mu     sync.RWMutex
	byName map[string]membership.Member
	live   int
}

// member returns the record of the named node.
func (v *fleetView) member(name string) (membership.Member, bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	m, ok := v.byName[name]
	return m, ok
}

// liveCount returns the number of nodes that are alive or leaving.
func (v *fleetView) liveCount() int {
	v.mu.RLock()
	defer v.mu.RUnlock()
	return v.live
}

// liveMembers returns the nodes that are alive or leaving, sorted by name.
func (v *fleetView) liveMembers() []membership.Member {
	return slices.DeleteFunc(v.members(), func(m membership.Member) bool { return !isLive(m) })
}

// members returns all records sorted by name.
func (v *fleetView) members() []membership.Member {
	v.mu.RLock()
	records := make([]membership.Member, 0, len(v.byName))
	for _, m := range v.byName {
		records = append(records, m)
	}
	v.mu.RUnlock()
	slices.SortFunc(records, func(a, b membership.Member) int { return strings.Compare(a.Name, b.Name) })
	return records
}

// replace stores the record of a node and returns the one before, which is the zero Member for a new node.
func (v *fleetView) replace(m membership.Member) membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byName == nil {
		v.byName = make(map[string]membership.Member)
	}
	old := v.byName[m.Name]
	v.byName[m.Name] = m
	if isLive(old) {
		v.live--
	}
	if isLive(m) {
		v.live++
	}
	return old
}

// remove removes the record of a node and returns it.
func (v *fleetView) remove(name string) membership.Member {
	v.mu.Lock()
	defer v.mu.Unlock()
	m := v.byName[name]
	if isLive(m) {
		v.live--
	}
	delete(v.byName, name)
	return m
}

func isLive(m membership.Member) bool {
	return m.Status == membership.Alive || m.Status == membership.Leaving
}
