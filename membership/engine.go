package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Intervals, probabilities and limits of the membership protocol.
const (
	heartbeatInterval    = time.Second             // interval between heartbeats to one neighbour
	crossRegionInterval  = 1500 * time.Millisecond // interval between heartbeats to a neighbour in another region
	crossRegionChance    = 0.1                     // probability that a random heartbeat may go to another region
	joinInterval         = 300 * time.Millisecond  // minimum interval between heartbeats to seeds
	syncInterval         = 500 * time.Millisecond  // minimum interval between full comparisons of views
	settleTime           = 800 * time.Millisecond  // time after a change of the view during which differing digests start no full comparison
	indirectProbeCount   = 2                       // number of nodes that are asked to probe a node after a failed heartbeat to it
	probeTimeout         = 700 * time.Millisecond  // timeout of indirect probes
	minFailedHeartbeats  = 2                       // minimum number of consecutive failed heartbeats before a node is declared dead
	deadRecordRetention  = 10 * time.Minute        // time for which the record of a dead or departed node is kept
	gossipChance         = 0.25                    // probability, per heartbeat interval, of a heartbeat to a random live node
	deadContactChance    = 0.2                     // probability, per heartbeat interval, of a heartbeat to a node recorded as dead
	minKnownSeedRatio    = 0.75                    // a node keeps contacting seeds while the ratio of known live nodes to seeds is lower
	seedChance           = 0.25                    // probability, per heartbeat interval, of a heartbeat to a seed at which no live node is known
	maxRecordsPerMessage = 64                      // maximum number of pending records in one message; full comparisons of views have no limit
	relaysPerDataCentre  = 2                       // number of nodes in a data centre that have neighbours in other data centres
	probeValidity        = 3 * time.Second         // time for which a successful indirect probe prevents a node from being declared dead
)

// Message is a heartbeat or the response to one.
type Message struct {
	Name        string
	Incarnation uint64
	Digest      uint64   // digest of the sender's view
	BucketSums  []uint64 // bucket sums of the sender's view; set only for a full comparison of views
	Members     []Member
}

// OutgoingHeartbeat is a heartbeat to be sent to an address. Name is empty if the name of the node there is not known yet.
type OutgoingHeartbeat struct {
	Name    string
	Address string
	Message Message
}

// IndirectProbe is a request to the node Via to probe the node Name.
type IndirectProbe struct {
	Via, ViaAddress string
	Name, Address   string
}

// MemberChange is a change of a node's record; Old is the zero Member if the node was not known before.
type MemberChange struct {
	Old, New Member
}

// Output holds the actions that the embedding node must carry out.
type Output struct {
	Heartbeats []OutgoingHeartbeat
	Probes     []IndirectProbe
	Changes    []MemberChange
}

type memberState struct {
	Member
	changedAt        time.Time // time when this node last changed the record
	failedHeartbeats int
	nextHeartbeat    time.Time // due time of the next heartbeat to the node
	probeDeadline    time.Time // deadline of the pending indirect probes; zero if there are none
	reachableUntil   time.Time // until this time the node is not declared dead, because an indirect probe reached it
	pendingRecords   []string  // names of the nodes whose records are to be sent to this node
	pendingUrgent    bool      // the pending records are sent at once, even to another region
}

// Engine is the membership state machine of one node. It does no I/O: the embedding node passes messages and the time to it.
type Engine struct {
	self            *memberState
	seeds           []string
	rnd             *rand.Rand
	members         map[string]*memberState
	bucketSums      [bucketCount]uint64
	lastChange      time.Time
	lastSync        time.Time
	nextJoin        time.Time
	nextGossip      time.Time
	neighbours      []*memberState // nodes to which this node sends regular heartbeats and new records
	neighboursStale bool           // neighbours must be chosen again before they are used
	output          Output
}

// New returns the engine of a node that knows only itself and the addresses of its seeds.
func New(now time.Time, self Member, seeds []string, rnd *rand.Rand) *Engine {
	self.Status = Alive
	self.Seq = max(1, self.Seq)
	e := &Engine{seeds: seeds, rnd: rnd, members: make(map[string]*memberState), lastChange: now}
	e.self = &memberState{Member: self, changedAt: now}
	e.members[self.Name] = e.self
	e.toggleSum(e.self)
	e.neighboursStale = true
	return e
}

// toggleSum adds a live record to the sum of its bucket, or removes it if the sum includes it. The sum is an XOR of hashes.
func (e *Engine) toggleSum(m *memberState) {
	if m.live() {
		e.bucketSums[bucketOf(m.Name)] ^= m.hash()
	}
}

func (e *Engine) digest() uint64 {
	var d uint64
	for i, s := range e.bucketSums {
		d ^= s + uint64(i)*0x9e3779b97f4a7c15
	}
	return d
}

// Self returns the node's own record.
func (e *Engine) Self() Member { return e.self.Member }

// Digest returns a hash of the versions of all live records. Nodes with equal views have equal digests.
func (e *Engine) Digest() uint64 { return e.digest() }

// Members returns all records sorted by name.
func (e *Engine) Members() []Member {
	records := make([]Member, 0, len(e.members))
	for _, m := range e.members {
		records = append(records, m.Member)
	}
	slices.SortFunc(records, func(a, b Member) int { return compareNames(a.Name, b.Name) })
	return records
}

// Member returns the record of the named node.
func (e *Engine) Member(name string) (Member, bool) {
	m, ok := e.members[name]
	if !ok {
		return Member{}, false
	}
	return m.Member, true
}

// TakeOutput returns the pending output and clears it.
func (e *Engine) TakeOutput() Output {
	output := e.output
	e.output = Output{}
	return output
}

// SetUpstreams announces the upstreams that the node serves.
func (e *Engine) SetUpstreams(now time.Time, upstreams []Upstream) {
	next := e.self.Member
	next.Upstreams = slices.Clone(upstreams)
	next.Seq++
	e.storeRecord(now, next, "")
}

// SetStatus announces the status of the node, such as that it is leaving or has left.
func (e *Engine) SetStatus(now time.Time, s Status) {
	next := e.self.Member
	next.Status = s
	next.Seq++
	e.storeRecord(now, next, "")
}

// storeRecord stores a record that is new or newer than the stored one. It queues the record for all neighbours except from.
func (e *Engine) storeRecord(now time.Time, m Member, from string) {
	state := e.members[m.Name]
	var previous Member
	if state == nil {
		state = &memberState{nextHeartbeat: now}
		e.members[m.Name] = state
		e.neighboursStale = true
	} else {
		previous = state.Member
		e.toggleSum(state)
		e.neighboursStale = e.neighboursStale || state.live() != m.live() || state.Address != m.Address
		if m.Incarnation != state.Incarnation || m.Address != state.Address {
			state.failedHeartbeats, state.probeDeadline = 0, time.Time{}
		}
	}
	state.Member, state.changedAt = m, now
	e.toggleSum(state)
	e.lastChange = now
	e.output.Changes = append(e.output.Changes, MemberChange{Old: previous, New: m})
	e.enqueue(m.Name, from, differsBeyondSuspect(&previous, &m))
}

// differsBeyondSuspect reports whether two records differ in anything other than the Suspect flags of upstreams.
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

// enqueue queues the record of the named node for all neighbours except from, the node that sent it.
func (e *Engine) enqueue(name, from string, urgent bool) {
	e.chooseNeighbours()
	for _, n := range e.neighbours {
		n.pendingUrgent = n.pendingUrgent || urgent && n.Name != from && n.Name != name
		if n.Name != from && n.Name != name && !slices.Contains(n.pendingRecords, name) {
			n.pendingRecords = append(n.pendingRecords, name)
		}
	}
}

// merge stores the records from another node that are newer than the stored ones. It ignores unknown nodes that are not live.
func (e *Engine) merge(now time.Time, records []Member, from string) {
	for _, m := range records {
		if m.Name == e.self.Name {
			e.refute(now, m)
			continue
		}
		if old := e.members[m.Name]; old != nil && !m.Newer(&old.Member) {
			continue
		} else if old == nil && !m.live() {
			continue
		}
		e.storeRecord(now, m, from)
	}
}

// refute replaces a newer record of this node that another node wrote, by a still newer one.
func (e *Engine) refute(now time.Time, m Member) {
	if !m.Newer(&e.self.Member) {
		return
	}
	next := e.self.Member
	if m.Incarnation > next.Incarnation {
		next.Incarnation = m.Incarnation + 1
	}
	next.Seq = max(next.Seq, m.Seq) + 1
	e.storeRecord(now, next, "")
}

// Tick sends due heartbeats and pending records, declares unreachable nodes dead and removes expired records.
func (e *Engine) Tick(now time.Time) {
	e.chooseNeighbours()
	e.declareUnreachable(now)
	e.removeExpired(now)
	if e.knowsNoLiveNode() {
		e.contactSeed(now)
		return
	}
	if e.knowsTooFew() {
		e.contactSeed(now)
	}
	e.Flush(now)
	for _, m := range e.neighbours {
		if !now.Before(m.nextHeartbeat) {
			e.send(now, m)
		}
	}
	e.gossip(now)
}

// gossip occasionally sends a heartbeat to a random node, so that separate groups of nodes find each other.
func (e *Engine) gossip(now time.Time) {
	if now.Before(e.nextGossip) {
		return
	}
	e.nextGossip = now.Add(heartbeatInterval - heartbeatInterval/10 + time.Duration(e.rnd.Int64N(int64(heartbeatInterval)/5)))
	p := e.rnd.Float64()
	switch {
	case p < gossipChance:
		crossRegion := e.rnd.Float64() < crossRegionChance
		e.sendRandom(now, func(m *memberState) bool { return m.live() && (crossRegion || !e.inOtherRegion(m)) })
	case p < gossipChance+deadContactChance:
		e.sendRandom(now, func(m *memberState) bool { return m.Status == Dead })
	case p < gossipChance+deadContactChance+seedChance:
		e.contactSeed(now)
	}
}

// sendRandom sends a heartbeat to a random node for which match returns true and which is not a neighbour.
func (e *Engine) sendRandom(now time.Time, match func(*memberState) bool) {
	var candidates []*memberState
	for _, m := range e.sortedMembers() {
		if m != e.self && match(m) && !slices.Contains(e.neighbours, m) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) > 0 {
		e.send(now, candidates[e.rnd.IntN(len(candidates))])
	}
}

// sortedMembers returns the states of all members sorted by name.
func (e *Engine) sortedMembers() []*memberState {
	states := make([]*memberState, 0, len(e.members))
	for _, m := range e.members {
		states = append(states, m)
	}
	slices.SortFunc(states, func(a, b *memberState) int { return compareNames(a.Name, b.Name) })
	return states
}

func (e *Engine) knowsNoLiveNode() bool {
	for _, m := range e.members {
		if m != e.self && m.live() {
			return false
		}
	}
	return true
}

// knowsTooFew reports whether the node knows far fewer live nodes than there are seeds.
// This happens when all nodes start at once and form separate groups.
func (e *Engine) knowsTooFew() bool {
	live := 0
	for _, m := range e.members {
		if m != e.self && m.live() {
			live++
		}
	}
	return float64(live) < minKnownSeedRatio*float64(len(e.seeds))
}

// Flush sends pending records without waiting for the next heartbeat, except to other regions if they are not urgent.
func (e *Engine) Flush(now time.Time) {
	for _, m := range e.neighbours {
		if len(m.pendingRecords) > 0 && m.failedHeartbeats == 0 && (m.pendingUrgent || !e.inOtherRegion(m)) {
			e.send(now, m)
		}
	}
}

// inOtherRegion reports whether m is in another region than this node. Changes of Suspect flags are frequent, so they are
// sent to such a node only with the next heartbeat, several at a time.
func (e *Engine) inOtherRegion(m *memberState) bool { return m.Region != e.self.Region }

// Heartbeat returns a heartbeat without member records, which the embedding node can send along with other data.
func (e *Engine) Heartbeat() Message { return e.newMessage() }

func (e *Engine) newMessage() Message {
	return Message{Name: e.self.Name, Incarnation: e.self.Incarnation, Digest: e.digest()}
}

// send adds a heartbeat to m, with the records pending for m, to the output.
func (e *Engine) send(now time.Time, m *memberState) {
	interval := heartbeatInterval
	if e.inOtherRegion(m) {
		interval = crossRegionInterval
	}
	jitter := time.Duration(e.rnd.Int64N(int64(interval) / 5))
	m.nextHeartbeat = now.Add(interval - interval/10 + jitter)
	msg := e.newMessage()
	msg.Members = e.takePendingRecords(m)
	e.output.Heartbeats = append(e.output.Heartbeats, OutgoingHeartbeat{Name: m.Name, Address: m.Address, Message: msg})
}

func (e *Engine) takePendingRecords(m *memberState) []Member {
	n := min(maxRecordsPerMessage, len(m.pendingRecords))
	var records []Member
	for _, name := range m.pendingRecords[:n] {
		if r := e.members[name]; r != nil {
			records = append(records, r.Member)
		}
	}
	m.pendingRecords = slices.Clone(m.pendingRecords[n:])
	m.pendingUrgent = m.pendingUrgent && len(m.pendingRecords) > 0
	return records
}

// ReceiveHeartbeat handles a heartbeat and returns the response.
func (e *Engine) ReceiveHeartbeat(now time.Time, msg Message) Message {
	e.merge(now, msg.Members, msg.Name)
	resp := e.newMessage()
	if m := e.members[msg.Name]; m != nil {
		resp.Members = e.takePendingRecords(m)
	}
	if len(msg.BucketSums) == bucketCount {
		resp.Members = append(resp.Members, e.recordsInDifferingBuckets(msg.BucketSums)...)
		return resp
	}
	if msg.Digest != resp.Digest && now.Sub(e.lastChange) > settleTime || e.members[msg.Name] == nil {
		resp.BucketSums = slices.Clone(e.bucketSums[:])
	}
	if len(msg.Members) == 1 && msg.Members[0].Name == msg.Name {
		resp.BucketSums = slices.Clone(e.bucketSums[:]) // the sender is joining
	}
	return resp
}

// recordsInDifferingBuckets returns the records of all buckets whose sums differ from the given sums.
func (e *Engine) recordsInDifferingBuckets(sums []uint64) []Member {
	var records []Member
	for name, m := range e.members {
		b := bucketOf(name)
		if e.bucketSums[b] != sums[b] {
			records = append(records, m.Member)
		}
	}
	slices.SortFunc(records, func(a, b Member) int { return compareNames(a.Name, b.Name) })
	return records
}

// ReceiveResponse handles the response to a heartbeat. The response proves that the round trip to the named node works.
func (e *Engine) ReceiveResponse(now time.Time, heartbeat OutgoingHeartbeat, resp Message) {
	if m := e.members[heartbeat.Name]; m != nil {
		if resp.Name != heartbeat.Name {
			e.declareDead(now, m) // another node now has this address
		}
		m.failedHeartbeats, m.probeDeadline = 0, time.Time{}
		e.requestRefutation(now, m, resp)
	}
	e.merge(now, resp.Members, resp.Name)
	if len(resp.BucketSums) != bucketCount || now.Sub(e.lastSync) < syncInterval || resp.Digest == e.digest() {
		return
	}
	e.lastSync = now
	msg := e.newMessage()
	msg.BucketSums = slices.Clone(e.bucketSums[:])
	msg.Members = e.recordsInDifferingBuckets(resp.BucketSums)
	e.output.Heartbeats = append(e.output.Heartbeats, OutgoingHeartbeat{Name: resp.Name, Address: heartbeat.Address, Message: msg})
}

// requestRefutation handles a response from a node that is recorded as dead: it sends the node that record, so that the node refutes it.
func (e *Engine) requestRefutation(now time.Time, m *memberState, resp Message) {
	if m.Status != Dead || resp.Name != m.Name || resp.Incarnation < m.Incarnation {
		return
	}
	msg := e.newMessage()
	msg.Members = []Member{m.Member, e.self.Member}
	e.lastSync = now
	e.output.Heartbeats = append(e.output.Heartbeats, OutgoingHeartbeat{Name: m.Name, Address: m.Address, Message: msg})
}
