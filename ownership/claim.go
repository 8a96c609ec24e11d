package ownership

import (
	"cmp"
	"slices"
	"time"
)

// logFresh is the age up to which a reading of the log's end counts as recent.
const logFresh = 5 * time.Second

// claim claims shards that nobody owns, shards received from their owner, and shards whose owner was fenced.
func (e *Engine) claim(now time.Time) {
	if now.Sub(e.start) < settleTime || e.caughtUp.IsZero() || now.Sub(e.caughtUp) > logFresh || e.leaving {
		return
	}
	batch := make(map[Kind][]ShardRef)
	for s := range Shards {
		if now.Sub(e.claimed[s]) < retryEvery {
			continue
		}
		if kind, ok := e.ground(now, s); ok {
			e.claimed[s] = now
			batch[kind] = append(batch[kind], ShardRef{Shard: s, PrevEpoch: e.table.Rows[s].Epoch})
		}
	}
	for _, kind := range []Kind{Fresh, Transfer, Takeover} {
		if len(batch[kind]) > 0 {
			c := Claim{Kind: kind, Node: e.self.Ref, Witnesses: e.chooseWitnesses(nil), Shards: batch[kind]}
			e.out.Claims = append(e.out.Claims, c)
		}
	}
	e.sendFences(now)
}

// ground returns on what ground the node may claim the shard now.
func (e *Engine) ground(now time.Time, s int) (Kind, bool) {
	row := e.table.Rows[s]
	h := e.held[s]
	if h != nil && h.sending {
		return Takeover, !e.liveRef(h.to) && e.fenced(now, s, row)
	}
	if h != nil {
		// The claim is safe without a valid lease: whoever fenced this epoch serves only after a claim of its own won.
		stale := h.deed || !slices.Equal(h.set, row.Witnesses) || e.anyLost(h.set)
		return Transfer, stale && h.epoch == row.Epoch
	}
	if e.desired[s] != e.self.Name || now.Sub(e.since[s]) < settleTime {
		return "", false
	}
	if row.Epoch == 0 {
		return Fresh, true
	}
	if e.liveRef(row.Owner) && row.Owner != e.self.Ref {
		return "", false // the owner hands it over by itself
	}
	return Takeover, e.fenced(now, s, row)
}

// fenced reports whether the leases of the shard's owner have certainly run out.
func (e *Engine) fenced(now time.Time, s int, row Row) bool {
	if e.policy.Fencing {
		return true
	}
	t := e.takes[s]
	if t == nil || t.epoch != row.Epoch {
		t = &takeover{epoch: row.Epoch, sets: [][]Ref{row.Witnesses}, promised: make(map[Ref]bool)}
		e.takes[s] = t
	}
	return !t.ready.IsZero() && !now.Before(t.ready)
}

// sendFences asks the witnesses of lost owners for their promise.
func (e *Engine) sendFences(now time.Time) {
	batch := make(map[Ref][]Lease)
	for s, t := range e.takes {
		if !t.ready.IsZero() || now.Before(t.retry) {
			continue
		}
		t.retry = now.Add(retryEvery)
		for _, set := range t.sets {
			for _, w := range set {
				if !t.promised[w] && e.liveRef(w) {
					batch[w] = append(batch[w], Lease{Shard: s, Epoch: t.epoch})
				}
			}
		}
	}
	for to, leases := range batch {
		slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.Shard, b.Shard) })
		e.out.Fences = append(e.out.Fences, Fence{To: to, Leases: leases})
	}
	slices.SortFunc(e.out.Fences, func(a, b Fence) int { return cmp.Compare(a.To.Name, b.To.Name) })
}

// HandleFenceResponse takes the promises of a witness.
func (e *Engine) HandleFenceResponse(now time.Time, f Fence, incarnation uint64, promised []int, moved []Lease) {
	if incarnation != f.To.Incarnation {
		return
	}
	for _, l := range f.Leases {
		t := e.takes[l.Shard]
		if t == nil || t.epoch != l.Epoch || !slices.Contains(promised, l.Shard) {
			continue
		}
		t.promised[f.To] = true
		for _, m := range moved {
			known := slices.ContainsFunc(t.sets, func(set []Ref) bool { return slices.Equal(set, m.NewWitnesses) })
			if m.Shard == l.Shard && !known {
				t.sets = append(t.sets, m.NewWitnesses)
			}
		}
		if t.ready.IsZero() && t.complete() {
			t.ready = now.Add(LeaseTime + driftMargin)
		}
	}
}

// complete reports whether a majority of every known set of witnesses has promised.
func (t *takeover) complete() bool {
	for _, set := range t.sets {
		n := 0
		for _, w := range set {
			if t.promised[w] {
				n++
			}
		}
		if n <= len(set)/2 {
			return false
		}
	}
	return true
}

// move hands shards over to the node that should own them.
func (e *Engine) move(now time.Time) {
	if now.Sub(e.moving) < retryEvery {
		return
	}
	e.moving = now
	batch := make(map[Ref][]ShardHandover)
	for s, h := range e.held {
		to, ok := e.successor(now, s, h)
		if !ok || len(batch[to]) >= maxMove && !e.leaving {
			continue
		}
		h.sending, h.to = true, to
		batch[to] = append(batch[to], ShardHandover{Shard: s, Epoch: h.epoch, Witnesses: h.set, CompleteSince: h.gap})
	}
	for to, deeds := range batch {
		slices.SortFunc(deeds, func(a, b ShardHandover) int { return cmp.Compare(a.Shard, b.Shard) })
		e.out.Handovers = append(e.out.Handovers, Handover{To: to, Shards: deeds})
	}
	slices.SortFunc(e.out.Handovers, func(a, b Handover) int { return cmp.Compare(a.To.Name, b.To.Name) })
}

// successor returns the node to which the shard goes; a handover that was not answered goes to the same node again.
func (e *Engine) successor(now time.Time, s int, h *holding) (Ref, bool) {
	if h.sending {
		return h.to, e.liveRef(h.to)
	}
	n, ok := e.nodes[e.desired[s]]
	if !ok || n.Name == e.self.Name {
		return Ref{}, false
	}
	if e.leaving {
		return n.Ref, true
	}
	if h.next != nil {
		return Ref{}, false
	}
	stable := now.Sub(e.since[s]) >= moveAfter && now.Sub(e.start) >= moveAfter
	return n.Ref, stable && !h.deed && now.Before(h.lease())
}

// HandleHandoverResponse takes the answer of the new owner; without one the shard stays on its way.
func (e *Engine) HandleHandoverResponse(h Handover, accepted bool) {
	if !accepted {
		return
	}
	for _, d := range h.Shards {
		if own := e.held[d.Shard]; own != nil && own.sending && own.epoch == d.Epoch {
			e.drop(d.Shard, d.Epoch)
		}
	}
}

// AcceptHandover takes shards from their owner; a shard that the log has given to another meanwhile is left out.
func (e *Engine) AcceptHandover(deeds []ShardHandover) (accepted bool) {
	if e.leaving {
		return false
	}
	for _, d := range deeds {
		h := e.held[d.Shard]
		if h != nil && h.epoch >= d.Epoch || e.gone[d.Shard] >= d.Epoch || e.table.Rows[d.Shard].Epoch > d.Epoch {
			continue
		}
		e.held[d.Shard] = &holding{epoch: d.Epoch, set: d.Witnesses, gap: d.CompleteSince, deed: true, acks: make(map[Ref]time.Time)}
		e.out.Acquired = append(e.out.Acquired, d.Shard)
		delete(e.takes, d.Shard)
	}
	e.renewed = time.Time{}
	return true
}

// NeedsClaim reports whether the node should own a shard that it does not hold, or holds one that it has not claimed.
func (e *Engine) NeedsClaim() bool {
	if e.leaving {
		return false
	}
	for s, d := range e.desired {
		h := e.held[s]
		if h == nil && d == e.self.Name || h != nil && (h.deed || h.sending) {
			return true
		}
		if h != nil && (!slices.Equal(h.set, e.table.Rows[s].Witnesses) || e.anyLost(h.set)) {
			return true
		}
	}
	return false
}
