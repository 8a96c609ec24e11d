package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Intervals and bounds of the protocol.
const (
	heartbeat    = time.Second             // interval between heartbeats to one neighbour
	farHeartbeat = 1500 * time.Millisecond // the same to one in another region
	farMix       = 0.1                     // share of the random heartbeats that may go to another region
	joinInterval = 300 * time.Millisecond  // interval between attempts to join through a seed
	syncInterval = 500 * time.Millisecond  // least interval between comparisons of whole views
	settle       = 800 * time.Millisecond  // time for which a fresh change explains a difference of views
	probers      = 2                       // nodes asked to try a node that did not answer
	probeWait    = 700 * time.Millisecond  // time for the answers of those nodes
	misses       = 2                       // failed round trips in a row before a node may be dead
	forgetAfter  = 10 * time.Minute        // time for which a lost node is remembered
	mixChance    = 0.25                    // chance of a heartbeat to any other live node in an interval
	reviveChance = 0.2                     // chance of one to a node that is held for dead
	shortShare   = 0.75                    // share of the seeds below which the live nodes known are too few
	seedChance   = 0.05                    // chance of one to a seed
	maxNews      = 64                      // records in one message outside a comparison of views
	relays       = 2                       // nodes of a data centre that speak to the others
	pathHold     = 3 * time.Second         // time for which a one-way cut spares a node from being declared dead
)

// Message is a heartbeat or its answer.
type Message struct {
	Name        string
	Incarnation uint64
	Digest      uint64
	Buckets     []uint64
	Members     []Member
}

// Send is a heartbeat to be sent to an address; Name is empty while the node there is not known.
type Send struct {
	Name    string
	Address string
	Message Message
}

// Probe is a request to the node Via to try the node Name.
type Probe struct {
	Via, ViaAddress string
	Name, Address   string
}

// Change is a new record of a node, with the record it replaced.
type Change struct {
	Old, New Member
}

// Output is what the shell has to carry out.
type Output struct {
	Sends   []Send
	Probes  []Probe
	Changes []Change
}

type entry struct {
	Member
	since   time.Time // time of the last change
	misses  int
	due     time.Time // next heartbeat to this node
	probing time.Time // end of the wait for the answers of other nodes
	spared  time.Time // time until which another node's word keeps it from being dead
	outbox  []string  // names whose records it has not been sent
	urgent  bool      // the outbox does not wait for the next heartbeat, however far the node is
}

// Engine is the view of one node.
type Engine struct {
	self    *entry
	seeds   []string
	rnd     *rand.Rand
	members map[string]*entry
	sums    [buckets]uint64
	changed time.Time
	synced  time.Time
	joined  time.Time
	mixed   time.Time
	near    []*entry // neighbours that get heartbeats and news
	stale   bool     // near must be chosen again
	out     Output
}

// New returns the view of a node that knows only itself and the addresses of some seeds.
func New(now time.Time, self Member, seeds []string, rnd *rand.Rand) *Engine {
	self.Status = Alive
	self.Seq = max(1, self.Seq)
	e := &Engine{seeds: seeds, rnd: rnd, members: make(map[string]*entry), changed: now}
	e.self = &entry{Member: self, since: now}
	e.members[self.Name] = e.self
	e.toggle(e.self)
	e.stale = true
	return e
}

// SetSeeds replaces the addresses through which the node joins.
func (e *Engine) SetSeeds(seeds []string) { e.seeds = seeds }

// toggle adds the record to the sums or takes it out; lost nodes do not count.
func (e *Engine) toggle(m *entry) {
	if m.live() {
		e.sums[bucket(m.Name)] ^= m.sum()
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

// Digest returns a sum over all live records, equal on nodes with equal views.
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

// Take returns and clears what the shell has to carry out.
func (e *Engine) Take() Output {
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

// SetStatus announces that the node leaves or has left.
func (e *Engine) SetStatus(now time.Time, s Status) {
	next := e.self.Member
	next.Status = s
	next.Seq++
	e.put(now, next, "")
}

// put stores a record that is newer than the one known and queues it for the neighbours but from.
func (e *Engine) put(now time.Time, m Member, from string) {
	old := e.members[m.Name]
	var before Member
	if old == nil {
		old = &entry{due: now}
		e.members[m.Name] = old
		e.stale = true
	} else {
		before = old.Member
		e.toggle(old)
		e.stale = e.stale || old.live() != m.live() || old.Address != m.Address
		if m.Incarnation != old.Incarnation || m.Address != old.Address {
			old.misses, old.probing = 0, time.Time{}
		}
	}
	old.Member, old.since = m, now
	e.toggle(old)
	e.changed = now
	e.out.Changes = append(e.out.Changes, Change{Old: before, New: m})
	e.spread(m.Name, from, lasting(&before, &m))
}

// lasting reports whether a record differs from the one before by more than suspicions.
func lasting(before, m *Member) bool {
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

// spread queues the record of the named node for the neighbours but from.
func (e *Engine) spread(name, from string, urgent bool) {
	e.choose()
	for _, n := range e.near {
		n.urgent = n.urgent || urgent && n.Name != from && n.Name != name
		if n.Name != from && n.Name != name && !slices.Contains(n.outbox, name) {
			n.outbox = append(n.outbox, name)
		}
	}
}

// merge takes records from another node; it reports whether any was new.
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

// refute answers a record of this node that the node did not write.
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

// Tick sends the heartbeats and news that are due and declares nodes dead whose time is over.
func (e *Engine) Tick(now time.Time) {
	e.choose()
	e.judge(now)
	e.forget(now)
	if e.alone() {
		e.join(now)
		return
	}
	if e.short() {
		e.join(now)
	}
	e.Flush(now)
	for _, m := range e.near {
		if !now.Before(m.due) {
			e.send(now, m)
		}
	}
	e.mix(now)
}

// mix sends now and then a heartbeat to a random node, so that groups of nodes that know only each other find the rest.
func (e *Engine) mix(now time.Time) {
	if now.Before(e.mixed) {
		return
	}
	e.mixed = now.Add(heartbeat - heartbeat/10 + time.Duration(e.rnd.Int64N(int64(heartbeat)/5)))
	p := e.rnd.Float64()
	switch {
	case p < mixChance:
		far := e.rnd.Float64() < farMix
		e.sendRandom(now, func(m *entry) bool { return m.live() && (far || !e.far(m)) })
	case p < mixChance+reviveChance:
		e.sendRandom(now, func(m *entry) bool { return m.Status == Dead })
	case p < mixChance+reviveChance+seedChance:
		e.join(now)
	}
}

// sendRandom sends a heartbeat to a random node that is no neighbour.
func (e *Engine) sendRandom(now time.Time, want func(*entry) bool) {
	var list []*entry
	for _, m := range e.sorted() {
		if m != e.self && want(m) && !slices.Contains(e.near, m) {
			list = append(list, m)
		}
	}
	if len(list) > 0 {
		e.send(now, list[e.rnd.IntN(len(list))])
	}
}

// sorted returns all entries in order of their names.
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

// short reports whether the node knows far fewer live nodes than there are seeds, as in one of several groups that formed when all started at once.
func (e *Engine) short() bool {
	live := 0
	for _, m := range e.members {
		if m != e.self && m.live() {
			live++
		}
	}
	return float64(live) < shortShare*float64(len(e.seeds))
}

func (e *Engine) join(now time.Time) {
	if now.Before(e.joined) || len(e.seeds) == 0 {
		return
	}
	e.joined = now.Add(joinInterval)
	seed := e.seeds[e.rnd.IntN(len(e.seeds))]
	if seed == e.self.Address {
		return
	}
	msg := e.message()
	msg.Members = []Member{e.self.Member}
	e.out.Sends = append(e.out.Sends, Send{Address: seed, Message: msg})
}

// Flush sends queued news without waiting for the next heartbeat.
func (e *Engine) Flush(now time.Time) {
	for _, m := range e.near {
		if len(m.outbox) > 0 && m.misses == 0 && (m.urgent || !e.far(m)) {
			e.send(now, m)
		}
	}
}

// far reports whether the node is in another region, to which news of suspicions waits for the next heartbeat so that what changes often is sent once.
func (e *Engine) far(m *entry) bool { return m.Region != e.self.Region }

// Heartbeat returns a heartbeat without news of members, for a shell that has news of its own.
func (e *Engine) Heartbeat() Message { return e.message() }

func (e *Engine) message() Message {
	return Message{Name: e.self.Name, Incarnation: e.self.Incarnation, Digest: e.digest()}
}

// send sends one heartbeat to m with the news queued for it.
func (e *Engine) send(now time.Time, m *entry) {
	interval := heartbeat
	if e.far(m) {
		interval = farHeartbeat
	}
	jitter := time.Duration(e.rnd.Int64N(int64(interval) / 5))
	m.due = now.Add(interval - interval/10 + jitter)
	msg := e.message()
	msg.Members = e.news(m)
	e.out.Sends = append(e.out.Sends, Send{Name: m.Name, Address: m.Address, Message: msg})
}

func (e *Engine) news(m *entry) []Member {
	n := min(maxNews, len(m.outbox))
	var list []Member
	for _, name := range m.outbox[:n] {
		if r := e.members[name]; r != nil {
			list = append(list, r.Member)
		}
	}
	m.outbox = slices.Clone(m.outbox[n:])
	m.urgent = m.urgent && len(m.outbox) > 0
	return list
}

// Receive takes a heartbeat and returns the answer.
func (e *Engine) Receive(now time.Time, msg Message) Message {
	e.merge(now, msg.Members, msg.Name)
	ans := e.message()
	if m := e.members[msg.Name]; m != nil {
		ans.Members = e.news(m)
	}
	if len(msg.Buckets) == buckets {
		ans.Members = append(ans.Members, e.differing(msg.Buckets)...)
		return ans
	}
	if msg.Digest != ans.Digest && now.Sub(e.changed) > settle || e.members[msg.Name] == nil {
		ans.Buckets = slices.Clone(e.sums[:])
	}
	if len(msg.Members) == 1 && msg.Members[0].Name == msg.Name {
		ans.Buckets = slices.Clone(e.sums[:]) // a node that joins
	}
	return ans
}

// differing returns the records of all parts whose sum is not the other node's.
func (e *Engine) differing(sums []uint64) []Member {
	var list []Member
	for name, m := range e.members {
		b := bucket(name)
		if e.sums[b] != sums[b] {
			list = append(list, m.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return compareNames(a.Name, b.Name) })
	return list
}

// ReceiveResponse takes the answer to a heartbeat, which proves the round trip to the named node.
func (e *Engine) ReceiveResponse(now time.Time, to Send, ans Message) {
	if m := e.members[to.Name]; m != nil {
		if ans.Name != to.Name {
			e.declare(now, m) // the address belongs to another node now
		}
		m.misses, m.probing = 0, time.Time{}
		e.revive(now, m, ans)
	}
	e.merge(now, ans.Members, ans.Name)
	if len(ans.Buckets) != buckets || now.Sub(e.synced) < syncInterval || ans.Digest == e.digest() {
		return
	}
	e.synced = now
	msg := e.message()
	msg.Buckets = slices.Clone(e.sums[:])
	msg.Members = e.differing(ans.Buckets)
	e.out.Sends = append(e.out.Sends, Send{Name: ans.Name, Address: to.Address, Message: msg})
}

// revive tells a node that is held for dead, and answers, so that it says that it lives.
func (e *Engine) revive(now time.Time, m *entry, ans Message) {
	if m.Status != Dead || ans.Name != m.Name || ans.Incarnation < m.Incarnation {
		return
	}
	msg := e.message()
	msg.Members = []Member{m.Member, e.self.Member}
	e.synced = now
	e.out.Sends = append(e.out.Sends, Send{Name: m.Name, Address: m.Address, Message: msg})
}
