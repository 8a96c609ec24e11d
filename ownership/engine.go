package ownership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jasminevane/jasminevane/platform"
)

// LeaseRenewal is a request to a witness to renew leases.
type LeaseRenewal struct {
	To     NodeRef
	SentAt time.Time
	Leases []Lease
}

// Fence is a request to a witness to stop renewing leases.
type Fence struct {
	To     NodeRef
	Leases []Lease
}

// Handover moves shards to a new owner. The node that sends it adds the idempotency records of the shards.
type Handover struct {
	To     NodeRef
	Shards []ShardHandover
}

// ShardHandover is the part of a handover that concerns one shard.
type ShardHandover struct {
	Shard         int
	Epoch         uint64
	Witnesses     []NodeRef
	CompleteSince time.Time // time before which idempotency records may be missing; zero if none are missing
}

// Output holds the messages and claims that the node must send, and the shards that it lost or acquired.
type Output struct {
	Renewals      []LeaseRenewal
	Fences        []Fence
	Handovers     []Handover
	LateHandovers []Handover // records for nodes that took over shards while this node was considered dead; ownership has already moved
	Claims        []Claim
	Lost          []int // shards that this node no longer owns; their records can be deleted
	Acquired      []int // shards that this node now owns
}

// ownedShard is this node's state of a shard that it owns.
type ownedShard struct {
	epoch         uint64
	witnesses     []NodeRef
	renewedAt     map[NodeRef]time.Time // by witness, the send time of the last renewal that it granted
	nextWitnesses []NodeRef             // replacement for witnesses; nil if no replacement is in progress
	moveAckedBy   map[NodeRef]bool      // members of witnesses that have recorded nextWitnesses
	completeSince time.Time
	handingOver   bool // a handover to newOwner is in progress; this node no longer serves the shard in this epoch
	unclaimed     bool // the shard was handed over to this node, which has not yet claimed it in the log
	newOwner      NodeRef
}

// takeover is the state of this node's attempt to fence the owner of a shard.
type takeover struct {
	epoch          uint64
	witnessSets    [][]NodeRef      // all witness sets that may hold the owner's lease in this epoch
	fencedBy       map[NodeRef]bool // witnesses that have stopped renewing the lease
	leasesExpireAt time.Time        // time when the owner's lease has expired; zero until enough witnesses have stopped renewing
	retryAt        time.Time
}

// witnessState is the state that this node keeps as a witness of a shard.
type witnessState struct {
	fencedEpoch uint64      // leases of this epoch and of earlier epochs are not renewed
	movedEpoch  uint64      // epoch of the leases in movedTo
	movedTo     [][]NodeRef // witness sets to which the owner may have moved its lease
}

// maxWitnessSets is the maximum number of witness sets to which a lease may move within one epoch.
const maxWitnessSets = 16

// Engine is the ownership state of one node. It is a deterministic state machine.
type Engine struct {
	self              Node
	startedAt         time.Time
	table             *Table
	nodes             map[string]Node
	desiredOwners     []string
	fallbackOwners    [ShardCount][fallbackCount]string // nodes that rank next after the desired owner
	desiredComputedAt time.Time
	desiredSince      [ShardCount]time.Time // time when the desired owner of each shard last changed
	desiredStale      bool
	ownedShards       map[int]*ownedShard
	takeovers         map[int]*takeover
	witnessStates     map[int]witnessState
	givenUpEpochs     map[int]uint64 // by shard, the newest epoch in which this node gave it up
	lastRenewalAt     time.Time
	lastClaimAt       map[int]time.Time // by shard, the time of this node's last claim
	lastHandoverAt    time.Time
	caughtUpAt        time.Time
	leaving           bool
	disabled          DisabledSafeguards
	output            Output
}

// DisabledSafeguards disables individual safeguards, so that tests can show that they detect the resulting faults.
type DisabledSafeguards struct {
	Fencing       bool // a takeover does not wait until the former owner is fenced
	Leases        bool // an owner serves without a valid lease
	CompleteSince bool // after a takeover, the new owner assumes that it has all records
}

// New returns the engine of the node self, which does not know any other node yet.
func New(now time.Time, self Node, disabled DisabledSafeguards) *Engine {
	return &Engine{
		self: self, startedAt: now, table: newTable(), desiredStale: true, disabled: disabled,
		nodes: make(map[string]Node), desiredOwners: make([]string, ShardCount),
		ownedShards: make(map[int]*ownedShard), takeovers: make(map[int]*takeover),
		witnessStates: make(map[int]witnessState), givenUpEpochs: make(map[int]uint64), lastClaimAt: make(map[int]time.Time),
	}
}

// TakeOutput returns the pending output and clears it.
func (e *Engine) TakeOutput() Output {
	out := e.output
	e.output = Output{}
	return out
}

// Next returns the offset of the first log entry not yet applied.
func (e *Engine) Next() platform.Offset { return e.table.Next }

// Table returns a copy of the ownership table, for a snapshot or for a node that is starting.
func (e *Engine) Table() *Table { return e.table.clone() }

// Rewind makes the engine read the log from its beginning, since the log was restored from a copy. The assignments stay: an epoch that was
// given out is never given out again, also if the log has lost it.
func (e *Engine) Rewind() {
	e.table.Next = 0
	e.caughtUpAt = time.Time{}
}

// Adopt replaces the ownership table with t, from another node or a snapshot, if t is newer. It reports whether it did. Assignments of later
// epochs than those in t stay, which the log may have lost.
func (e *Engine) Adopt(now time.Time, t *Table) bool {
	if t == nil || t.Next <= e.table.Next || len(t.Assignments) != ShardCount {
		return false
	}
	e.table.raise(t)
	e.table.Next = t.Next
	for s := range e.table.Assignments {
		e.reconcile(now, s, Claim{})
	}
	return true
}

// SetMembers replaces the set of live nodes.
func (e *Engine) SetMembers(nodes []Node) {
	e.nodes = make(map[string]Node, len(nodes))
	for _, n := range nodes {
		e.nodes[n.Name] = n
	}
	e.desiredStale = true
}

// MarkCaughtUp records that this node has read the log to its end at the time now.
func (e *Engine) MarkCaughtUp(now time.Time) { e.caughtUpAt = now }

// Leave makes the node hand over all its shards.
func (e *Engine) Leave() {
	e.leaving = true
	e.desiredStale = true
	e.lastHandoverAt = time.Time{}
}

// OwnedShards returns the number of shards that the node owns.
func (e *Engine) OwnedShards() int { return len(e.ownedShards) }

// OwnerCandidates returns the names of the nodes that may own the shard, the most likely owner first.
func (e *Engine) OwnerCandidates(shard int) []string {
	var candidates []string
	if owned := e.ownedShards[shard]; owned != nil && !owned.handingOver {
		return []string{e.self.Name}
	}
	assignment := e.table.Assignments[shard]
	if n, ok := e.nodes[assignment.Owner.Name]; ok && n.Incarnation == assignment.Owner.Incarnation {
		candidates = append(candidates, n.Name)
	}
	// While the log is unavailable, the shard may be owned by a node that ranked first when the former owner left.
	for _, name := range append([]string{e.desiredOwners[shard]}, e.fallbackOwners[shard][:]...) {
		if name != "" && !slices.Contains(candidates, name) {
			candidates = append(candidates, name)
		}
	}
	return candidates
}

// Serving reports whether this node may serve the shard. Idempotency records older than completeSince may be missing;
// completeSince is zero if none are.
func (e *Engine) Serving(now time.Time, shard int) (ok bool, completeSince time.Time) {
	owned := e.ownedShards[shard]
	if owned == nil || owned.handingOver {
		return false, time.Time{}
	}
	if !e.disabled.Leases && !now.Before(owned.leaseExpiry()) {
		return false, time.Time{}
	}
	return true, owned.completeSince
}

// leaseExpiry returns the time until which a majority of the witnesses has renewed the lease, or zero without a majority.
func (owned *ownedShard) leaseExpiry() time.Time {
	times := make([]time.Time, 0, witnessCount)
	for _, w := range owned.witnesses {
		if t, ok := owned.renewedAt[w]; ok {
			times = append(times, t)
		}
	}
	quorum := len(owned.witnesses)/2 + 1
	if len(times) < quorum {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[quorum-1].Add(LeaseDuration)
}

// Apply applies one entry of the log.
func (e *Engine) Apply(now time.Time, entry platform.Entry) {
	claim, changed := e.table.apply(entry)
	for _, s := range changed {
		e.reconcile(now, s, claim)
	}
}

// reconcile updates this node's state of the shard after the log changed the shard's owner or epoch.
func (e *Engine) reconcile(now time.Time, shard int, claim Claim) {
	assignment := e.table.Assignments[shard]
	owned := e.ownedShards[shard]
	if assignment.Owner == e.self.NodeRef && claim.Node == e.self.NodeRef {
		e.startEpoch(now, shard, assignment, owned)
		return
	}
	if owned != nil && assignment.Epoch > owned.epoch {
		e.queueLateHandover(shard, owned, assignment)
		e.giveUp(shard, owned.epoch)
	}
	delete(e.takeovers, shard)
}

// queueLateHandover queues the records of a shard for the node that took it over while this node was considered dead.
func (e *Engine) queueLateHandover(shard int, owned *ownedShard, assignment Assignment) {
	if assignment.ClaimKind != Takeover || assignment.Epoch != owned.epoch+1 || owned.handingOver || assignment.Owner == e.self.NodeRef {
		return
	}
	sh := ShardHandover{Shard: shard, Epoch: owned.epoch, CompleteSince: owned.completeSince}
	for i := range e.output.LateHandovers {
		if e.output.LateHandovers[i].To == assignment.Owner {
			e.output.LateHandovers[i].Shards = append(e.output.LateHandovers[i].Shards, sh)
			return
		}
	}
	e.output.LateHandovers = append(e.output.LateHandovers, Handover{To: assignment.Owner, Shards: []ShardHandover{sh}})
}

// AcceptLateHandover reports whether to import the records that a former owner sends after a takeover. If so, the shard's
// records are complete since sh.CompleteSince.
func (e *Engine) AcceptLateHandover(sh ShardHandover) bool {
	owned := e.ownedShards[sh.Shard]
	if owned == nil || owned.handingOver || owned.epoch != sh.Epoch+1 || owned.completeSince.IsZero() {
		return false
	}
	owned.completeSince = sh.CompleteSince
	return true
}

// giveUp makes this node stop owning the shard. It never owns the shard again in this epoch or an earlier one.
func (e *Engine) giveUp(shard int, epoch uint64) {
	delete(e.ownedShards, shard)
	e.givenUpEpochs[shard] = max(e.givenUpEpochs[shard], epoch)
	e.output.Lost = append(e.output.Lost, shard)
}

// startEpoch starts a new epoch of a shard after the log accepted this node's claim.
func (e *Engine) startEpoch(now time.Time, shard int, assignment Assignment, previous *ownedShard) {
	owned := &ownedShard{epoch: assignment.Epoch, witnesses: assignment.Witnesses, renewedAt: make(map[NodeRef]time.Time)}
	switch {
	case assignment.ClaimKind == Transfer && previous != nil && !previous.handingOver:
		owned.completeSince = previous.completeSince
	case assignment.ClaimKind == Fresh:
	default:
		owned.completeSince = now
	}
	if e.disabled.CompleteSince {
		owned.completeSince = time.Time{}
	}
	delete(e.takeovers, shard)
	e.ownedShards[shard] = owned
	e.output.Acquired = append(e.output.Acquired, shard)
	e.lastRenewalAt = time.Time{}
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
	if !e.desiredStale || now.Sub(e.desiredComputedAt) < 200*time.Millisecond {
		return
	}
	e.desiredStale = false
	e.desiredComputedAt = now
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
		owner := e.rankNodes(s, names, hashes)
		if e.desiredOwners[s] != owner {
			e.desiredOwners[s], e.desiredSince[s] = owner, now
		}
	}
}

// fallbackCount is the number of nodes that may be asked whether they own a shard, besides the desired owner.
const fallbackCount = 3

// rankNodes stores the fallback owners of the shard and returns the name of the node that ranks first.
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

// queueRenewals queues requests to the witnesses of this node's shards to renew its leases.
func (e *Engine) queueRenewals(now time.Time) {
	if now.Sub(e.lastRenewalAt) < renewInterval {
		return
	}
	e.lastRenewalAt = now
	batch := make(map[NodeRef][]Lease)
	for s, owned := range e.ownedShards {
		if owned.handingOver {
			continue
		}
		for _, w := range owned.witnesses {
			batch[w] = append(batch[w], Lease{Shard: s, Epoch: owned.epoch, NewWitnesses: owned.nextWitnesses})
		}
		for _, w := range owned.nextWitnesses {
			if !slices.Contains(owned.witnesses, w) {
				batch[w] = append(batch[w], Lease{Shard: s, Epoch: owned.epoch})
			}
		}
	}
	for to, leases := range batch {
		slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.Shard, b.Shard) })
		e.output.Renewals = append(e.output.Renewals, LeaseRenewal{To: to, SentAt: now, Leases: leases})
	}
	slices.SortFunc(e.output.Renewals, func(a, b LeaseRenewal) int { return cmp.Compare(a.To.Name, b.To.Name) })
}

// HandleRenewalResponse handles the response of a witness to the renewal r. The witness refused to renew the leases of
// the shards in refused.
func (e *Engine) HandleRenewalResponse(r LeaseRenewal, incarnation uint64, refused []int) {
	if incarnation != r.To.Incarnation {
		return // the witness restarted and has lost its record of fenced epochs
	}
	for _, l := range r.Leases {
		owned := e.ownedShards[l.Shard]
		if owned == nil || owned.epoch != l.Epoch {
			continue
		}
		if slices.Contains(refused, l.Shard) {
			delete(owned.renewedAt, r.To)
			continue
		}
		if r.SentAt.After(owned.renewedAt[r.To]) {
			owned.renewedAt[r.To] = r.SentAt
		}
		if len(l.NewWitnesses) > 0 && slices.Equal(l.NewWitnesses, owned.nextWitnesses) {
			owned.ackMove(r.To)
		}
	}
}

// ackMove records that the witness w has recorded nextWitnesses. These replace the current witnesses once a majority of the
// current ones has recorded them.
func (owned *ownedShard) ackMove(w NodeRef) {
	if owned.moveAckedBy == nil {
		owned.moveAckedBy = make(map[NodeRef]bool)
	}
	if slices.Contains(owned.witnesses, w) {
		owned.moveAckedBy[w] = true
	}
	if len(owned.moveAckedBy) > len(owned.witnesses)/2 {
		owned.witnesses, owned.nextWitnesses, owned.moveAckedBy = owned.nextWitnesses, nil, nil
	}
}
