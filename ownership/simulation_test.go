package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jasminevane/jasminevane/idempotency"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/platform"
)

const (
	retention      = time.Minute
	requestTimeout = 2 * time.Second
	maxKeys        = 10_000
)

// faults selects the faults to inject, to show that the checks detect them.
type faults struct {
	disabled            ownership.DisabledSafeguards
	falseNotRun         bool // an owner reports "not run" although it dispatched the request
	falseNotRunOnRepeat bool // an owner reports "not run" for a repeat, although an earlier request with the key may still run
}

// process is one run of a node.
type process struct {
	name           string
	ref            ownership.NodeRef
	alive          bool
	pausedUntil    time.Time
	logUnreachable bool
	engine         *ownership.Engine
	ledger         *idempotency.Ledger
}

type message struct {
	from, to  *process // nil for messages to or from the log, which is not a node
	deliverAt time.Time
	deliver   func()
}

// request is the test's record of all requests with one idempotency key.
type request struct {
	key        string
	attempts   int
	executions int
	notRun     bool // the last response reported that the request was not run
	firstSent  time.Time
}

// simulation is a fleet of engines with a faulty network and an in-memory log. It counts executions instead of using upstreams.
type simulation struct {
	now             time.Time
	rnd             *rand.Rand
	faults          faults
	nodes           []*process
	log             []platform.Entry
	logDown         bool
	messages        []message
	cutLinks        map[[2]string]bool
	requests        []*request
	stepCount       int
	claimCount      int
	executionCount  int
	lastIncarnation uint64
	violation       string
}

func newSimulation(seed uint64, nodeCount int, injected faults) *simulation {
	sim := &simulation{now: time.Unix(1_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 5)), faults: injected, cutLinks: make(map[[2]string]bool)}
	for i := range nodeCount {
		sim.nodes = append(sim.nodes, sim.startProcess(fmt.Sprintf("n%d", i)))
	}
	for _, node := range sim.nodes {
		sim.setView(node, 1)
	}
	for range 60 {
		sim.advance(200 * time.Millisecond)
	}
	return sim
}

func (sim *simulation) startProcess(name string) *process {
	sim.lastIncarnation++
	p := &process{name: name, alive: true, ref: ownership.NodeRef{Name: name, Incarnation: sim.lastIncarnation}}
	p.engine = ownership.New(sim.now, sim.membershipNode(p), sim.faults.disabled)
	p.ledger = idempotency.NewLedger(idempotency.Limits{MaxKeys: maxKeys, MaxResponseBytes: 1 << 20, Retention: retention})
	return p
}

func (sim *simulation) membershipNode(p *process) ownership.Node {
	dc := fmt.Sprintf("dc%d", int(p.name[1]-'0')%3)
	return ownership.Node{NodeRef: p.ref, DataCentre: dc, Region: "r"}
}

// setView gives the node p a membership view that contains each other live node with the given probability.
func (sim *simulation) setView(p *process, probability float64) {
	var visibleNodes []ownership.Node
	for _, other := range sim.nodes {
		if other == p || other.alive && sim.rnd.Float64() < probability {
			visibleNodes = append(visibleNodes, sim.membershipNode(other))
		}
	}
	p.engine.SetMembers(visibleNodes)
}

func (sim *simulation) randomNode() *process { return sim.nodes[sim.rnd.IntN(len(sim.nodes))] }

func (sim *simulation) send(from, to *process, f func()) {
	if sim.rnd.Float64() < 0.03 {
		return // message lost
	}
	delay := time.Duration(sim.rnd.IntN(40)) * time.Millisecond
	if sim.rnd.Float64() < 0.05 {
		delay += time.Duration(sim.rnd.IntN(3000)) * time.Millisecond
	}
	sim.messages = append(sim.messages, message{from: from, to: to, deliverAt: sim.now.Add(delay), deliver: f})
}

func (sim *simulation) linkIsCut(m message) bool {
	return m.from != nil && m.to != nil && sim.cutLinks[[2]string{m.from.name, m.to.name}]
}

// advance advances the simulated clock by d in steps of 50 ms; each step delivers the messages that are due and ticks the running nodes.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for sim.now.Before(end) {
		sim.now = sim.now.Add(50 * time.Millisecond)
		sim.deliverDueMessages()
		for _, p := range sim.nodes {
			if sim.isRunning(p) {
				sim.tick(p)
			}
		}
	}
}

func (sim *simulation) isRunning(p *process) bool { return p.alive && !sim.now.Before(p.pausedUntil) }

func (sim *simulation) deliverDueMessages() {
	messages := sim.messages
	sim.messages = nil
	sim.rnd.Shuffle(len(messages), func(i, j int) { messages[i], messages[j] = messages[j], messages[i] })
	for _, m := range messages {
		switch {
		case m.to != nil && !m.to.alive || sim.linkIsCut(m):
		case m.deliverAt.After(sim.now) || m.to != nil && !sim.isRunning(m.to):
			sim.messages = append(sim.messages, m)
		default:
			m.deliver()
		}
	}
}

func (sim *simulation) tick(p *process) {
	if !sim.logDown && !p.logUnreachable && sim.rnd.Float64() < 0.5 {
		for _, e := range sim.log[p.engine.Next():] {
			p.engine.Apply(sim.now, e)
		}
		p.engine.MarkCaughtUp(sim.now)
	}
	p.engine.Tick(sim.now)
	sim.executeOutput(p)
}

// executeOutput carries out the output of a node's engine, as the real node does.
func (sim *simulation) executeOutput(p *process) {
	out := p.engine.TakeOutput()
	for _, h := range out.LateHandovers {
		sim.sendLateHandover(p, h)
	}
	for _, s := range out.Lost {
		p.ledger.DropShard(s)
	}
	for _, r := range out.Renewals {
		sim.sendRenewal(p, r)
	}
	for _, f := range out.Fences {
		sim.sendFence(p, f)
	}
	for _, h := range out.Handovers {
		sim.sendHandover(p, h)
	}
	for _, c := range out.Claims {
		sim.appendClaim(p, c)
	}
}

func (sim *simulation) currentProcess(r ownership.NodeRef) *process {
	i := slices.IndexFunc(sim.nodes, func(p *process) bool { return p.name == r.Name })
	return sim.nodes[i]
}

func (sim *simulation) sendRenewal(p *process, renewal ownership.LeaseRenewal) {
	to := sim.currentProcess(renewal.To)
	sim.send(p, to, func() {
		refused := to.engine.RenewLeases(renewal.Leases)
		sim.send(to, p, func() { p.engine.HandleRenewalResponse(renewal, to.ref.Incarnation, refused) })
	})
}

func (sim *simulation) sendFence(p *process, f ownership.Fence) {
	to := sim.currentProcess(f.To)
	sim.send(p, to, func() {
		promised, moved := to.engine.Fence(f.Leases)
		sim.send(to, p, func() { p.engine.HandleFenceResponse(sim.now, f, to.ref.Incarnation, promised, moved) })
	})
}

func (sim *simulation) sendHandover(p *process, h ownership.Handover) {
	to := sim.currentProcess(h.To)
	records := make([][]idempotency.Record, len(h.Shards))
	for i, sh := range h.Shards {
		records[i] = p.ledger.Export(sh.Shard)
	}
	sim.send(p, to, func() {
		if to.ref != h.To {
			return
		}
		ok := to.engine.AcceptHandover(h.Shards)
		for i, sh := range h.Shards {
			if ok {
				to.ledger.Import(sh.Shard, records[i])
			}
		}
		sim.executeOutput(to)
		sim.send(to, p, func() { p.engine.HandleHandoverResponse(h, ok); sim.executeOutput(p) })
	})
}

func (sim *simulation) sendLateHandover(p *process, h ownership.Handover) {
	to := sim.currentProcess(h.To)
	for _, sh := range h.Shards {
		records := p.ledger.Export(sh.Shard)
		sim.send(p, to, func() {
			if to.ref == h.To && to.engine.AcceptLateHandover(sh) {
				to.ledger.Import(sh.Shard, records)
			}
		})
	}
}

func (sim *simulation) appendClaim(p *process, c ownership.Claim) {
	if sim.logDown || p.logUnreachable {
		return
	}
	sim.claimCount++
	rec, err := platform.Encode(fmt.Sprintf("c%d", sim.claimCount), c)
	if err != nil {
		panic(err)
	}
	delay := time.Duration(sim.rnd.IntN(100)) * time.Millisecond
	sim.messages = append(sim.messages, message{deliverAt: sim.now.Add(delay), deliver: func() {
		sim.log = append(sim.log, platform.Entry{Offset: platform.Offset(len(sim.log)), Time: sim.now, Record: rec})
	}})
}

// sendRequest sends a request with a new key, or repeats an earlier one within the retention time.
func (sim *simulation) sendRequest(repeat bool) {
	var r *request
	if repeat {
		r = sim.pickRepeatable()
	}
	if r == nil {
		r = &request{key: fmt.Sprintf("k%d", len(sim.requests)), firstSent: sim.now}
		sim.requests = append(sim.requests, r)
	}
	ingress := sim.randomNode()
	if !sim.isRunning(ingress) {
		return
	}
	owners := ingress.engine.OwnerCandidates(ownership.Shard(r.key))
	if len(owners) == 0 {
		return
	}
	to := sim.currentProcess(ownership.NodeRef{Name: owners[sim.rnd.IntN(len(owners))]})
	r.attempts++
	r.notRun = false
	attempt, deadline := r.attempts, sim.now.Add(requestTimeout)
	sim.send(ingress, to, func() { sim.serve(to, r, attempt, deadline) })
}

func (sim *simulation) pickRepeatable() *request {
	if len(sim.requests) == 0 {
		return nil
	}
	recentRequests := 40
	if sim.rnd.Float64() < 0.5 {
		recentRequests = 4
	}
	offset := sim.rnd.IntN(min(len(sim.requests), recentRequests))
	r := sim.requests[len(sim.requests)-1-offset]
	if sim.now.Sub(r.firstSent) > retention-2*requestTimeout {
		return nil
	}
	return r
}

// serve handles a request at the owner of its key.
func (sim *simulation) serve(p *process, r *request, attempt int, deadline time.Time) {
	shard := ownership.Shard(r.key)
	ok, completeSince := p.engine.Serving(sim.now, shard)
	if !ok {
		return // the caller gets no response, so the outcome is unknown to it
	}
	req := idempotency.Request{Shard: shard, Key: r.key, FirstAttempt: attempt == 1, CompleteSince: completeSince}
	if v, _ := p.ledger.Begin(sim.now, req); v != idempotency.Run {
		return
	}
	// The process may be paused between this check and the dispatch.
	sim.messages = append(sim.messages, message{to: p, deliverAt: sim.now.Add(time.Duration(sim.rnd.IntN(30)) * time.Millisecond), deliver: func() {
		sim.dispatch(p, r, attempt, deadline)
	}})
}

func (sim *simulation) dispatch(p *process, r *request, attempt int, deadline time.Time) {
	if sim.now.After(deadline) {
		p.ledger.Cancel(r.key)
		return
	}
	if sim.rnd.Float64() < 0.1 {
		p.ledger.Cancel(r.key) // refused before dispatch
		// Only the newest request still waits for a response. A repeat is never reported as not run, since an
		// earlier request with the key may still be in flight.
		r.notRun = attempt == r.attempts && (attempt == 1 || sim.faults.falseNotRunOnRepeat)
		return
	}
	r.executions++
	sim.executionCount++
	if r.executions > 1 {
		sim.violation = fmt.Sprintf("%s was executed %d times", r.key, r.executions)
	}
	switch {
	case sim.faults.falseNotRun && sim.rnd.Float64() < 0.05:
		p.ledger.Cancel(r.key)
		r.notRun = true
	case sim.rnd.Float64() < 0.1:
		p.ledger.MarkUnknown(r.key)
	default:
		p.ledger.Finish(r.key, idempotency.Response("ok"))
	}
}

// step performs one random action.
func (sim *simulation) step(choice int) {
	sim.stepCount++
	switch {
	case choice < 40:
		sim.sendRequest(false)
	case choice < 70:
		sim.sendRequest(true)
	case choice < 84:
		sim.advance(time.Duration(1+sim.rnd.IntN(6)) * 50 * time.Millisecond)
	case choice < 85:
		sim.advance(time.Duration(1+sim.rnd.IntN(8)) * time.Second)
	case choice < 86:
		sim.crash()
	case choice < 88:
		sim.randomNode().pausedUntil = sim.now.Add(time.Duration(sim.rnd.IntN(12)) * time.Second)
	case choice < 90:
		sim.cutLinks[[2]string{sim.randomNode().name, sim.randomNode().name}] = true
	case choice < 92:
		clear(sim.cutLinks)
	case choice < 93:
		sim.logDown = !sim.logDown
	case choice < 94:
		p := sim.randomNode()
		p.logUnreachable = !p.logUnreachable
	case choice < 95:
		if p := sim.randomNode(); sim.rnd.Float64() < 0.2 {
			p.engine.Leave()
		}
	case choice < 96:
		sim.setView(sim.randomNode(), 0.7)
	case choice < 97:
		sim.isolate(sim.randomNode())
	default:
		for _, p := range sim.nodes {
			sim.setView(p, 1)
			p.logUnreachable = false
		}
		sim.logDown = false
		sim.advance(2 * time.Second)
	}
	sim.checkNotRun()
}

// isolate makes the log unreachable for a node, and in half of the cases the other nodes too. The other nodes consider it dead,
// while callers still reach it.
func (sim *simulation) isolate(p *process) {
	p.logUnreachable = true
	cut := sim.rnd.IntN(2) == 0
	for _, other := range sim.nodes {
		if other == p {
			continue
		}
		sim.cutLinks[[2]string{other.name, p.name}] = cut
		sim.cutLinks[[2]string{p.name, other.name}] = cut
		var visibleNodes []ownership.Node
		for _, q := range sim.nodes {
			if q != p && q.alive {
				visibleNodes = append(visibleNodes, sim.membershipNode(q))
			}
		}
		other.engine.SetMembers(visibleNodes)
	}
	sim.advance(8 * time.Second)
	for range 30 {
		sim.sendRequest(false)
		sim.advance(100 * time.Millisecond)
		for range 3 {
			sim.sendRequest(true)
		}
	}
}

func (sim *simulation) crash() {
	i := sim.rnd.IntN(len(sim.nodes))
	sim.nodes[i].alive = false
	sim.nodes[i] = sim.startProcess(sim.nodes[i].name)
	sim.setView(sim.nodes[i], 1)
}

func (sim *simulation) checkNotRun() {
	for _, r := range sim.requests[max(0, len(sim.requests)-50):] {
		if r.notRun && r.executions > 0 && sim.violation == "" {
			sim.violation = r.key + " was executed, but its caller was told that it was not run"
		}
	}
}
