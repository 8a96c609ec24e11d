package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Intervals, probabilities and limits of the membership protocol.
const (
	heartbeatInterval   = time.Second             // interval between heartbeats to one neighbour
	crossRegionInterval = 1500 * time.Millisecond // interval between heartbeats to a neighbour in another region
	crossRegionChance   = 0.1                     // probability that a random heartbeat may go to another region
	joinInterval        = 300 * time.Millisecond  // minimum interval between heartbeats to seeds
	syncInterval        = 500 * time.Millisecond  // minimum interval between full comparisons of views
	settleTime          = 300 * time.Millisecond  // time after a change of the view during which differing digests start no full comparison
	indirectProbeCount  = 2                       // number of nodes that are asked to probe a node after a failed heartbeat to it
	probeTimeout        = 700 * time.Millisecond  // timeout of indirect probes
	minFailedHeartbeats = 2                       // minimum number of consecutive failed heartbeats before a node is declared dead
	deadRecordRetention = 10 * time.Minute        // time for which the record of a dead or departed node is kept
	expiryInterval      = time.Second             // interval between searches for records to remove
	gossipChance        = 0.25                    // probability, per heartbeat interval, of a heartbeat to a random live node
	deadContactChance   = 0.2                     // probability, per heartbeat interval, of a heartbeat to a node recorded as dead
	minKnownSeedRatio   = 0.75                    // a node keeps contacting seeds while the ratio of known live nodes to seeds is lower
	seedChance          = 0.25                    // probability, per heartbeat interval, of a heartbeat to a seed at which no live node is known
	relaysPerDataCentre = 2                       // number of nodes in a data centre that have neighbours in other data centres
	probeValidity       = 3 * time.Second         // time for which a successful indirect probe prevents a node from being declared dead
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
	Recalled   []Departure // departures that earlier processes of this node acknowledged
	Removed    []string    // names of the nodes whose records were removed, long after they died or left
}

type memberState struct {
	Member
	own              bool      // the record of this node
	position         uint64    // hash of the name, the node's position in the ring of its data centre
	sentAt           time.Time // time of the last heartbeat to the node
	changedAt        time.Time // time when this node last changed the record
	failedHeartbeats int
	nextHeartbeat    time.Time   // due time of the next heartbeat to the node
	probeDeadline    time.Time   // deadline of the pending indirect probes; zero if there are none
	reachableUntil   time.Time   // until this time the node is not declared dead, because an indirect probe reached it
	pendingRecords   []string    // names of the nodes whose records are to be sent to this node
	owed             []Departure // departures that earlier processes of the node acknowledged and that it must be told of
	owedUntil        time.Time   // until then it is told of them
}

// inRing reports whether the node is in the ring of its data centre; this node always is.
func (m *memberState) inRing() bool { return m.live() || m.own }

// Engine is the membership state machine of one node. It does no I/O: the embedding node passes messages and the time to it.
type Engine struct {
	self            *memberState
	seeds           []string
	rnd             *rand.Rand
	index           index
	bucketSums      [bucketCount]uint64
	lastChange      time.Time
	lastSync        time.Time
	nextJoin        time.Time
	nextGossip      time.Time
	nextExpiry      time.Time
	neighbours      []*memberState // nodes to which this node sends regular heartbeats and new records
	neighboursStale bool           // neighbours must be chosen again before they are used
	waiting         []*memberState // nodes to which records are pending
	confirmedSeq    uint64         // newest sequence number of this node's record that another node has received
	output          Output
}

// New returns the engine of a node that knows only itself and the addresses of its seeds.
func New(now time.Time, self Member, seeds []string, rnd *rand.Rand) *Engine {
	self.Status = Alive
	self.Seq = max(1, self.Seq)
	e := &Engine{seeds: seeds, rnd: rnd, index: newIndex(), lastChange: now}
	e.self = &memberState{Member: self, own: true, changedAt: now}
	e.index.add(e.self)
	e.toggleSum(e.self)
	e.neighboursStale = true
	return e
}

// toggleSum adds a live record to the sum of its bucket, or removes it if the sum includes it. The sum is an XOR of hashes.
func (e *Engine) toggleSum(m *memberState) {
	if m.live() {
		e.bucketSums[bucketOf(m.position)] ^= m.hash()
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
	records := make([]Member, len(e.index.sorted))
	for i, m := range e.index.sorted {
		records[i] = m.Member
	}
	return records
}

// Member returns the record of the named node.
func (e *Engine) Member(name string) (Member, bool) {
	m, ok := e.index.byName[name]
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

// SetUpstreams announces the upstreams that the node serves, and those that have left it.
func (e *Engine) SetUpstreams(now time.Time, upstreams []Upstream, departures []Departure) {
	next := e.self.Member
	next.Upstreams, next.Departures = slices.Clone(upstreams), slices.Clone(departures)
	switch {
	case slices.Equal(next.Upstreams, e.self.Upstreams) && slices.Equal(next.Departures, e.self.Departures):
		return
	case next.sameButHealth(&e.self.Member):
		next.HealthSeq++
	default:
		next.Seq, next.HealthSeq = next.Seq+1, 0
	}
	e.storeRecord(now, next, "")
}

// SetStatus announces the status of the node, such as that it is leaving or has left.
func (e *Engine) SetStatus(now time.Time, s Status) {
	next := e.self.Member
	next.Status = s
	next.Seq++
	e.storeRecord(now, next, "")
}

// storeRecord stores a record that is new or newer than the stored one. It queues the record for all neighbours except from. A record
// in which only the health of upstreams changed is queued by the node that writes it, for those that it concerns.
func (e *Engine) storeRecord(now time.Time, m Member, from string) {
	state := e.index.byName[m.Name]
	var previous Member
	healthOnly := false
	if state == nil {
		state = &memberState{Member: m, nextHeartbeat: now}
		e.index.add(state)
		e.neighboursStale = true
	} else {
		previous = state.Member
		healthOnly = m.sameButHealth(&previous)
		e.toggleSum(state)
		e.neighboursStale = e.neighboursStale || state.live() != m.live() || state.Address != m.Address || state.DataCentre != m.DataCentre
		if m.Incarnation != state.Incarnation || m.Address != state.Address {
			state.failedHeartbeats, state.probeDeadline = 0, time.Time{}
		}
		state.updateOwed(now, &m)
		e.index.replace(state, m)
	}
	e.toggleSum(state)
	e.output.Changes = append(e.output.Changes, MemberChange{Old: previous, New: m})
	switch {
	case !healthOnly:
		state.changedAt, e.lastChange = now, now
		e.chooseNeighbours()
		e.enqueue(m.Name, from, e.neighbours)
		e.tellOwed(now, state)
	case state == e.self:
		e.enqueue(m.Name, "", e.healthAudience())
	}
}

// merge stores the records from another node that are newer than the stored ones. It ignores unknown nodes that are not live.
func (e *Engine) merge(now time.Time, records []Member, from string) {
	for _, m := range records {
		if m.Name == e.self.Name {
			e.recall(m)
			e.refute(now, m)
			continue
		}
		if old := e.index.byName[m.Name]; old != nil && !m.Newer(&old.Member) {
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
	next.Seq, next.HealthSeq = max(next.Seq, m.Seq)+1, 0
	e.storeRecord(now, next, "")
}

// Tick sends due heartbeats and pending records, declares unreachable nodes dead and removes expired records.
func (e *Engine) Tick(now time.Time) {
	e.chooseNeighbours()
	e.declareUnreachable(now)
	e.removeExpired(now)
	others := e.index.live
	if e.self.live() {
		others--
	}
	if float64(others) < minKnownSeedRatio*float64(len(e.seeds)) || others == 0 {
		e.contactSeed(now)
	}
	if others == 0 {
		return
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
	for _, m := range e.index.sorted {
		if m != e.self && match(m) && !slices.Contains(e.neighbours, m) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) > 0 {
		e.send(now, candidates[e.rnd.IntN(len(candidates))])
	}
}

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
	m.nextHeartbeat, m.sentAt = now.Add(interval-interval/10+jitter), now
	msg := e.newMessage()
	msg.Members = m.appendOwed(now, e.takePendingRecords(m))
	e.output.Heartbeats = append(e.output.Heartbeats, OutgoingHeartbeat{Name: m.Name, Address: m.Address, Message: msg})
}

// ReceiveHeartbeat handles a heartbeat and returns the response.
func (e *Engine) ReceiveHeartbeat(now time.Time, msg Message) Message {
	e.merge(now, msg.Members, msg.Name)
	resp := e.newMessage()
	if m := e.index.byName[msg.Name]; m != nil {
		resp.Members = m.appendOwed(now, e.takePendingRecords(m))
	}
	if len(msg.BucketSums) == bucketCount {
		resp.Members = append(resp.Members, e.recordsInDifferingBuckets(msg.BucketSums)...)
		return resp
	}
	if msg.Digest != resp.Digest && now.Sub(e.lastChange) > settleTime || e.index.byName[msg.Name] == nil {
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
	for _, m := range e.index.sorted {
		b := bucketOf(m.position)
		if e.bucketSums[b] != sums[b] {
			records = append(records, m.Member)
		}
	}
	return records
}

// ReceiveResponse handles the response to a heartbeat. The response proves that the round trip to the named node works.
func (e *Engine) ReceiveResponse(now time.Time, heartbeat OutgoingHeartbeat, resp Message) {
	if m := e.index.byName[heartbeat.Name]; m != nil {
		if resp.Name != heartbeat.Name {
			e.declareDead(now, m) // another node now has this address
		}
		m.failedHeartbeats, m.probeDeadline = 0, time.Time{}
		e.requestRefutation(now, m, resp)
	}
	e.recordConfirmation(heartbeat.Message.Members)
	e.merge(now, resp.Members, resp.Name)
	if m := e.index.byName[resp.Name]; m != nil && resp.Digest != e.digest() && m.nextHeartbeat.After(now.Add(settleTime)) {
		m.nextHeartbeat = now.Add(settleTime) // compare the views again soon
	}
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
