package ownership

import (
	"cmp"
	"slices"
	"time"
)

// maxLogAge is how long ago the log may have been read to its end for the node still to claim shards.
const maxLogAge = 5 * time.Second

// queueClaims claims shards without an owner, shards handed over to this node, and shards whose owner was fenced.
func (e *Engine) queueClaims(now time.Time) {
	if now.Sub(e.start) < settleTime || e.caughtUpAt.IsZero() || now.Sub(e.caughtUpAt) > maxLogAge || e.leaving {
		return
	}
	batch := make(map[ClaimKind][]ShardClaim)
	for s := range ShardCount {
		if now.Sub(e.lastClaim[s]) < retryInterval {
			continue
		}
		if kind, ok := e.claimKind(now, s); ok {
			e.lastClaim[s] = now
			batch[kind] = append(batch[kind], ShardClaim{Shard: s, PrevEpoch: e.table.Assignments[s].Epoch})
		}
	}
	for _, kind := range []ClaimKind{Fresh, Transfer, Takeover} {
		if len(batch[kind]) > 0 {
			c := Claim{Kind: kind, Node: e.self.Ref, Witnesses: e.chooseWitnesses(nil), Shards: batch[kind]}
			e.output.Claims = append(e.output.Claims, c)
		}
	}
	e.queueFences(now)
}

// claimKind returns the kind of claim that the node may make on the shard now, if any.
func (e *Engine) claimKind(now time.Time, s int) (ClaimKind, bool) {
	row := e.table.Assignments[s]
	own := e.owned[s]
	if own != nil && own.handingOver {
		return Takeover, !e.isLive(own.newOwner) && e.fenced(now, s, row)
	}
	if own != nil {
		// The claim is safe without a valid lease: a node that fenced this epoch serves only after its own claim was accepted.
		outdated := own.unclaimed || !slices.Equal(own.witnesses, row.Witnesses) || e.anyUnavailable(own.witnesses)
		return Transfer, outdated && own.epoch == row.Epoch
	}
	if e.desired[s] != e.self.Name || now.Sub(e.desiredSince[s]) < settleTime {
		return "", false
	}
	if row.Epoch == 0 {
		return Fresh, true
	}
	if e.isLive(row.Owner) && row.Owner != e.self.Ref {
		return "", false // a live owner hands the shard over itself
	}
	return Takeover, e.fenced(now, s, row)
}

// fenced reports whether all leases of the shard's owner have certainly expired.
func (e *Engine) fenced(now time.Time, s int, row Assignment) bool {
	if e.disabled.Fencing {
		return true
	}
	t := e.takeovers[s]
	if t == nil || t.epoch != row.Epoch {
		t = &takeover{epoch: row.Epoch, witnessSets: [][]Ref{row.Witnesses}, promised: make(map[Ref]bool)}
		e.takeovers[s] = t
	}
	return !t.leasesEnd.IsZero() && !now.Before(t.leasesEnd)
}

// queueFences queues requests to the witnesses of unavailable owners to stop renewing their leases.
func (e *Engine) queueFences(now time.Time) {
	batch := make(map[Ref][]Lease)
	for s, t := range e.takeovers {
		if !t.leasesEnd.IsZero() || now.Before(t.retryAt) {
			continue
		}
		t.retryAt = now.Add(retryInterval)
		for _, set := range t.witnessSets {
			for _, w := range set {
				if !t.promised[w] && e.isLive(w) {
					batch[w] = append(batch[w], Lease{Shard: s, Epoch: t.epoch})
				}
			}
		}
	}
	for to, leases := range batch {
		slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.Shard, b.Shard) })
		e.output.Fences = append(e.output.Fences, Fence{To: to, Leases: leases})
	}
	slices.SortFunc(e.output.Fences, func(a, b Fence) int { return cmp.Compare(a.To.Name, b.To.Name) })
}

// HandleFenceResponse processes the shards that a witness promised to renew no more, and the witness sets to which
// their leases may have moved.
func (e *Engine) HandleFenceResponse(now time.Time, f Fence, incarnation uint64, promised []int, moved []Lease) {
	if incarnation != f.To.Incarnation {
		return
	}
	for _, l := range f.Leases {
		t := e.takeovers[l.Shard]
		if t == nil || t.epoch != l.Epoch || !slices.Contains(promised, l.Shard) {
			continue
		}
		t.promised[f.To] = true
		for _, m := range moved {
			known := slices.ContainsFunc(t.witnessSets, func(set []Ref) bool { return slices.Equal(set, m.NewWitnesses) })
			if m.Shard == l.Shard && !known {
				t.witnessSets = append(t.witnessSets, m.NewWitnesses)
			}
		}
		if t.leasesEnd.IsZero() && t.complete() {
			t.leasesEnd = now.Add(LeaseDuration + driftMargin)
		}
	}
}

// complete reports whether a majority of every known witness set has promised to renew the lease no more.
func (t *takeover) complete() bool {
	for _, set := range t.witnessSets {
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

// queueHandovers hands shards over to the nodes that should own them.
func (e *Engine) queueHandovers(now time.Time) {
	if now.Sub(e.lastHandover) < retryInterval {
		return
	}
	e.lastHandover = now
	batch := make(map[Ref][]ShardHandover)
	for s, own := range e.owned {
		to, ok := e.handoverTarget(now, s, own)
		if !ok || len(batch[to]) >= maxHandoverShards && !e.leaving {
			continue
		}
		own.handingOver, own.newOwner = true, to
		batch[to] = append(batch[to], ShardHandover{Shard: s, Epoch: own.epoch, Witnesses: own.witnesses, CompleteSince: own.completeSince})
	}
	for to, shards := range batch {
		slices.SortFunc(shards, func(a, b ShardHandover) int { return cmp.Compare(a.Shard, b.Shard) })
		e.output.Handovers = append(e.output.Handovers, Handover{To: to, Shards: shards})
	}
	slices.SortFunc(e.output.Handovers, func(a, b Handover) int { return cmp.Compare(a.To.Name, b.To.Name) })
}

// handoverTarget returns the node to hand the shard over to; a handover without a response is sent to the same node again.
func (e *Engine) handoverTarget(now time.Time, s int, own *ownedShard) (Ref, bool) {
	if own.handingOver {
		return own.newOwner, e.isLive(own.newOwner)
	}
	n, ok := e.nodes[e.desired[s]]
	if !ok || n.Name == e.self.Name {
		return Ref{}, false
	}
	if e.leaving {
		return n.Ref, true
	}
	if own.nextWitnesses != nil {
		return Ref{}, false
	}
	stable := now.Sub(e.desiredSince[s]) >= rebalanceDelay && now.Sub(e.start) >= rebalanceDelay
	return n.Ref, stable && !own.unclaimed && now.Before(own.leaseEnd())
}

// HandleHandoverResponse processes the response of the new owner; until the handover is accepted it is sent again.
func (e *Engine) HandleHandoverResponse(h Handover, accepted bool) {
	if !accepted {
		return
	}
	for _, sh := range h.Shards {
		if own := e.owned[sh.Shard]; own != nil && own.handingOver && own.epoch == sh.Epoch {
			e.giveUp(sh.Shard, sh.Epoch)
		}
	}
}

// AcceptHandover takes over shards from their owner, except those that the log has assigned to another node meanwhile.
func (e *Engine) AcceptHandover(shards []ShardHandover) (accepted bool) {
	if e.leaving {
		return false
	}
	for _, sh := range shards {
		own := e.owned[sh.Shard]
		if own != nil && own.epoch >= sh.Epoch || e.givenUp[sh.Shard] >= sh.Epoch || e.table.Assignments[sh.Shard].Epoch > sh.Epoch {
			continue
		}
		e.owned[sh.Shard] = &ownedShard{
			epoch: sh.Epoch, witnesses: sh.Witnesses, completeSince: sh.CompleteSince, unclaimed: true,
			renewedAt: make(map[Ref]time.Time),
		}
		e.output.Acquired = append(e.output.Acquired, sh.Shard)
		delete(e.takeovers, sh.Shard)
	}
	e.lastRenewal = time.Time{}
	return true
}

// NeedsClaim reports whether the node may have to claim a shard: one that it should own and does not, that was handed to
// it, that it is handing over, or whose witnesses changed.
func (e *Engine) NeedsClaim() bool {
	if e.leaving {
		return false
	}
	for s, name := range e.desired {
		own := e.owned[s]
		if own == nil && name == e.self.Name || own != nil && (own.unclaimed || own.handingOver) {
			return true
		}
		if own != nil && (!slices.Equal(own.witnesses, e.table.Assignments[s].Witnesses) || e.anyUnavailable(own.witnesses)) {
			return true
		}
	}
	return false
}
