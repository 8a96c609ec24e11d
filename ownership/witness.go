package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// replaceWitnesses moves leases away from witnesses that are gone, without the log.
func (e *Engine) replaceWitnesses() {
	for _, h := range e.held {
		if h.sending || h.next != nil && !e.anyLost(h.next) {
			continue
		}
		if !e.anyLost(h.set) && len(h.set) == min(witnesses, len(e.nodes)) {
			h.next, h.moved = nil, nil
			continue
		}
		if next := e.chooseWitnesses(h.set); !slices.Equal(next, h.set) && !slices.Equal(next, h.next) {
			h.next, h.moved = next, nil
		}
	}
}

func (e *Engine) anyLost(set []Ref) bool {
	return slices.ContainsFunc(set, func(w Ref) bool { return !e.liveRef(w) || e.nodes[w.Name].Leaving })
}

func (e *Engine) liveRef(r Ref) bool {
	n, ok := e.nodes[r.Name]
	return ok && n.Incarnation == r.Incarnation
}

// chooseWitnesses returns witnesses in different data centres, the own region first, keeping those of old that live.
func (e *Engine) chooseWitnesses(old []Ref) []Ref {
	var set []Ref
	used := make(map[string]int)
	add := func(n Node) {
		set = append(set, n.Ref)
		used[n.DataCentre]++
	}
	for _, w := range old {
		if n, ok := e.nodes[w.Name]; ok && n.Incarnation == w.Incarnation && !n.Leaving {
			add(n)
		}
	}
	for len(set) < witnesses {
		n, ok := e.bestWitness(set, used)
		if !ok {
			break
		}
		add(n)
	}
	slices.SortFunc(set, func(a, b Ref) int { return cmp.Compare(a.Name, b.Name) })
	return set
}

func (e *Engine) bestWitness(set []Ref, used map[string]int) (Node, bool) {
	var best Node
	score := uint64(0)
	for _, n := range e.nodes {
		if n.Leaving || n.Name == e.self.Name && len(e.nodes) > witnesses || slices.Contains(set, n.Ref) {
			continue
		}
		w := xxhash.Sum64String(e.self.Name+"/"+n.Name)>>2 | 1
		if used[n.DataCentre] == 0 {
			w |= 1 << 63
		}
		if n.Region == e.self.Region {
			w |= 1 << 62
		}
		if w > score {
			best, score = n, w
		}
	}
	return best, score > 0
}

// RenewLeases answers as a witness: it returns the shards whose leases are not renewed.
func (e *Engine) RenewLeases(leases []Lease) (refused []int) {
	for _, l := range leases {
		p := e.promises[l.Shard]
		if p.epoch >= l.Epoch || len(p.moved) >= maxMoves {
			refused = append(refused, l.Shard)
			continue
		}
		if len(l.NewWitnesses) > 0 {
			e.promises[l.Shard] = p.move(l)
		}
	}
	return refused
}

// move notes that the owner may have moved to the witnesses of the lease.
func (p promise) move(l Lease) promise {
	if p.from != l.Epoch {
		p.from, p.moved = l.Epoch, nil
	}
	if !slices.ContainsFunc(p.moved, func(set []Ref) bool { return slices.Equal(set, l.NewWitnesses) }) {
		p.moved = append(p.moved, l.NewWitnesses)
	}
	return p
}

// Fence answers as a witness: it returns the shards promised, and where leases were moved to other witnesses.
func (e *Engine) Fence(leases []Lease) (promised []int, moved []Lease) {
	for _, l := range leases {
		p := e.promises[l.Shard]
		p.epoch = max(p.epoch, l.Epoch)
		if p.from == l.Epoch {
			for _, set := range p.moved {
				moved = append(moved, Lease{Shard: l.Shard, Epoch: l.Epoch, NewWitnesses: set})
			}
		}
		e.promises[l.Shard] = p
		promised = append(promised, l.Shard)
	}
	return promised, moved
}
