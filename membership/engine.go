package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Intervals and bounds of the protocol.
const (
	heartbeatInterval   = time.Second             // interval between heartbeats to one neighbour
	crossRegionInterval = 1500 * time.Millisecond // interval between heartbeats to a neighbour in another region
	crossRegionChance   = 0.1                     // chance that a random heartbeat may go to another region
	joinInterval        = 300 * time.Millisecond  // interval between attempts to join through a seed
	syncInterval        = 500 * time.Millisecond  // minimum interval between full comparisons of views
	settleTime          = 800 * time.Millisecond  // time after a change in which views may differ without a full comparison
	indirectProbes      = 2                       // nodes asked to probe a node that missed a heartbeat
	probeTimeout        = 700 * time.Millisecond  // time allowed for indirect probes to succeed
	minFailures         = 2                       // consecutive failed heartbeats before a node may be declared dead
	forgetAfter         = 10 * time.Minute        // time for which the record of a dead or departed node is kept
	gossipChance        = 0.25                    // chance per interval of a heartbeat to a random live node
	deadContactChance   = 0.2                     // chance per interval of a heartbeat to a node recorded as dead
	minKnownShare       = 0.75                    // known live nodes as a share of the seeds below which the node keeps joining
	seedChance          = 0.05                    // chance per interval of a heartbeat to a seed
	maxRecords          = 64                      // queued records per message; full comparisons of views are not bounded
	relaysPerDataCentre = 2                       // nodes of a data centre that have neighbours in others
	probeValidity       = 3 * time.Second         // time for which a successful indirect probe prevents a node from being declared dead
)

// Message is a heartbeat or the response to one.
type Message struct {
	Name        string
	Incarnation uint64
	Digest      uint64   // digest of the view of the sender
	Buckets     []uint64 // sums of the buckets of the view; set when views are compared in full
	Members     []Member
}

// OutgoingHeartbeat is a heartbeat to be sent to an address; Name is empty if the node at that address is not yet known.
type OutgoingHeartbeat struct {
	Name    string
	Address string
	Message Message
}

// Probe is a request to the node Via to probe the node Name.
type Probe struct {
	Via, ViaAddress string
	Name, Address   string
}

// MemberChange is a new record of a node and the record that it replaced.
type MemberChange struct {
	Old, New Member
}

// Output holds the actions that the embedding node must carry out.
type Output struct {
	Heartbeats []OutgoingHeartbeat
	Probes     []Probe
	Changes    []MemberChange
}

type entry struct {
	Member
	changedAt      time.Time // time of the last change to the record
	failures       int
	nextHeartbeat  time.Time // time of the next heartbeat to this node
	probeDeadline  time.Time // deadline of the pending indirect probes; zero if there are none
	reachableUntil time.Time // time until which a successful indirect probe prevents a declaration of death
	pending        []string  // names of the records queued for this node
	urgent         bool      // pending records are sent at once, even to another region
}

// Engine is the membership state machine of one node. It does no I/O: the embedding node feeds it messages and the time.
type Engine struct {
	self            *entry
	seeds           []string
	rnd             *rand.Rand
	members         map[string]*entry
	sums            [bucketCount]uint64
	lastChange      time.Time
	lastSync        time.Time
	nextJoin        time.Time
	nextGossip      time.Time
	neighbours      []*entry // nodes that get regular heartbeats and new records
	neighboursStale bool     // neighbours must be chosen again
	out             Output
}

// New returns the engine of a node that knows only itself and the addresses of its seeds.
func New(now time.Time, self Member, seeds []string, rnd *rand.Rand) *Engine {
	self.Status = Alive
	self.Seq = max(1, self.Seq)
	e := &Engine{seeds: seeds, rnd: rnd, members: make(map[string]*entry), lastChange: now}
	e.self = &entry{Member: self, changedAt: now}
	e.members[self.Name] = e.self
	e.toggleSum(e.self)
	e.neighboursStale = true
	return e
}

// SetSeeds replaces the addresses through which the node joins.
func (e *Engine) SetSeeds(seeds []string) { e.seeds = seeds }

// toggleSum adds a live record to its bucket sum, or removes it if it is already there, by XOR.
func (e *Engine) toggleSum(m *entry) {
	if m.live() {
		e.sums[bucketOf(m.Name)] ^= m.hash()
	}
}

func (e *Engine) digest() uint64 {
	var d uint64
	for i, s := range e.sums {
		d ^= s + uint64(i)*0x9e3779b97f4a7c15
	}
	return d
}

// Self returns the node's own record.
func (e *Engine) Self() Member { return e.self.Member }

// Digest returns a hash over all live records, which is equal on nodes with equal views.
func (e *Engine) Digest() uint64 { return e.digest() }

// Members returns all records sorted by name.
func (e *Engine) Members() []Member {
	out := make([]Member, 0, len(e.members))
	for _, m := range e.members {
		out = append(out, m.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return compareNames(a.Name, b.Name) })
	return out
}

// Member returns the record of the named node.
func (e *Engine) Member(name string) (Member, bool) {
	m, ok := e.members[name]
	if !ok {
		return Member{}, false
	}
	return m.Member, true
}

// TakeOutput returns and clears the pending output.
func (e *Engine) TakeOutput() Output {
	out := e.out
	e.out = Output{}
	return out
}

// SetUpstreams announces the upstreams that the node serves.
func (e *Engine) SetUpstreams(now time.Time, list []Upstream) {
	next := e.self.Member
	next.Upstreams = slices.Clone(list)
	next.Seq++
	e.put(now, next, "")
}

// SetStatus announces the status of the node, such as that it is leaving or has left.
func (e *Engine) SetStatus(now time.Time, s Status) {
	next := e.self.Member
	next.Status = s
	next.Seq++
	e.put(now, next, "")
}

// put stores a record newer than the known one and queues it for all neighbours except from.
func (e *Engine) put(now time.Time, m Member, from string) {
	old := e.members[m.Name]
	var before Member
	if old == nil {
		old = &entry{nextHeartbeat: now}
		e.members[m.Name] = old
		e.neighboursStale = true
	} else {
		before = old.Member
		e.toggleSum(old)
		e.neighboursStale = e.neighboursStale || old.live() != m.live() || old.Address != m.Address
		if m.Incarnation != old.Incarnation || m.Address != old.Address {
			old.failures, old.probeDeadline = 0, time.Time{}
		}
	}
	old.Member, old.changedAt = m, now
	e.toggleSum(old)
	e.lastChange = now
	e.out.Changes = append(e.out.Changes, MemberChange{Old: before, New: m})
	e.enqueue(m.Name, from, differsBeyondSuspect(&before, &m))
}

// differsBeyondSuspect reports whether two records differ in more than the Suspect flags of upstreams.
func differsBeyondSuspect(before, m *Member) bool {
	if before.Status != m.Status || before.Incarnation != m.Incarnation || before.Address != m.Address || len(before.Upstreams) != len(m.Upstreams) {
		return true
	}
	for i, u := range m.Upstreams {
		old := before.Upstreams[i]
		if old.Suspect = u.Suspect; old != u {
			return true
		}
	}
	return false
}

// enqueue queues the record of the named node for all neighbours except from.
func (e *Engine) enqueue(name, from string, urgent bool) {
	e.chooseNeighbours()
	for _, n := range e.neighbours {
		n.urgent = n.urgent || urgent && n.Name != from && n.Name != name
		if n.Name != from && n.Name != name && !slices.Contains(n.pending, name) {
			n.pending = append(n.pending, name)
		}
	}
}

// merge applies the records from another node that are newer than the known ones.
func (e *Engine) merge(now time.Time, list []Member, from string) {
	for _, m := range list {
		if m.Name == e.self.Name {
			e.refute(now, m)
			continue
		}
		if old := e.members[m.Name]; old != nil && !m.Newer(&old.Member) {
			continue
		} else if old == nil && !m.live() {
			continue
		}
		e.put(now, m, from)
	}
}

// refute supersedes a newer record of this node that the node did not write itself.
func (e *Engine) refute(now time.Time, m Member) {
	if !m.Newer(&e.self.Member) {
		return
	}
	next := e.self.Member
	if m.Incarnation > next.Incarnation {
		next.Incarnation = m.Incarnation + 1
	}
	next.Seq = max(next.Seq, m.Seq) + 1
	e.put(now, next, "")
}

// Tick sends due heartbeats and queued records, declares unreachable nodes dead and removes expired records.
func (e *Engine) Tick(now time.Time) {
	e.chooseNeighbours()
	e.declareUnreachable(now)
	e.removeExpired(now)
	if e.alone() {
		e.join(now)
		return
	}
	if e.knowsTooFew() {
		e.join(now)
	}
	e.Flush(now)
	for _, m := range e.neighbours {
		if !now.Before(m.nextHeartbeat) {
			e.send(now, m)
		}
	}
	e.gossip(now)
}

// gossip occasionally sends a heartbeat to a random node, so that groups of nodes that know only each other find the rest.
func (e *Engine) gossip(now time.Time) {
	if now.Before(e.nextGossip) {
		return
	}
	e.nextGossip = now.Add(heartbeatInterval - heartbeatInterval/10 + time.Duration(e.rnd.Int64N(int64(heartbeatInterval)/5)))
	p := e.rnd.Float64()
	switch {
	case p < gossipChance:
		crossRegion := e.rnd.Float64() < crossRegionChance
		e.sendRandom(now, func(m *entry) bool { return m.live() && (crossRegion || !e.inOtherRegion(m)) })
	case p < gossipChance+deadContactChance:
		e.sendRandom(now, func(m *entry) bool { return m.Status == Dead })
	case p < gossipChance+deadContactChance+seedChance:
		e.join(now)
	}
}

// sendRandom sends a heartbeat to a random node that matches want and is not a neighbour.
func (e *Engine) sendRandom(now time.Time, want func(*entry) bool) {
	var list []*entry
	for _, m := range e.sorted() {
		if m != e.self && want(m) && !slices.Contains(e.neighbours, m) {
			list = append(list, m)
		}
	}
	if len(list) > 0 {
		e.send(now, list[e.rnd.IntN(len(list))])
	}
}

// sorted returns all entries sorted by name.
func (e *Engine) sorted() []*entry {
	list := make([]*entry, 0, len(e.members))
	for _, m := range e.members {
		list = append(list, m)
	}
	slices.SortFunc(list, func(a, b *entry) int { return compareNames(a.Name, b.Name) })
	return list
}

func (e *Engine) alone() bool {
	for _, m := range e.members {
		if m != e.self && m.live() {
			return false
		}
	}
	return true
}

// knowsTooFew reports whether the node knows far fewer live nodes than there are seeds.
// This happens when all nodes start at once and form several groups.
func (e *Engine) knowsTooFew() bool {
	live := 0
	for _, m := range e.members {
		if m != e.self && m.live() {
			live++
		}
	}
	return float64(live) < minKnownShare*float64(len(e.seeds))
}

func (e *Engine) join(now time.Time) {
	if now.Before(e.nextJoin) || len(e.seeds) == 0 {
		return
	}
	e.nextJoin = now.Add(joinInterval)
	seed := e.seeds[e.rnd.IntN(len(e.seeds))]
	if seed == e.self.Address {
		return
	}
	msg := e.newMessage()
	msg.Members = []Member{e.self.Member}
	e.out.Heartbeats = append(e.out.Heartbeats, OutgoingHeartbeat{Address: seed, Message: msg})
}

// Flush sends queued records without waiting for the next heartbeat.
func (e *Engine) Flush(now time.Time) {
	for _, m := range e.neighbours {
		if len(m.pending) > 0 && m.failures == 0 && (m.urgent || !e.inOtherRegion(m)) {
			e.send(now, m)
		}
	}
}

// inOtherRegion reports whether m is in another region. Changes of the Suspect flags, which are frequent,
// wait for the next heartbeat to such a node, so that several changes are sent as one.
func (e *Engine) inOtherRegion(m *entry) bool { return m.Region != e.self.Region }

// Heartbeat returns a heartbeat without member records, for an embedding node that has other data to send.
func (e *Engine) Heartbeat() Message { return e.newMessage() }

func (e *Engine) newMessage() Message {
	return Message{Name: e.self.Name, Incarnation: e.self.Incarnation, Digest: e.digest()}
}

// send queues a heartbeat to m for output, with the records pending for m.
func (e *Engine) send(now time.Time, m *entry) {
	interval := heartbeatInterval
	if e.inOtherRegion(m) {
		interval = crossRegionInterval
	}
	jitter := time.Duration(e.rnd.Int64N(int64(interval) / 5))
	m.nextHeartbeat = now.Add(interval - interval/10 + jitter)
	msg := e.newMessage()
	msg.Members = e.takeUpdates(m)
	e.out.Heartbeats = append(e.out.Heartbeats, OutgoingHeartbeat{Name: m.Name, Address: m.Address, Message: msg})
}

func (e *Engine) takeUpdates(m *entry) []Member {
	n := min(maxRecords, len(m.pending))
	var list []Member
	for _, name := range m.pending[:n] {
		if r := e.members[name]; r != nil {
			list = append(list, r.Member)
		}
	}
	m.pending = slices.Clone(m.pending[n:])
	m.urgent = m.urgent && len(m.pending) > 0
	return list
}

// Receive handles a heartbeat and returns the response.
func (e *Engine) Receive(now time.Time, msg Message) Message {
	e.merge(now, msg.Members, msg.Name)
	resp := e.newMessage()
	if m := e.members[msg.Name]; m != nil {
		resp.Members = e.takeUpdates(m)
	}
	if len(msg.Buckets) == bucketCount {
		resp.Members = append(resp.Members, e.differing(msg.Buckets)...)
		return resp
	}
	if msg.Digest != resp.Digest && now.Sub(e.lastChange) > settleTime || e.members[msg.Name] == nil {
		resp.Buckets = slices.Clone(e.sums[:])
	}
	if len(msg.Members) == 1 && msg.Members[0].Name == msg.Name {
		resp.Buckets = slices.Clone(e.sums[:]) // the sender is joining
	}
	return resp
}

// differing returns the records of all buckets whose sums differ from the given ones.
func (e *Engine) differing(sums []uint64) []Member {
	var list []Member
	for name, m := range e.members {
		b := bucketOf(name)
		if e.sums[b] != sums[b] {
			list = append(list, m.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return compareNames(a.Name, b.Name) })
	return list
}

// ReceiveResponse handles the response to a heartbeat, which proves that the round trip to the named node works.
func (e *Engine) ReceiveResponse(now time.Time, to OutgoingHeartbeat, resp Message) {
	if m := e.members[to.Name]; m != nil {
		if resp.Name != to.Name {
			e.declareDead(now, m) // the address now belongs to another node
		}
		m.failures, m.probeDeadline = 0, time.Time{}
		e.requestRefutation(now, m, resp)
	}
	e.merge(now, resp.Members, resp.Name)
	if len(resp.Buckets) != bucketCount || now.Sub(e.lastSync) < syncInterval || resp.Digest == e.digest() {
		return
	}
	e.lastSync = now
	msg := e.newMessage()
	msg.Buckets = slices.Clone(e.sums[:])
	msg.Members = e.differing(resp.Buckets)
	e.out.Heartbeats = append(e.out.Heartbeats, OutgoingHeartbeat{Name: resp.Name, Address: to.Address, Message: msg})
}

// requestRefutation sends a node that responds although it is recorded as dead that record, so that the node refutes it.
func (e *Engine) requestRefutation(now time.Time, m *entry, resp Message) {
	if m.Status != Dead || resp.Name != m.Name || resp.Incarnation < m.Incarnation {
		return
	}
	msg := e.newMessage()
	msg.Members = []Member{m.Member, e.self.Member}
	e.lastSync = now
	e.out.Heartbeats = append(e.out.Heartbeats, OutgoingHeartbeat{Name: m.Name, Address: m.Address, Message: msg})
}
