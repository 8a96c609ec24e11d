package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jasminevane/jasminevane/platform"
)

// LeaseRenewal asks a witness to renew leases.
type LeaseRenewal struct {
	To     Ref
	SentAt time.Time
	Leases []Lease
}

// Fence asks a witness to stop renewing leases.
type Fence struct {
	To     Ref
	Leases []Lease
}

// Handover moves shards to a new owner; the node adds the idempotency records of the shards.
type Handover struct {
	To     Ref
	Shards []ShardHandover
}

// ShardHandover is the part of a handover that concerns one shard.
type ShardHandover struct {
	Shard         int
	Epoch         uint64
	Witnesses     []Ref
	CompleteSince time.Time // time before which idempotency records may be missing; zero if none are missing
}

// Output holds the messages and claims that the node has to send, and the shards that it lost or acquired.
type Output struct {
	Renewals      []LeaseRenewal
	Fences        []Fence
	Handovers     []Handover
	LateHandovers []Handover // idempotency records for the nodes that took shards over from this node
	Claims        []Claim
	Lost          []int // shards that this node no longer owns; their records can be deleted
	Acquired      []int // shards that this node owns from now on
}

// ownedShard is the state of a shard that this node owns.
type ownedShard struct {
	epoch         uint64
	witnesses     []Ref
	renewedAt     map[Ref]time.Time // send time of the last renewal that the witness granted
	nextWitnesses []Ref             // witnesses that are to replace the current ones; nil for none
	moveAcks      map[Ref]bool      // current witnesses that have recorded nextWitnesses
	completeSince time.Time
	handingOver   bool // being handed over; this node never serves it again under this epoch
	unclaimed     bool // handed over to this node and not yet claimed by it
	newOwner      Ref
}

// takeover is the state of fencing the owner of a shard.
type takeover struct {
	epoch       uint64
	witnessSets [][]Ref
	promised    map[Ref]bool
	leasesEnd   time.Time // when the leases of the owner have expired; zero until enough witnesses have promised
	retryAt     time.Time
}

// witnessState is what this node has promised about a shard as a witness.
type witnessState struct {
	fencedEpoch uint64  // leases of this epoch and earlier ones are not renewed
	movedEpoch  uint64  // epoch to which movedTo belongs
	movedTo     [][]Ref // witness sets to which the owner may have moved its lease
}

// maxWitnessSets limits the witness sets to which a lease may move within one epoch.
const maxWitnessSets = 16

// Engine is the ownership state of one node. It is a deterministic state machine.
type Engine struct {
	self           Node
	start          time.Time
	table          *Table
	nodes          map[string]Node
	desired        []string
	fallbackOwners [ShardCount][fallbackCount]string // the nodes that rank next after desired
	desiredAt      time.Time
	desiredSince   [ShardCount]time.Time // when desired last changed
	desiredStale   bool
	owned          map[int]*ownedShard
	takeovers      map[int]*takeover
	witnessStates  map[int]witnessState
	givenUp        map[int]uint64 // newest epoch in which this node gave up each shard
	lastRenewal    time.Time
	lastClaim      map[int]time.Time
	lastHandover   time.Time
	caughtUpAt     time.Time
	leaving        bool
	disabled       DisabledSafeguards
	output         Output
}

// DisabledSafeguards switches single safeguards off, so that tests can show that they detect the resulting faults.
type DisabledSafeguards struct {
	Fencing       bool // a takeover does not wait until the former owner is fenced
	Leases        bool // an owner serves without a valid lease
	CompleteSince bool // a new owner treats its records as complete after a takeover
}

// New returns the engine of a node that knows no other node yet.
func New(now time.Time, self Node, disabled DisabledSafeguards) *Engine {
	return &Engine{
		self: self, start: now, table: newTable(), desiredStale: true, disabled: disabled,
		nodes: make(map[string]Node), desired: make([]string, ShardCount),
		owned: make(map[int]*ownedShard), takeovers: make(map[int]*takeover),
		witnessStates: make(map[int]witnessState), givenUp: make(map[int]uint64), lastClaim: make(map[int]time.Time),
	}
}

// TakeOutput returns and clears the output.
func (e *Engine) TakeOutput() Output {
	out := e.output
	e.output = Output{}
	return out
}

// Next returns the offset of the first log entry not yet applied.
func (e *Engine) Next() platform.Offset { return e.table.Next }

// Table returns a copy of the table, for a snapshot or for a node that starts.
func (e *Engine) Table() *Table { return e.table.clone() }

// Adopt replaces the table by that of another node or of a snapshot if it is newer, and reports whether it did.
func (e *Engine) Adopt(now time.Time, t *Table) bool {
	if t == nil || t.Next <= e.table.Next || len(t.Assignments) != ShardCount {
		return false
	}
	e.table = t.clone()
	for s := range e.table.Assignments {
		e.reconcile(now, s, Claim{})
	}
	return true
}

// SetMembers replaces the set of live nodes.
func (e *Engine) SetMembers(list []Node) {
	e.nodes = make(map[string]Node, len(list))
	for _, n := range list {
		e.nodes[n.Name] = n
	}
	e.desiredStale = true
}

// MarkCaughtUp records that the log had been read to its end at now.
func (e *Engine) MarkCaughtUp(now time.Time) { e.caughtUpAt = now }

// Leave makes the node hand over all its shards.
func (e *Engine) Leave() {
	e.leaving = true
	e.desiredStale = true
	e.lastHandover = time.Time{}
}

// OwnedShards returns the number of shards that the node owns.
func (e *Engine) OwnedShards() int { return len(e.owned) }

// OwnerCandidates returns the names of the nodes that may own the shard, the most likely first.
func (e *Engine) OwnerCandidates(shard int) []string {
	var candidates []string
	if own := e.owned[shard]; own != nil && !own.handingOver {
		return []string{e.self.Name}
	}
	row := e.table.Assignments[shard]
	if n, ok := e.nodes[row.Owner.Name]; ok && n.Incarnation == row.Owner.Incarnation {
		candidates = append(candidates, n.Name)
	}
	// While the log is unavailable, a shard may be owned by a node that ranked first when the former owner left.
	for _, name := range append([]string{e.desired[shard]}, e.fallbackOwners[shard][:]...) {
		if name != "" && !slices.Contains(candidates, name) {
			candidates = append(candidates, name)
		}
	}
	return candidates
}

// Serving reports whether the node may serve the shard, and the time before which records of keys may be missing (zero if none are).
func (e *Engine) Serving(now time.Time, shard int) (ok bool, completeSince time.Time) {
	own := e.owned[shard]
	if own == nil || own.handingOver {
		return false, time.Time{}
	}
	if !e.disabled.Leases && !now.Before(own.leaseEnd()) {
		return false, time.Time{}
	}
	return true, own.completeSince
}

// leaseEnd returns the time until which a majority of the witnesses has renewed the lease.
func (own *ownedShard) leaseEnd() time.Time {
	times := make([]time.Time, 0, witnessCount)
	for _, w := range own.witnesses {
		if t, ok := own.renewedAt[w]; ok {
			times = append(times, t)
		}
	}
	need := len(own.witnesses)/2 + 1
	if len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1].Add(LeaseDuration)
}

// Apply applies one entry of the log.
func (e *Engine) Apply(now time.Time, entry platform.Entry) {
	claim, changed := e.table.apply(entry)
	for _, s := range changed {
		e.reconcile(now, s, claim)
	}
}

// reconcile updates the state of the shard after the log changed its owner or epoch.
func (e *Engine) reconcile(now time.Time, shard int, claim Claim) {
	row := e.table.Assignments[shard]
	own := e.owned[shard]
	if row.Owner == e.self.Ref && claim.Node == e.self.Ref {
		e.startEpoch(now, shard, row, own)
		return
	}
	if own != nil && row.Epoch > own.epoch {
		e.queueLateHandover(shard, own, row)
		e.giveUp(shard, own.epoch)
	}
	delete(e.takeovers, shard)
}

// queueLateHandover sends the records of a shard to the node that took it over while this node was considered down.
func (e *Engine) queueLateHandover(shard int, own *ownedShard, row Assignment) {
	if row.ClaimKind != Takeover || row.Epoch != own.epoch+1 || own.handingOver || row.Owner == e.self.Ref {
		return
	}
	sh := ShardHandover{Shard: shard, Epoch: own.epoch, CompleteSince: own.completeSince}
	for i := range e.output.LateHandovers {
		if e.output.LateHandovers[i].To == row.Owner {
			e.output.LateHandovers[i].Shards = append(e.output.LateHandovers[i].Shards, sh)
			return
		}
	}
	e.output.LateHandovers = append(e.output.LateHandovers, Handover{To: row.Owner, Shards: []ShardHandover{sh}})
}

// AcceptLateHandover notes that the former owner's records are complete since sh.CompleteSince, and reports whether to import them.
func (e *Engine) AcceptLateHandover(sh ShardHandover) bool {
	own := e.owned[sh.Shard]
	if own == nil || own.handingOver || own.epoch != sh.Epoch+1 || own.completeSince.IsZero() {
		return false
	}
	own.completeSince = sh.CompleteSince
	return true
}

// giveUp stops owning a shard; the node never owns it again under this or an earlier epoch.
func (e *Engine) giveUp(shard int, epoch uint64) {
	delete(e.owned, shard)
	e.givenUp[shard] = max(e.givenUp[shard], epoch)
	e.output.Lost = append(e.output.Lost, shard)
}

// startEpoch starts a new epoch of a shard after this node's claim was accepted.
func (e *Engine) startEpoch(now time.Time, shard int, row Assignment, previous *ownedShard) {
	own := &ownedShard{epoch: row.Epoch, witnesses: row.Witnesses, renewedAt: make(map[Ref]time.Time)}
	switch {
	case row.ClaimKind == Transfer && previous != nil && !previous.handingOver:
		own.completeSince = previous.completeSince
	case row.ClaimKind == Fresh:
	default:
		own.completeSince = now
	}
	if e.disabled.CompleteSince {
		own.completeSince = time.Time{}
	}
	delete(e.takeovers, shard)
	e.owned[shard] = own
	e.output.Acquired = append(e.output.Acquired, shard)
	e.lastRenewal = time.Time{}
}

// Tick queues the lease renewals, claims, fences and handovers that are due.
func (e *Engine) Tick(now time.Time) {
	e.updateDesired(now)
	e.queueRenewals(now)
	e.replaceWitnesses()
	e.queueClaims(now)
	e.queueHandovers(now)
}

// updateDesired computes which node should own each shard, by rendezvous hashing.
func (e *Engine) updateDesired(now time.Time) {
	if !e.desiredStale || now.Sub(e.desiredAt) < 200*time.Millisecond {
		return
	}
	e.desiredStale = false
	e.desiredAt = now
	names := make([]string, 0, len(e.nodes))
	for name, n := range e.nodes {
		if !n.Leaving {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	hashes := make([]uint64, len(names))
	for i, name := range names {
		hashes[i] = xxhash.Sum64String(name)
	}
	for s := range ShardCount {
		best := e.rankNodes(s, names, hashes)
		if e.desired[s] != best {
			e.desired[s], e.desiredSince[s] = best, now
		}
	}
}

// fallbackCount is the number of nodes, after the first, that may be asked for a shard.
const fallbackCount = 3

// rankNodes stores the fallback owners of the shard and returns the node that ranks first.
func (e *Engine) rankNodes(s int, names []string, hashes []uint64) string {
	var topNames [1 + fallbackCount]string
	var topScores [1 + fallbackCount]uint64
	for i, h := range hashes {
		name, score := names[i], ownerScore(s, h)
		for k := range topNames {
			if score > topScores[k] {
				name, topNames[k] = topNames[k], name
				score, topScores[k] = topScores[k], score
			}
		}
	}
	copy(e.fallbackOwners[s][:], topNames[1:])
	return topNames[0]
}

// queueRenewals asks the witnesses of all shards to renew their leases.
func (e *Engine) queueRenewals(now time.Time) {
	if now.Sub(e.lastRenewal) < renewInterval {
		return
	}
	e.lastRenewal = now
	batch := make(map[Ref][]Lease)
	for s, own := range e.owned {
		if own.handingOver {
			continue
		}
		for _, w := range own.witnesses {
			batch[w] = append(batch[w], Lease{Shard: s, Epoch: own.epoch, NewWitnesses: own.nextWitnesses})
		}
		for _, w := range own.nextWitnesses {
			if !slices.Contains(own.witnesses, w) {
				batch[w] = append(batch[w], Lease{Shard: s, Epoch: own.epoch})
			}
		}
	}
	for to, leases := range batch {
		slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.Shard, b.Shard) })
		e.output.Renewals = append(e.output.Renewals, LeaseRenewal{To: to, SentAt: now, Leases: leases})
	}
	slices.SortFunc(e.output.Renewals, func(a, b LeaseRenewal) int { return cmp.Compare(a.To.Name, b.To.Name) })
}

// HandleRenewalResponse processes the response of a witness to a renewal sent at r.Sent.
func (e *Engine) HandleRenewalResponse(r LeaseRenewal, incarnation uint64, refused []int) {
	if incarnation != r.To.Incarnation {
		return // the witness restarted and has lost its earlier promises
	}
	for _, l := range r.Leases {
		own := e.owned[l.Shard]
		if own == nil || own.epoch != l.Epoch {
			continue
		}
		if slices.Contains(refused, l.Shard) {
			delete(own.renewedAt, r.To)
			continue
		}
		if r.SentAt.After(own.renewedAt[r.To]) {
			own.renewedAt[r.To] = r.SentAt
		}
		if len(l.NewWitnesses) > 0 && slices.Equal(l.NewWitnesses, own.nextWitnesses) {
			own.ackMove(r.To)
		}
	}
}

// ackMove records that a witness knows nextWitnesses; they replace the current witnesses once a majority of these knows them.
func (own *ownedShard) ackMove(w Ref) {
	if own.moveAcks == nil {
		own.moveAcks = make(map[Ref]bool)
	}
	if slices.Contains(own.witnesses, w) {
		own.moveAcks[w] = true
	}
	if len(own.moveAcks) > len(own.witnesses)/2 {
		own.witnesses, own.nextWitnesses, own.moveAcks = own.nextWitnesses, nil, nil
	}
}
