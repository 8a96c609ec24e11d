package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// replaceWitnesses moves leases away from witnesses that are dead or leaving. This does not need a claim in the log.
func (e *Engine) replaceWitnesses() {
	for _, owned := range e.ownedShards {
		if owned.handingOver || owned.nextWitnesses != nil && !e.anyUnavailable(owned.nextWitnesses) {
			continue
		}
		if !e.anyUnavailable(owned.witnesses) && len(owned.witnesses) == min(witnessCount, len(e.nodes)) {
			owned.nextWitnesses, owned.moveAckedBy = nil, nil
			continue
		}
		if next := e.chooseWitnesses(owned.witnesses); !slices.Equal(next, owned.witnesses) && !slices.Equal(next, owned.nextWitnesses) {
			owned.nextWitnesses, owned.moveAckedBy = next, nil
		}
	}
}

func (e *Engine) anyUnavailable(witnesses []NodeRef) bool {
	return slices.ContainsFunc(witnesses, func(w NodeRef) bool { return !e.isLive(w) || e.nodes[w.Name].Leaving })
}

func (e *Engine) isLive(r NodeRef) bool {
	n, ok := e.nodes[r.Name]
	return ok && n.Incarnation == r.Incarnation
}

// chooseWitnesses returns a set of witnesses. It keeps the current witnesses that are live and not leaving, and prefers new ones
// in data centres without a witness and in this node's region.
func (e *Engine) chooseWitnesses(current []NodeRef) []NodeRef {
	var chosen []NodeRef
	perDataCentre := make(map[string]int)
	add := func(n Node) {
		chosen = append(chosen, n.NodeRef)
		perDataCentre[n.DataCentre]++
	}
	for _, w := range current {
		if n, ok := e.nodes[w.Name]; ok && n.Incarnation == w.Incarnation && !n.Leaving {
			add(n)
		}
	}
	for len(chosen) < witnessCount {
		n, ok := e.bestWitness(chosen, perDataCentre)
		if !ok {
			break
		}
		add(n)
	}
	slices.SortFunc(chosen, func(a, b NodeRef) int { return cmp.Compare(a.Name, b.Name) })
	return chosen
}

func (e *Engine) bestWitness(chosen []NodeRef, perDataCentre map[string]int) (Node, bool) {
	var best Node
	bestScore := uint64(0)
	for _, n := range e.nodes {
		if n.Leaving || n.Name == e.self.Name && len(e.nodes) > witnessCount || slices.Contains(chosen, n.NodeRef) {
			continue
		}
		score := xxhash.Sum64String(e.self.Name+"/"+n.Name)>>2 | 1
		if perDataCentre[n.DataCentre] == 0 {
			score |= 1 << 63
		}
		if n.Region == e.self.Region {
			score |= 1 << 62
		}
		if score > bestScore {
			best, bestScore = n, score
		}
	}
	return best, bestScore > 0
}

// RenewLeases renews leases as a witness and returns the shards whose leases it refused to renew.
func (e *Engine) RenewLeases(leases []Lease) (refused []int) {
	for _, l := range leases {
		state := e.witnessStates[l.Shard]
		if state.fencedEpoch >= l.Epoch || len(state.movedTo) >= maxWitnessSets {
			refused = append(refused, l.Shard)
			continue
		}
		if len(l.NewWitnesses) > 0 {
			e.witnessStates[l.Shard] = state.recordMove(l)
		}
	}
	return refused
}

// recordMove records that the owner may have moved its lease to l.NewWitnesses.
func (state witnessState) recordMove(l Lease) witnessState {
	if state.movedEpoch != l.Epoch {
		state.movedEpoch, state.movedTo = l.Epoch, nil
	}
	if !slices.ContainsFunc(state.movedTo, func(set []NodeRef) bool { return slices.Equal(set, l.NewWitnesses) }) {
		state.movedTo = append(state.movedTo, l.NewWitnesses)
	}
	return state
}

// Fence makes this node, as a witness, stop renewing the leases. It returns the shards of these leases, and for each witness
// set to which a lease may have moved, that lease with the set as NewWitnesses.
func (e *Engine) Fence(leases []Lease) (fencedShards []int, movedLeases []Lease) {
	for _, l := range leases {
		state := e.witnessStates[l.Shard]
		state.fencedEpoch = max(state.fencedEpoch, l.Epoch)
		if state.movedEpoch == l.Epoch {
			for _, set := range state.movedTo {
				movedLeases = append(movedLeases, Lease{Shard: l.Shard, Epoch: l.Epoch, NewWitnesses: set})
			}
		}
		e.witnessStates[l.Shard] = state
		fencedShards = append(fencedShards, l.Shard)
	}
	return fencedShards, movedLeases
}
