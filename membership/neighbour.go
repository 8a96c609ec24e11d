package membership

import (
	"maps"
	"slices"
	"time"
)

// ringSuccessorCount is the number of a node's successors, in the ring of its data centre, that are its neighbours.
const ringSuccessorCount = 2

// readersPerDataCentre is the number of nodes that may read the log service for a data centre.
const readersPerDataCentre = 2

// chooseNeighbours selects the neighbours: the successors and the node half-way round in the ring of the data centre
// and, if this node is a relay, relays of other data centres.
func (e *Engine) chooseNeighbours() {
	if !e.neighboursStale {
		return
	}
	e.neighboursStale = false
	previous := e.neighbours
	e.neighbours = nil
	own := e.index.ring(e.self.DataCentre)
	i := own.indexOf(e.self)
	for k := 1; k <= ringSuccessorCount; k++ {
		e.addNeighbour(own.at(i + k))
	}
	e.addNeighbour(own.at(i + len(own.nodes)/2))
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
	for _, dc := range e.index.dataCentres() {
		r := e.index.ring(dc).at(0).Region
		regions[r] = append(regions[r], dc)
	}
	ownIndex := slices.Index(regions[e.self.Region], e.self.DataCentre)
	for _, r := range slices.Sorted(maps.Keys(regions)) {
		for k, dc := range regions[r] {
			otherInRegion := r == e.self.Region && dc != e.self.DataCentre
			if otherInRegion || r != e.self.Region && k == (ownIndex+i)%len(regions[r]) {
				e.addNeighbour(e.index.ring(dc).at(i))
			}
		}
	}
}

// IsRelay reports whether the node is a relay of its data centre, which exchanges heartbeats with other data centres.
func (e *Engine) IsRelay() bool {
	return e.index.ring(e.self.DataCentre).indexOf(e.self) < relaysPerDataCentre
}

// Readers returns the names of the nodes that may read the log service for this node, by preference: at most two of its data centre.
func (e *Engine) Readers() []string {
	var names []string
	for _, m := range e.index.ring(e.self.DataCentre).nodes {
		if m.Status == Alive && len(names) < readersPerDataCentre {
			names = append(names, m.Name)
		}
	}
	return names
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

// PushTargets returns the records of the nodes to which this node sends news that each receiver passes on: the neighbours and the nodes at half,
// a quarter and so on of the way round the ring of the data centre. News reaches a ring of n nodes in about log2(n) steps, where
// neighbours alone take n/4.
func (e *Engine) PushTargets() []Member {
	targets := e.Neighbours()
	own := e.index.ring(e.self.DataCentre)
	i := own.indexOf(e.self)
	for k := len(own.nodes) / 4; k > ringSuccessorCount; k /= 2 {
		targets = append(targets, own.at(i+k).Member)
	}
	return targets
}

// randomResponsiveNodes returns up to n random nodes, other than this node and skip, that are alive and whose last heartbeat did
// not fail.
func (e *Engine) randomResponsiveNodes(n int, skip *memberState) []*memberState {
	var candidates []*memberState
	for _, m := range e.index.sorted {
		if m != e.self && m != skip && m.Status == Alive && m.failedHeartbeats == 0 {
			candidates = append(candidates, m)
		}
	}
	e.rnd.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	return candidates[:min(n, len(candidates))]
}
