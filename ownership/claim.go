package ownership

import (
	"cmp"
	"slices"
	"time"
)

// maxLogAge is the maximum time since this node last read the log to its end. After a longer time it claims no shards.
const maxLogAge = 5 * time.Second

// queueClaims queues claims on shards without an owner, shards handed over to this node, and shards whose owner was fenced.
func (e *Engine) queueClaims(now time.Time) {
	if now.Sub(e.startedAt) < settleTime || e.caughtUpAt.IsZero() || now.Sub(e.caughtUpAt) > maxLogAge || e.leaving {
		return
	}
	batch := make(map[ClaimKind][]ShardClaim)
	for s := range ShardCount {
		if now.Sub(e.lastClaimAt[s]) < retryInterval {
			continue
		}
		if kind, ok := e.claimKind(now, s); ok {
			e.lastClaimAt[s] = now
			batch[kind] = append(batch[kind], ShardClaim{Shard: s, PrevEpoch: e.table.Assignments[s].Epoch})
		}
	}
	for _, kind := range []ClaimKind{Fresh, Transfer, Takeover} {
		if len(batch[kind]) > 0 {
			c := Claim{Kind: kind, Node: e.self.NodeRef, Witnesses: e.chooseWitnesses(nil), Shards: batch[kind]}
			e.output.Claims = append(e.output.Claims, c)
		}
	}
	e.queueFences(now)
}

// claimKind returns the kind of claim that this node may make on the shard now, and false if it may make none.
func (e *Engine) claimKind(now time.Time, s int) (ClaimKind, bool) {
	assignment := e.table.Assignments[s]
	owned := e.ownedShards[s]
	if owned != nil && owned.handingOver {
		return Takeover, !e.isLive(owned.newOwner) && e.fenced(now, s, assignment)
	}
	if owned != nil {
		// The claim is safe without a valid lease: another node that fenced this epoch serves only after the log accepts its own claim.
		outdated := owned.unclaimed || !slices.Equal(owned.witnesses, assignment.Witnesses) || e.anyUnavailable(owned.witnesses)
		return Transfer, outdated && owned.epoch == assignment.Epoch
	}
	if e.desiredOwners[s] != e.self.Name || now.Sub(e.desiredSince[s]) < settleTime {
		return "", false
	}
	if assignment.Epoch == 0 {
		return Fresh, true
	}
	if e.isLive(assignment.Owner) && assignment.Owner != e.self.NodeRef {
		return "", false // a live owner starts the handover itself
	}
	return Takeover, e.fenced(now, s, assignment)
}

// fenced reports whether the shard's owner is fenced, which means that its lease has expired and can't be renewed.
func (e *Engine) fenced(now time.Time, s int, assignment Assignment) bool {
	if e.disabled.Fencing {
		return true
	}
	t := e.takeovers[s]
	if t == nil || t.epoch != assignment.Epoch {
		t = &takeover{epoch: assignment.Epoch, witnessSets: [][]NodeRef{assignment.Witnesses}, fencedBy: make(map[NodeRef]bool)}
		e.takeovers[s] = t
	}
	return !t.leasesExpireAt.IsZero() && !now.Before(t.leasesExpireAt)
}

// queueFences asks the witnesses of unavailable owners to stop renewing the owners' leases.
func (e *Engine) queueFences(now time.Time) {
	batch := make(map[NodeRef][]Lease)
	for s, t := range e.takeovers {
		if !t.leasesExpireAt.IsZero() || now.Before(t.retryAt) {
			continue
		}
		t.retryAt = now.Add(retryInterval)
		for _, set := range t.witnessSets {
			for _, w := range set {
				if !t.fencedBy[w] && e.isLive(w) {
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

// HandleFenceResponse handles the response of a witness to the fence f. The witness no longer renews leases of fencedShards.
// Each of movedLeases names a witness set to which the owner may have moved a lease; those witnesses must be fenced too.
func (e *Engine) HandleFenceResponse(now time.Time, f Fence, incarnation uint64, fencedShards []int, movedLeases []Lease) {
	if incarnation != f.To.Incarnation {
		return
	}
	for _, l := range f.Leases {
		t := e.takeovers[l.Shard]
		if t == nil || t.epoch != l.Epoch || !slices.Contains(fencedShards, l.Shard) {
			continue
		}
		t.fencedBy[f.To] = true
		for _, m := range movedLeases {
			alreadyRecorded := slices.ContainsFunc(t.witnessSets, func(set []NodeRef) bool { return slices.Equal(set, m.NewWitnesses) })
			if m.Shard == l.Shard && !alreadyRecorded {
				t.witnessSets = append(t.witnessSets, m.NewWitnesses)
			}
		}
		if t.leasesExpireAt.IsZero() && t.fencedByQuorums() {
			t.leasesExpireAt = now.Add(LeaseDuration + driftMargin)
		}
	}
}

// fencedByQuorums reports whether a majority of each witness set has stopped renewing the lease.
func (t *takeover) fencedByQuorums() bool {
	for _, set := range t.witnessSets {
		n := 0
		for _, w := range set {
			if t.fencedBy[w] {
				n++
			}
		}
		if n <= len(set)/2 {
			return false
		}
	}
	return true
}

// queueHandovers queues handovers of shards to the nodes that should own them.
func (e *Engine) queueHandovers(now time.Time) {
	if now.Sub(e.lastHandoverAt) < retryInterval {
		return
	}
	e.lastHandoverAt = now
	batch := make(map[NodeRef][]ShardHandover)
	for s, owned := range e.ownedShards {
		to, ok := e.handoverTarget(now, s, owned)
		if !ok || len(batch[to]) >= maxHandoverShards && !e.leaving {
			continue
		}
		owned.handingOver, owned.newOwner = true, to
		batch[to] = append(batch[to], ShardHandover{Shard: s, Epoch: owned.epoch, Witnesses: owned.witnesses, CompleteSince: owned.completeSince})
	}
	for to, shards := range batch {
		slices.SortFunc(shards, func(a, b ShardHandover) int { return cmp.Compare(a.Shard, b.Shard) })
		e.output.Handovers = append(e.output.Handovers, Handover{To: to, Shards: shards})
	}
	slices.SortFunc(e.output.Handovers, func(a, b Handover) int { return cmp.Compare(a.To.Name, b.To.Name) })
}

// handoverTarget returns the node to hand the shard over to, and false if there is none. A handover that got no response
// is sent again to the same node.
func (e *Engine) handoverTarget(now time.Time, s int, owned *ownedShard) (NodeRef, bool) {
	if owned.handingOver {
		return owned.newOwner, e.isLive(owned.newOwner)
	}
	n, ok := e.nodes[e.desiredOwners[s]]
	if !ok || n.Name == e.self.Name {
		return NodeRef{}, false
	}
	if e.leaving {
		return n.NodeRef, true
	}
	if owned.nextWitnesses != nil {
		return NodeRef{}, false
	}
	stable := now.Sub(e.desiredSince[s]) >= rebalanceDelay && now.Sub(e.startedAt) >= rebalanceDelay
	return n.NodeRef, stable && !owned.unclaimed && now.Before(owned.leaseExpiry())
}

// HandleHandoverResponse handles the response of the new owner. A handover that was not accepted is retried later.
func (e *Engine) HandleHandoverResponse(h Handover, accepted bool) {
	if !accepted {
		return
	}
	for _, sh := range h.Shards {
		if owned := e.ownedShards[sh.Shard]; owned != nil && owned.handingOver && owned.epoch == sh.Epoch {
			e.giveUp(sh.Shard, sh.Epoch)
		}
	}
}

// AcceptHandover makes this node the owner of the shards, except those that the log has meanwhile assigned to another node.
// It refuses the whole handover if this node is leaving.
func (e *Engine) AcceptHandover(shards []ShardHandover) (accepted bool) {
	if e.leaving {
		return false
	}
	for _, sh := range shards {
		owned := e.ownedShards[sh.Shard]
		if owned != nil && owned.epoch >= sh.Epoch || e.givenUpEpochs[sh.Shard] >= sh.Epoch || e.table.Assignments[sh.Shard].Epoch > sh.Epoch {
			continue
		}
		e.ownedShards[sh.Shard] = &ownedShard{
			epoch: sh.Epoch, witnesses: sh.Witnesses, completeSince: sh.CompleteSince, unclaimed: true,
			renewedAt: make(map[NodeRef]time.Time),
		}
		e.output.Acquired = append(e.output.Acquired, sh.Shard)
		delete(e.takeovers, sh.Shard)
	}
	e.lastRenewalAt = time.Time{}
	return true
}

// NeedsClaim reports whether this node may have to claim a shard: a shard that it should own but doesn't, one that was
// handed to it, one that it is handing over, or one whose witnesses have changed.
func (e *Engine) NeedsClaim() bool {
	if e.leaving {
		return false
	}
	for s, name := range e.desiredOwners {
		owned := e.ownedShards[s]
		if owned == nil && name == e.self.Name || owned != nil && (owned.unclaimed || owned.handingOver) {
			return true
		}
		if owned != nil && (!slices.Equal(owned.witnesses, e.table.Assignments[s].Witnesses) || e.anyUnavailable(owned.witnesses)) {
			return true
		}
	}
	return false
}
