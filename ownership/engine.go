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
	Sent   time.Time
	Leases []Lease
}

// Fence asks a witness to renew leases no more.
type Fence struct {
	To     Ref
	Leases []Lease
}

// Handover moves shards to a new owner; the shell adds the records of the keys.
type Handover struct {
	To     Ref
	Shards []ShardHandover
}

// ShardHandover is a shard on its way to a new owner.
type ShardHandover struct {
	Shard         int
	Epoch         uint64
	Witnesses     []Ref
	CompleteSince time.Time // start of a span of which the owner knows nothing; zero for none
}

// Output is what the shell has to carry out.
type Output struct {
	Renewals      []LeaseRenewal
	Fences        []Fence
	Handovers     []Handover
	LateHandovers []Handover // records for the owners that took shards over
	Claims        []Claim
	Lost          []int // shards that this node stopped owning, whose records can go
	Acquired      []int // shards that this node started to own
}

// holding is a shard that this node owns.
type holding struct {
	epoch   uint64
	set     []Ref
	acks    map[Ref]time.Time // send time of the last renewal that the witness granted
	next    []Ref             // witnesses to which the lease moves
	moved   map[Ref]bool      // witnesses of set that agreed to the move
	gap     time.Time
	sending bool // on its way to another node; never served here again under this epoch
	deed    bool // received from another node and not yet claimed
	to      Ref
}

// takeover is the fencing of an owner that was lost.
type takeover struct {
	epoch    uint64
	sets     [][]Ref
	promised map[Ref]bool
	ready    time.Time // when the leases of the owner have run out
	retry    time.Time
}

// promise is what this node owes as a witness.
type promise struct {
	epoch uint64  // leases of this epoch and earlier ones are not renewed
	from  uint64  // epoch to which moved belongs
	moved [][]Ref // witnesses to which its owner may have moved
}

// maxMoves bounds the sets of witnesses that one epoch may move to.
const maxMoves = 16

// Engine is the state of one node; it is a deterministic state machine.
type Engine struct {
	self     Node
	start    time.Time
	table    *Table
	nodes    map[string]Node
	desired  []string
	others   [Shards][fallbacks]string // the next best after desired
	desireAt time.Time
	since    [Shards]time.Time // since when desired is what it is
	stale    bool
	held     map[int]*holding
	takes    map[int]*takeover
	promises map[int]promise
	gone     map[int]uint64 // newest epoch of each shard that this node has given up
	renewed  time.Time
	claimed  map[int]time.Time
	moving   time.Time
	caughtUp time.Time
	leaving  bool
	policy   DisabledSafeguards
	out      Output
}

// DisabledSafeguards switches single safeguards off, so that tests can show that they notice.
type DisabledSafeguards struct {
	Fencing       bool // a takeover does not wait for the witnesses
	Leases        bool // an owner serves without a valid lease
	CompleteSince bool // a takeover is taken to know all keys
}

// New returns the engine of a node that knows nobody.
func New(now time.Time, self Node, p DisabledSafeguards) *Engine {
	return &Engine{
		self: self, start: now, table: newTable(), stale: true, policy: p,
		nodes: make(map[string]Node), desired: make([]string, Shards),
		held: make(map[int]*holding), takes: make(map[int]*takeover),
		promises: make(map[int]promise), gone: make(map[int]uint64), claimed: make(map[int]time.Time),
	}
}

// TakeOutput returns and clears what the shell has to carry out.
func (e *Engine) TakeOutput() Output {
	out := e.out
	e.out = Output{}
	return out
}

// Next returns the offset of the first log record not yet taken.
func (e *Engine) Next() platform.Offset { return e.table.Next }

// Table returns a copy of the table for a snapshot or a node that starts.
func (e *Engine) Table() *Table { return e.table.clone() }

// Adopt takes the table of another node or a snapshot where it is newer.
func (e *Engine) Adopt(now time.Time, t *Table) bool {
	if t == nil || t.Next <= e.table.Next || len(t.Rows) != Shards {
		return false
	}
	e.table = t.clone()
	for s := range e.table.Rows {
		e.reconcile(now, s, Claim{})
	}
	return true
}

// SetMembers replaces the live nodes.
func (e *Engine) SetMembers(list []Node) {
	e.nodes = make(map[string]Node, len(list))
	for _, n := range list {
		e.nodes[n.Name] = n
	}
	e.stale = true
}

// MarkCaughtUp tells that the log was read to its end at now.
func (e *Engine) MarkCaughtUp(now time.Time) { e.caughtUp = now }

// Leave makes the node hand over all its shards.
func (e *Engine) Leave() {
	e.leaving = true
	e.stale = true
	e.moving = time.Time{}
}

// OwnedShards returns the number of shards that the node owns.
func (e *Engine) OwnedShards() int { return len(e.held) }

// OwnerCandidates returns the nodes that may own the shard, the likeliest first.
func (e *Engine) OwnerCandidates(shard int) []string {
	var out []string
	if h := e.held[shard]; h != nil && !h.sending {
		return []string{e.self.Name}
	}
	row := e.table.Rows[shard]
	if n, ok := e.nodes[row.Owner.Name]; ok && n.Incarnation == row.Owner.Incarnation {
		out = append(out, n.Name)
	}
	// While the log is away a shard may be with a node that was the best one when its owner left.
	for _, d := range append([]string{e.desired[shard]}, e.others[shard][:]...) {
		if d != "" && !slices.Contains(out, d) {
			out = append(out, d)
		}
	}
	return out
}

// Serving reports whether the node may answer for the shard, and since when it knows nothing of earlier keys (zero where it knows all).
func (e *Engine) Serving(now time.Time, shard int) (ok bool, gap time.Time) {
	h := e.held[shard]
	if h == nil || h.sending {
		return false, time.Time{}
	}
	if !e.policy.Leases && !now.Before(h.lease()) {
		return false, time.Time{}
	}
	return true, h.gap
}

// lease returns the time until which a majority of the witnesses vouches.
func (h *holding) lease() time.Time {
	times := make([]time.Time, 0, witnesses)
	for _, w := range h.set {
		if t, ok := h.acks[w]; ok {
			times = append(times, t)
		}
	}
	need := len(h.set)/2 + 1
	if len(times) < need {
		return time.Time{}
	}
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	return times[need-1].Add(LeaseTime)
}

// Apply takes one entry of the log.
func (e *Engine) Apply(now time.Time, entry platform.Entry) {
	claim, won := e.table.apply(entry)
	for _, s := range won {
		e.reconcile(now, s, claim)
	}
}

// reconcile brings what this node holds in line with the log's row.
func (e *Engine) reconcile(now time.Time, shard int, claim Claim) {
	row := e.table.Rows[shard]
	h := e.held[shard]
	if row.Owner == e.self.Ref && claim.Node == e.self.Ref {
		e.own(now, shard, row, h)
		return
	}
	if h != nil && row.Epoch > h.epoch {
		e.bequeath(shard, h, row)
		e.drop(shard, h.epoch)
	}
	delete(e.takes, shard)
}

// bequeath sends the records of a shard to the owner that took it over while this node was thought lost.
func (e *Engine) bequeath(shard int, h *holding, row Row) {
	if row.Kind != Takeover || row.Epoch != h.epoch+1 || h.sending || row.Owner == e.self.Ref {
		return
	}
	d := ShardHandover{Shard: shard, Epoch: h.epoch, CompleteSince: h.gap}
	for i := range e.out.LateHandovers {
		if e.out.LateHandovers[i].To == row.Owner {
			e.out.LateHandovers[i].Shards = append(e.out.LateHandovers[i].Shards, d)
			return
		}
	}
	e.out.LateHandovers = append(e.out.LateHandovers, Handover{To: row.Owner, Shards: []ShardHandover{d}})
}

// AcceptLateHandover takes the word of the former owner that its records of the shard are whole since d.Gap, and reports whether they are to be taken.
func (e *Engine) AcceptLateHandover(d ShardHandover) bool {
	h := e.held[d.Shard]
	if h == nil || h.sending || h.epoch != d.Epoch+1 || h.gap.IsZero() {
		return false
	}
	h.gap = d.CompleteSince
	return true
}

// drop gives up a shard for good under its epoch.
func (e *Engine) drop(shard int, epoch uint64) {
	delete(e.held, shard)
	e.gone[shard] = max(e.gone[shard], epoch)
	e.out.Lost = append(e.out.Lost, shard)
}

// own starts a new epoch of a shard after this node's claim won.
func (e *Engine) own(now time.Time, shard int, row Row, old *holding) {
	h := &holding{epoch: row.Epoch, set: row.Witnesses, acks: make(map[Ref]time.Time)}
	switch {
	case row.Kind == Transfer && old != nil && !old.sending:
		h.gap = old.gap
	case row.Kind == Fresh:
	default:
		h.gap = now
	}
	if e.policy.CompleteSince {
		h.gap = time.Time{}
	}
	delete(e.takes, shard)
	e.held[shard] = h
	e.out.Acquired = append(e.out.Acquired, shard)
	e.renewed = time.Time{}
}

// Tick renews leases and starts claims, fences and handovers that are due.
func (e *Engine) Tick(now time.Time) {
	e.desire(now)
	e.renew(now)
	e.replaceWitnesses()
	e.claim(now)
	e.move(now)
}

// desire computes which node should own each shard.
func (e *Engine) desire(now time.Time) {
	if !e.stale || now.Sub(e.desireAt) < 200*time.Millisecond {
		return
	}
	e.stale = false
	e.desireAt = now
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
	for s := range Shards {
		best := e.rankNodes(s, names, hashes)
		if e.desired[s] != best {
			e.desired[s], e.since[s] = best, now
		}
	}
}

// fallbacks is the number of nodes after the best that are asked for a shard.
const fallbacks = 3

// rankNodes notes the nodes that rank next for the shard and returns the best.
func (e *Engine) rankNodes(s int, names []string, hashes []uint64) string {
	var top [1 + fallbacks]string
	var score [1 + fallbacks]uint64
	for i, h := range hashes {
		name, w := names[i], weight(s, h)
		for k := range top {
			if w > score[k] {
				name, top[k] = top[k], name
				w, score[k] = score[k], w
			}
		}
	}
	copy(e.others[s][:], top[1:])
	return top[0]
}

// renew asks the witnesses of all shards to vouch.
func (e *Engine) renew(now time.Time) {
	if now.Sub(e.renewed) < renewEvery {
		return
	}
	e.renewed = now
	batch := make(map[Ref][]Lease)
	for s, h := range e.held {
		if h.sending {
			continue
		}
		for _, w := range h.set {
			batch[w] = append(batch[w], Lease{Shard: s, Epoch: h.epoch, NewWitnesses: h.next})
		}
		for _, w := range h.next {
			if !slices.Contains(h.set, w) {
				batch[w] = append(batch[w], Lease{Shard: s, Epoch: h.epoch})
			}
		}
	}
	for to, leases := range batch {
		slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.Shard, b.Shard) })
		e.out.Renewals = append(e.out.Renewals, LeaseRenewal{To: to, Sent: now, Leases: leases})
	}
	slices.SortFunc(e.out.Renewals, func(a, b LeaseRenewal) int { return cmp.Compare(a.To.Name, b.To.Name) })
}

// HandleRenewalResponse takes the answer of a witness to a renewal sent at v.Sent.
func (e *Engine) HandleRenewalResponse(v LeaseRenewal, incarnation uint64, refused []int) {
	if incarnation != v.To.Incarnation {
		return // another run of the node, which knows nothing of earlier promises
	}
	for _, l := range v.Leases {
		h := e.held[l.Shard]
		if h == nil || h.epoch != l.Epoch {
			continue
		}
		if slices.Contains(refused, l.Shard) {
			delete(h.acks, v.To)
			continue
		}
		if v.Sent.After(h.acks[v.To]) {
			h.acks[v.To] = v.Sent
		}
		if len(l.NewWitnesses) > 0 && slices.Equal(l.NewWitnesses, h.next) {
			h.agree(v.To)
		}
	}
}

// agree counts a witness that agreed to the move; a majority of the old set completes it.
func (h *holding) agree(w Ref) {
	if h.moved == nil {
		h.moved = make(map[Ref]bool)
	}
	if slices.Contains(h.set, w) {
		h.moved[w] = true
	}
	if len(h.moved) > len(h.set)/2 {
		h.set, h.next, h.moved = h.next, nil, nil
	}
}
