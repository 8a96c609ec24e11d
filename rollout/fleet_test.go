package rollout_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/jasminevane/jasminevane/rollout"
)

// Timing of the simulated fleet.
const (
	step          = 10 * time.Millisecond  // of the simulated time
	callTime      = 20 * time.Millisecond  // time of an answered call
	probeTimeout  = 2 * time.Second        // time after which TCP closes the connection of a read that is cut off
	failedPause   = 300 * time.Millisecond // time from the start of a failed read to the next, doubled with each one up to longestPause
	longestPause  = 1200 * time.Millisecond
	shortestPause = 100 * time.Millisecond // pause after a failed read that took longer than that
	newsPause     = 400 * time.Millisecond // pause after a read with new versions
	lostPause     = 100 * time.Millisecond // longest pause after a read at a position that the log has deleted
	readerTick    = 100 * time.Millisecond // interval between checks of whether a node is to read
	firstTick     = 20 * time.Millisecond  // the same as long as the node has no version
	callLimit     = time.Second            // for an answer of the store, not counting the hold, by the settings
	beatInterval  = time.Second            // interval between heartbeats to one neighbour
	restartTime   = 500 * time.Millisecond // time until a node that lost power starts again
	settledWindow = 3 * time.Second        // time without a fault after which the bound holds for a node
)

// simNode is a node of a simulated data centre that reads versions from a log service, or relies on one that does.
type simNode struct {
	name                   string
	index                  int
	reader                 *rollout.Reader
	catchUp                rollout.CatchUp
	version                int
	peers                  map[string]int  // versions that other nodes told of, by name
	cutFrom                map[string]bool // nodes whose answers don't arrive
	cutStore               bool            // its reads get no answer
	silences               int             // how often its open connections to the store have gone silent for good, of which TCP tells nothing
	unanswered             int             // number of its next reads that get no answer, such as while the store drops new connections
	refused                bool            // the store refuses its reads
	down                   bool
	frozen                 time.Time // the node stands still until then
	settled                time.Time // the last fault of the node ended then
	cutUntil, refusedUntil time.Time // ends of drawn faults of the store, which may overlap
	life                   int       // counts the starts
	calls                  int       // to the store
	failures               int       // reads that failed in a row
	position               int       // version up to which it has read the log by itself, or 0 if it must ask for the newest one
	reading                bool
	nextRead               time.Time
	nextBeat               time.Time
}

// simMessage is an event at a time; it waits while the node is frozen and is lost if the node has ended.
type simMessage struct {
	at   time.Time
	seq  int // orders messages of the same time
	to   *simNode
	life int
	act  func()
}

// simQueue is a heap of messages.
type simQueue []simMessage

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq
}
func (q simQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *simQueue) Push(m any)   { *q = append(*q, m.(simMessage)) }
func (q *simQueue) Pop() any {
	last := len(*q) - 1
	m := (*q)[last]
	*q = (*q)[:last]
	return m
}

// simFleet simulates the nodes of a data centre.
type simFleet struct {
	now      time.Time
	apply    time.Duration
	nodes    []*simNode
	byName   map[string]*simNode
	version  int
	deleted  int // versions up to this one can't be read one by one any more
	messages simQueue
	seq      int
	alone    bool // whether each node reads for itself
	pushes   bool // whether nodes tell their neighbours of new versions; if not, versions pass only to nodes that ask
}

func newSimFleet(n int, apply time.Duration, pushes bool) *simFleet {
	f := &simFleet{now: time.Unix(1_000_000, 0), apply: apply, byName: make(map[string]*simNode), version: 1, pushes: pushes}
	for i := range n {
		n := &simNode{name: fmt.Sprintf("n%02d", i), index: i, cutFrom: make(map[string]bool)}
		f.nodes = append(f.nodes, n)
		f.byName[n.name] = n
		f.start(n)
	}
	return f
}

// start starts a node that knows nothing.
func (f *simFleet) start(n *simNode) {
	n.life++
	n.reader = rollout.NewReader(f.now, n.name, f.apply, rand.New(rand.NewPCG(uint64(n.index), uint64(n.life))))
	n.reader.SetCandidates([]string{"n00", "n01"})
	if f.alone {
		n.reader.SetCandidates([]string{n.name})
	}
	n.catchUp, n.peers, n.version = rollout.CatchUp{}, make(map[string]int), 0
	n.down, n.reading, n.failures, n.nextRead, n.position = false, false, 0, f.now, 0
	n.unsettle(f.now)
}

// freeze makes a node that runs stand still for some time.
func (f *simFleet) freeze(n *simNode, d time.Duration) {
	if n.down {
		return
	}
	n.frozen = f.now.Add(d)
	n.unsettle(n.frozen)
}

// unsettle records a fault of the node that lasts until then.
func (n *simNode) unsettle(until time.Time) {
	n.settled = later(n.settled, until)
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// restart cuts a node's power for restartTime.
func (f *simFleet) restart(n *simNode) {
	if n.down {
		return
	}
	n.down, n.frozen = true, time.Time{}
	n.life++
	f.after(restartTime, nil, func() { f.start(n) })
}

// after runs act at a node, which may be nil, after d.
func (f *simFleet) after(d time.Duration, to *simNode, act func()) {
	f.seq++
	m := simMessage{at: f.now.Add(d), seq: f.seq, to: to, act: act}
	if to != nil {
		m.life = to.life
	}
	heap.Push(&f.messages, m)
}

func (f *simFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		f.deliver()
		for _, n := range f.nodes {
			if !n.down && !f.now.Before(n.frozen) {
				f.read(n)
				f.ask(n)
				f.beat(n)
				f.fetch(n)
			}
		}
	}
}

// deliver runs the events that are due.
func (f *simFleet) deliver() {
	for len(f.messages) > 0 && !f.messages[0].at.After(f.now) {
		m := heap.Pop(&f.messages).(simMessage)
		switch {
		case m.to == nil:
			m.act()
		case m.life != m.to.life || m.to.down:
		case f.now.Before(m.to.frozen):
			m.at = m.to.frozen
			heap.Push(&f.messages, m)
		default:
			m.act()
		}
	}
}

// call sends a request from one node to another and runs answered at the sender with the result of serve, or failed after timeout.
func (f *simFleet) call(from, to *simNode, timeout time.Duration, serve func() (answered func()), failed func()) {
	ended := false
	f.after(callTime/2, to, func() {
		answered := serve()
		f.after(callTime/2, from, func() {
			if !ended && !from.cutFrom[to.name] {
				ended = true
				answered()
			}
		})
	})
	f.after(timeout, from, func() {
		if !ended {
			ended = true
			failed()
		}
	})
}

// learn records a version that the node read or got from another node.
func (f *simFleet) learn(n *simNode, version int) {
	if version <= n.version {
		return
	}
	n.version = version
	n.reader.VersionKnown()
	f.push(n)
}

// push tells the neighbours in the ring of the node's version.
func (f *simFleet) push(n *simNode) {
	if !f.pushes {
		return
	}
	for _, i := range []int{1, 2, len(f.nodes) / 2} {
		to := f.nodes[(n.index+i)%len(f.nodes)]
		version := n.version
		f.after(callTime/2, to, func() {
			if !to.cutFrom[n.name] {
				f.hear(to, n, version)
			}
		})
	}
}

func (f *simFleet) beat(n *simNode) {
	if !f.now.Before(n.nextBeat) {
		n.nextBeat = f.now.Add(beatInterval)
		f.push(n)
	}
}

// hear records that another node told of its version.
func (f *simFleet) hear(n, from *simNode, version int) {
	n.peers[from.name] = version
	if version > n.version {
		n.catchUp.Heard(from.name, from.name)
	}
}

// fetch plays the fetches of missing state.
func (f *simFleet) fetch(n *simNode) {
	begin, _ := n.catchUp.Next(f.now, func(name string) bool { return n.peers[name] > n.version })
	if begin == nil {
		return
	}
	from := f.byName[begin.Name]
	f.call(n, from, 20*time.Second, func() func() {
		version := from.version
		return func() { n.catchUp.Ended(begin); f.learn(n, version) }
	}, func() { n.catchUp.Ended(begin) })
}

// read plays the node's reads of the store. A read that is cut off once gets no answer.
func (f *simFleet) read(n *simNode) {
	if n.reading || f.now.Before(n.nextRead) {
		return
	}
	if !n.reader.Reads(f.now) {
		tick := readerTick
		if n.version == 0 {
			tick = firstTick
		}
		n.nextRead = f.now.Add(n.reader.ReadsIn(f.now, tick))
		return
	}
	hold := time.Duration(0)
	if n.position > 0 {
		hold = n.reader.Hold(f.now)
	}
	n.reader.Sent(f.now, hold)
	n.reading = true
	n.calls++
	held := f.now.Add(hold)
	r := simRead{sentAt: f.now, held: held, repeat: held.Add(n.reader.RepeatTime()), timeout: held.Add(min(callLimit, n.reader.AnswerTime()))}
	f.poll(n, n.connect(r))
}

// simRead is a read of the store that isn't answered yet.
type simRead struct {
	sentAt, held, timeout time.Time
	repeat                time.Time // it is made once more then; zero once it was
	cut                   bool      // it gets no answer, since the node was cut off from the store
	silences              int       // of the node when the read was sent; with another number it gets no answer, either
}

// connect sends a read over a new connection.
func (n *simNode) connect(r simRead) simRead {
	r.cut, r.silences = n.cutStore || n.unanswered > 0, n.silences
	n.unanswered = max(0, n.unanswered-1)
	return r
}

// silence makes the open connection of a node to the store silent for good.
func (f *simFleet) silence(n *simNode) {
	n.silences++
	n.unsettle(f.now)
}

// cutStore makes a node's reads unanswered for some time.
func (f *simFleet) cutStore(n *simNode, d time.Duration) {
	n.cutStore, n.cutUntil = true, later(n.cutUntil, f.now.Add(d))
	n.unsettle(f.now.Add(d))
	f.after(d, nil, func() { n.cutStore = f.now.Before(n.cutUntil) })
}

// refuse makes the store refuse a node's reads for some time.
func (f *simFleet) refuse(n *simNode, d time.Duration) {
	n.refused, n.refusedUntil = true, later(n.refusedUntil, f.now.Add(d))
	n.unsettle(f.now.Add(d))
	f.after(d, nil, func() { n.refused = f.now.Before(n.refusedUntil) })
}

// poll checks once in a step whether a read is to be answered.
func (f *simFleet) poll(n *simNode, r simRead) {
	f.after(step, n, func() {
		if n.cutStore && !r.cut {
			r.cut = true
			if lost := f.now.Add(probeTimeout); lost.Before(r.timeout) {
				r.timeout = lost
			}
		}
		lost := r.cut || r.silences != n.silences
		if lost && !r.repeat.IsZero() && !f.now.Before(r.repeat) {
			r.repeat = time.Time{}
			n.calls++
			r = n.connect(r)
			lost = r.cut
		}
		switch {
		case n.refused && !lost || lost && f.now.After(r.timeout):
			pause := max(shortestPause, min(longestPause, failedPause<<n.failures)-f.now.Sub(r.sentAt))
			n.failures++
			f.endRead(n, pause, n.reader.Failed)
		case !lost && n.position > 0 && n.position < f.deleted:
			n.position = 0
			f.endRead(n, lostPause, n.reader.Failed)
		case !lost && (n.position < f.version || !f.now.Before(r.held)):
			version := f.version
			news := n.position < version
			f.after(callTime/2, n, func() {
				n.position = version
				f.learn(n, version)
				n.failures = 0
				pause := time.Duration(0)
				if news {
					pause = newsPause
				}
				f.endRead(n, pause, func() { n.reader.Answered(f.now, news) })
			})
		default:
			f.poll(n, r)
		}
	})
}

func (f *simFleet) endRead(n *simNode, pause time.Duration, record func()) {
	record()
	n.reading, n.nextRead = false, f.now.Add(pause)
}

// ask plays the node's requests for confirmation.
func (f *simFleet) ask(n *simNode) {
	name, ok := n.reader.Ask(f.now)
	if !ok {
		return
	}
	to, sentAt := f.byName[name], f.now
	f.call(n, to, n.reader.AskTimeout(), func() func() {
		confirms, version := to.reader.Confirms(f.now), to.version
		return func() {
			f.hear(n, to, version)
			if version > n.version {
				n.reader.Behind(sentAt)
				return
			}
			n.reader.Confirmed(sentAt, confirms)
		}
	}, func() { n.reader.Unanswered(sentAt) })
}

func (f *simFleet) calls() int {
	total := 0
	for _, n := range f.nodes {
		total += n.calls
	}
	return total
}

// publish writes a version and returns the time until each node that runs and reaches the store has it.
func (f *simFleet) publish() time.Duration {
	f.version++
	start := f.now
	for f.now.Sub(start) < 20*time.Second {
		f.run(step)
		late := false
		for _, n := range f.nodes {
			reaches := !n.down && !n.cutStore && !n.refused && !f.now.Before(n.frozen)
			late = late || reaches && n.version < f.version
		}
		if !late {
			break
		}
	}
	return f.now.Sub(start)
}
