package quota_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jasminevane/jasminevane/quota"
)

// Times of the model. Nodes learn of deaths and returns within the bounds that the fleet's membership keeps.
const (
	modelPatience = 80 * time.Millisecond
	modelWait     = 160 * time.Millisecond
	relayPatience = 50 * time.Millisecond
	callTimeout   = 400 * time.Millisecond
	tickInterval  = 100 * time.Millisecond
	minDetection  = 700 * time.Millisecond
	maxDetection  = 4500 * time.Millisecond
	maxReturn     = time.Second // time within which all nodes know that a node runs again
)

// modelEvent is something that happens at a time. It is dropped if its process has ended, and delayed while it is frozen.
type modelEvent struct {
	at   time.Time
	seq  int
	proc *modelProcess
	run  func()
}

type eventQueue []modelEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(modelEvent)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}

// modelProcess is one process of a node. Its limiter and allocator run the code under test.
type modelProcess struct {
	index       int
	name        string
	fleet       *quota.Fleet
	limiter     *quota.Limiter
	allocator   *quota.Allocator
	limit       quota.Limit // in force at this node
	frozenUntil time.Time
	ended       bool
}

// model is a fleet in virtual time with one caller.
type model struct {
	rnd      *rand.Rand
	now      time.Time
	rule     quota.Rule
	limit    quota.Limit
	nodes    []*modelProcess // nil while a node does not run
	zones    int
	cut      [][]bool // whether messages between two nodes are lost
	events   eventQueue
	seq      int
	demand   func(i int) float64 // requests a second at node i
	admitted []time.Time
	arrived  []time.Time
	calls    int // calls between nodes
}

func newModel(rnd *rand.Rand, nodes, zones int, rule quota.Rule, limit quota.Limit) *model {
	m := &model{rnd: rnd, now: epoch, rule: rule, limit: limit, zones: zones, nodes: make([]*modelProcess, nodes), cut: make([][]bool, nodes)}
	for i := range nodes {
		m.cut[i] = make([]bool, nodes)
	}
	for i := range nodes {
		m.start(i)
		m.arrive(i)
	}
	return m
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

func nodeIndex(name string) int {
	i, _ := strconv.Atoi(name[1:])
	return i
}

func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rnd.Int64N(int64(high-low)))
}

// after runs f after d, at the process or, with nil, at none.
func (m *model) after(d time.Duration, p *modelProcess, f func()) {
	m.seq++
	heap.Push(&m.events, modelEvent{at: m.now.Add(d), seq: m.seq, proc: p, run: f})
}

func (m *model) run(until time.Duration) {
	for end := epoch.Add(until); len(m.events) > 0 && m.events[0].at.Before(end); {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		switch {
		case e.proc == nil:
			e.run()
		case e.proc.ended:
		case m.now.Before(e.proc.frozenUntil):
			m.after(e.proc.frozenUntil.Sub(m.now), e.proc, e.run)
		default:
			e.run()
		}
	}
}

// start starts a process of the node. It reads the directory, and meets the nodes that it can reach.
func (m *model) start(i int) {
	p := &modelProcess{index: i, name: nodeName(i), limit: m.limit}
	p.fleet = quota.NewFleet(m.now, p.name)
	p.limiter, p.allocator = quota.NewLimiter(p.fleet), quota.NewAllocator(m.now, p.fleet, m.rule)
	m.nodes[i] = p
	m.after(m.between(10*time.Millisecond, 100*time.Millisecond), p, func() {
		for j := range m.nodes {
			p.fleet.Learn(m.now, nodeName(j))
		}
	})
	m.after(m.between(100*time.Millisecond, 300*time.Millisecond), p, func() { p.fleet.Complete(m.now) })
	for j, other := range m.nodes {
		if other != nil && j != i && !m.cut[i][j] {
			m.meet(p, other)
			m.meet(other, p)
		}
	}
	m.tick(p)
}

// meet lets a process learn, after a while, that another one runs.
func (m *model) meet(p, other *modelProcess) {
	m.after(m.between(50*time.Millisecond, maxReturn), p, func() { m.see(p, other.index) })
}

// see sets the status of a node in the view of a process to what it can observe now.
func (m *model) see(p *modelProcess, j int) {
	other := m.nodes[j]
	if other == nil || m.cut[p.index][j] || m.now.Before(other.frozenUntil) {
		p.fleet.Update(m.now, nodeName(j), quota.Dead)
		return
	}
	p.fleet.Update(m.now, nodeName(j), quota.Live)
}

// lose lets all others learn, each at its time, that a node no longer answers, if that is still so then.
func (m *model) lose(j int) {
	for i, p := range m.nodes {
		if p != nil && i != j {
			m.after(m.between(minDetection, maxDetection), p, func() { m.see(p, j) })
		}
	}
}

func (m *model) kill(i int) {
	if m.nodes[i] != nil {
		m.nodes[i].ended = true
		m.nodes[i] = nil
		m.lose(i)
	}
}

// leave stops a node gracefully.
func (m *model) leave(i int) {
	p := m.nodes[i]
	if p == nil {
		return
	}
	p.fleet.Update(m.now, p.name, quota.Leaving)
	tell := func(other *modelProcess, status quota.Status) {
		if m.nodes[i] == p || m.nodes[i] == nil { // the record of a later process is newer
			other.fleet.Update(m.now, p.name, status)
		}
	}
	for _, other := range m.nodes {
		if other != nil && other != p {
			m.after(m.between(time.Millisecond, 300*time.Millisecond), other, func() { tell(other, quota.Leaving) })
			m.after(m.between(time.Second, 1500*time.Millisecond), other, func() { tell(other, quota.Left) })
		}
	}
	m.after(time.Second, nil, func() {
		if p.ended = true; m.nodes[i] == p {
			m.nodes[i] = nil
		}
	})
}

func (m *model) freeze(i int, d time.Duration) {
	p := m.nodes[i]
	if p == nil {
		return
	}
	p.frozenUntil = m.now.Add(d)
	m.lose(i)
	m.after(d, nil, func() { m.meetAll(i) })
}

func (m *model) meetAll(i int) {
	for j, other := range m.nodes {
		if m.nodes[i] != nil && other != nil && j != i && !m.cut[i][j] {
			m.meet(other, m.nodes[i])
			m.meet(m.nodes[i], other)
		}
	}
}

// split cuts the nodes chosen by side from the others for a time.
func (m *model) split(d time.Duration, side func(i int) bool) {
	set := func(value bool) {
		for i := range m.nodes {
			for j := range m.nodes {
				if side(i) != side(j) {
					m.cut[i][j] = value
				}
			}
		}
	}
	set(true)
	for i := range m.nodes {
		for j, p := range m.nodes {
			if p != nil && side(i) != side(j) {
				m.after(m.between(minDetection, maxDetection), p, func() { m.see(p, i) })
			}
		}
	}
	m.after(d, nil, func() {
		set(false)
		for i := range m.nodes {
			m.meetAll(i)
		}
	})
}

// mistake lets a process take a live node for dead for a time.
func (m *model) mistake(i, j int, d time.Duration) {
	p := m.nodes[i]
	if p == nil || i == j {
		return
	}
	p.fleet.Update(m.now, nodeName(j), quota.Dead)
	m.after(d, p, func() { m.see(p, j) })
}

// setLimit puts another limit in force, at each node after a while.
func (m *model) setLimit(l quota.Limit) {
	m.limit = l
	for _, p := range m.nodes {
		if p != nil {
			m.after(m.between(0, time.Second), p, func() { p.limit = l })
		}
	}
}

func (m *model) tick(p *modelProcess) {
	m.after(tickInterval, p, func() {
		m.tick(p)
		p.allocator.Tick(m.now)
		for _, c := range p.limiter.Tick(m.now) {
			m.call(p, c)
		}
	})
}

// arrive draws the requests of the caller at node i.
func (m *model) arrive(i int) {
	gap := 100 * time.Millisecond
	if m.demand != nil && m.demand(i) > 0 {
		gap = min(gap, time.Duration(m.rnd.ExpFloat64()/m.demand(i)*float64(time.Second)))
		if gap < 100*time.Millisecond { // an exponential distribution has no memory: longer gaps are drawn again
			m.after(gap, nil, func() { m.request(i) })
		}
	}
	m.after(gap, nil, func() { m.arrive(i) })
}

// request is one request at a node; those at a node that doesn't run are lost outside the fleet.
func (m *model) request(i int) {
	p := m.nodes[i]
	if p == nil || m.now.Before(p.frozenUntil) {
		return
	}
	m.arrived = append(m.arrived, m.now)
	v, c := p.limiter.Admit(m.now, "c", p.limit)
	m.decide(v)
	if v.Decision == quota.Waiting {
		m.after(modelWait, p, func() { p.limiter.Cancel(m.now, "c", v.Ticket) })
	}
	m.call(p, c)
}

func (m *model) decide(v quota.Verdict) {
	if v.Decision.Admitted() {
		m.admitted = append(m.admitted, m.now)
	}
}

func (m *model) apply(p *modelProcess, out quota.Output) {
	for _, v := range out.Verdicts {
		m.decide(v)
	}
	m.call(p, out.Call)
}

func (m *model) call(p *modelProcess, c *quota.Call) {
	if c == nil {
		return
	}
	m.after(modelPatience, p, func() { m.apply(p, p.limiter.Late(m.now, c)) })
	m.send(p, c.To, c.Ask, func(g quota.Grant, ok bool) {
		if !ok {
			m.apply(p, p.limiter.Failed(m.now, c))
			return
		}
		m.apply(p, p.limiter.Answered(m.now, c, g))
	})
}

// send sends a message to a node, or to the process itself, and calls done at the process with the answer.
func (m *model) send(p *modelProcess, to string, ask quota.Ask, done func(quota.Grant, bool)) {
	answered := false
	finish := func(g quota.Grant, ok bool) {
		if !answered {
			answered = true
			done(g, ok)
		}
	}
	if to == p.name {
		m.allot(p, ask, func(g quota.Grant) { finish(g, true) })
		return
	}
	m.calls++
	m.after(callTimeout, p, func() { finish(quota.Grant{}, false) })
	target := nodeIndex(to)
	receiver := m.nodes[target]
	if receiver == nil || m.cut[p.index][target] {
		return
	}
	m.after(m.latency(p.index, target), receiver, func() {
		m.allot(receiver, ask, func(g quota.Grant) {
			if !m.cut[p.index][target] {
				m.after(m.latency(p.index, target), p, func() { finish(g, true) })
			}
		})
	})
}

func (m *model) latency(i, j int) time.Duration {
	if i%m.zones == j%m.zones {
		return m.between(200*time.Microsecond, 2*time.Millisecond)
	}
	return m.between(time.Millisecond, 9*time.Millisecond)
}

// allot answers a message at a process.
func (m *model) allot(p *modelProcess, ask quota.Ask, reply func(quota.Grant)) {
	to := p.allocator.Relay(m.now, ask)
	if to == "" {
		reply(p.allocator.Answer(m.now, ask, p.limit))
		return
	}
	replied := false
	alone := func() {
		if !replied {
			replied = true
			p.allocator.Relayed(m.now, ask, to, false)
			reply(p.allocator.Answer(m.now, ask, p.limit))
		}
	}
	m.after(relayPatience, p, alone)
	relayed := ask
	relayed.Relayed = true
	m.send(p, to, relayed, func(g quota.Grant, ok bool) {
		if !ok {
			alone()
			return
		}
		if !replied {
			replied = true
			p.allocator.Relayed(m.now, ask, to, true)
			reply(g)
		}
	})
}
