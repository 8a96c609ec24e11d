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
	retention = time.Minute
	patience  = 2 * time.Second // deadline of a request
	maxKeys   = 10_000
)

// plant names a fault put in on purpose, to show that the oracle sees it.
type plant struct {
	policy      ownership.DisabledSafeguards
	lieNotRun   bool // an owner says "not run" after the dispatch
	lieToRepeat bool // an owner says "not run" of a repeat
}

// process is one run of a node.
type process struct {
	name   string
	ref    ownership.Ref
	alive  bool
	paused time.Time
	noLog  bool
	engine *ownership.Engine
	ledger *idempotency.Ledger
}

type message struct {
	from, to *process // nil for a caller
	due      time.Time
	deliver  func()
}

// request is what the oracle knows of one key.
type request struct {
	key    string
	sent   int
	runs   int
	notRun bool // the last answer said that it was not run
	first  time.Time
}

// world holds engines, a bag of messages with faults, a log as a list and servers as counters.
type world struct {
	now     time.Time
	rnd     *rand.Rand
	plant   plant
	nodes   []*process
	log     []platform.Entry
	logDown bool
	bag     []message
	cuts    map[[2]string]bool
	keys    []*request
	steps   int
	claims  int
	ran     int
	inc     uint64
	broken  string
}

func newWorld(seed uint64, n int, p plant) *world {
	w := &world{now: time.Unix(1_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 5)), plant: p, cuts: make(map[[2]string]bool)}
	for i := range n {
		w.nodes = append(w.nodes, w.start(fmt.Sprintf("n%d", i)))
	}
	for _, p := range w.nodes {
		w.look(p, 1)
	}
	for range 60 {
		w.advance(200 * time.Millisecond)
	}
	return w
}

func (w *world) start(name string) *process {
	w.inc++
	p := &process{name: name, alive: true, ref: ownership.Ref{Name: name, Incarnation: w.inc}}
	p.engine = ownership.New(w.now, w.node(p), w.plant.policy)
	p.ledger = idempotency.NewLedger(idempotency.Bounds{Records: maxKeys, ResponseBytes: 1 << 20, Retention: retention})
	return p
}

func (w *world) node(p *process) ownership.Node {
	dc := fmt.Sprintf("dc%d", int(p.name[1]-'0')%3)
	return ownership.Node{Ref: p.ref, DataCentre: dc, Region: "r"}
}

// look gives the node a view in which each live node is present with the given chance.
func (w *world) look(p *process, chance float64) {
	var list []ownership.Node
	for _, o := range w.nodes {
		if o == p || o.alive && w.rnd.Float64() < chance {
			list = append(list, w.node(o))
		}
	}
	p.engine.SetMembers(list)
}

func (w *world) pick() *process { return w.nodes[w.rnd.IntN(len(w.nodes))] }

func (w *world) send(from, to *process, f func()) {
	if w.rnd.Float64() < 0.03 {
		return // lost
	}
	delay := time.Duration(w.rnd.IntN(40)) * time.Millisecond
	if w.rnd.Float64() < 0.05 {
		delay += time.Duration(w.rnd.IntN(3000)) * time.Millisecond
	}
	w.bag = append(w.bag, message{from: from, to: to, due: w.now.Add(delay), deliver: f})
}

func (w *world) blocked(m message) bool {
	return m.from != nil && m.to != nil && w.cuts[[2]string{m.from.name, m.to.name}]
}

// advance moves time on, delivers what is due and ticks the nodes that run.
func (w *world) advance(d time.Duration) {
	end := w.now.Add(d)
	for w.now.Before(end) {
		w.now = w.now.Add(50 * time.Millisecond)
		w.deliver()
		for _, p := range w.nodes {
			if w.runs(p) {
				w.tick(p)
			}
		}
	}
}

func (w *world) runs(p *process) bool { return p.alive && !w.now.Before(p.paused) }

func (w *world) deliver() {
	list := w.bag
	w.bag = nil
	w.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, m := range list {
		switch {
		case m.to != nil && !m.to.alive || w.blocked(m):
		case m.due.After(w.now) || m.to != nil && !w.runs(m.to):
			w.bag = append(w.bag, m)
		default:
			m.deliver()
		}
	}
}

func (w *world) tick(p *process) {
	if !w.logDown && !p.noLog && w.rnd.Float64() < 0.5 {
		for _, e := range w.log[p.engine.Next():] {
			p.engine.Apply(w.now, e)
		}
		p.engine.MarkCaughtUp(w.now)
	}
	p.engine.Tick(w.now)
	w.carry(p)
}

// carry carries out what an engine asks for, as the shell does.
func (w *world) carry(p *process) {
	out := p.engine.TakeOutput()
	for _, l := range out.LateHandovers {
		w.bequeath(p, l)
	}
	for _, s := range out.Lost {
		p.ledger.DropShard(s)
	}
	for _, v := range out.Renewals {
		w.vouch(p, v)
	}
	for _, f := range out.Fences {
		w.fence(p, f)
	}
	for _, h := range out.Handovers {
		w.handover(p, h)
	}
	for _, c := range out.Claims {
		w.claim(p, c)
	}
}

func (w *world) find(r ownership.Ref) *process {
	i := slices.IndexFunc(w.nodes, func(p *process) bool { return p.name == r.Name })
	return w.nodes[i]
}

func (w *world) vouch(p *process, v ownership.LeaseRenewal) {
	to := w.find(v.To)
	w.send(p, to, func() {
		refused := to.engine.RenewLeases(v.Leases)
		w.send(to, p, func() { p.engine.HandleRenewalResponse(v, to.ref.Incarnation, refused) })
	})
}

func (w *world) fence(p *process, f ownership.Fence) {
	to := w.find(f.To)
	w.send(p, to, func() {
		promised, moved := to.engine.Fence(f.Leases)
		w.send(to, p, func() { p.engine.HandleFenceResponse(w.now, f, to.ref.Incarnation, promised, moved) })
	})
}

func (w *world) handover(p *process, h ownership.Handover) {
	to := w.find(h.To)
	records := make([][]idempotency.Record, len(h.Shards))
	for i, d := range h.Shards {
		records[i] = p.ledger.Export(d.Shard)
	}
	w.send(p, to, func() {
		if to.ref != h.To {
			return
		}
		ok := to.engine.AcceptHandover(h.Shards)
		for i, d := range h.Shards {
			if ok {
				to.ledger.Import(d.Shard, records[i])
			}
		}
		w.carry(to)
		w.send(to, p, func() { p.engine.HandleHandoverResponse(h, ok); w.carry(p) })
	})
}

func (w *world) bequeath(p *process, h ownership.Handover) {
	to := w.find(h.To)
	for _, d := range h.Shards {
		records := p.ledger.Export(d.Shard)
		w.send(p, to, func() {
			if to.ref == h.To && to.engine.AcceptLateHandover(d) {
				to.ledger.Import(d.Shard, records)
			}
		})
	}
}

func (w *world) claim(p *process, c ownership.Claim) {
	if w.logDown || p.noLog {
		return
	}
	w.claims++
	rec, err := platform.Encode(fmt.Sprintf("c%d", w.claims), c)
	if err != nil {
		panic(err)
	}
	delay := time.Duration(w.rnd.IntN(100)) * time.Millisecond
	w.bag = append(w.bag, message{due: w.now.Add(delay), deliver: func() {
		w.log = append(w.log, platform.Entry{Offset: platform.Offset(len(w.log)), Time: w.now, Record: rec})
	}})
}

// call sends a request with a new key, or repeats an earlier one within the retention time.
func (w *world) call(again bool) {
	var r *request
	if again {
		r = w.repeatable()
	}
	if r == nil {
		r = &request{key: fmt.Sprintf("k%d", len(w.keys)), first: w.now}
		w.keys = append(w.keys, r)
	}
	door := w.pick()
	if !w.runs(door) {
		return
	}
	owners := door.engine.OwnerCandidates(ownership.Shard(r.key))
	if len(owners) == 0 {
		return
	}
	to := w.find(ownership.Ref{Name: owners[w.rnd.IntN(len(owners))]})
	r.sent++
	r.notRun = false
	try, deadline := r.sent, w.now.Add(patience)
	w.send(door, to, func() { w.serve(to, r, try, deadline) })
}

func (w *world) repeatable() *request {
	if len(w.keys) == 0 {
		return nil
	}
	span := 40
	if w.rnd.Float64() < 0.5 {
		span = 4
	}
	back := w.rnd.IntN(min(len(w.keys), span))
	r := w.keys[len(w.keys)-1-back]
	if w.now.Sub(r.first) > retention-2*patience {
		return nil
	}
	return r
}

// serve is what the owner of a key does with a request.
func (w *world) serve(p *process, r *request, try int, deadline time.Time) {
	shard := ownership.Shard(r.key)
	ok, gap := p.engine.Serving(w.now, shard)
	if !ok {
		return // the caller is told nothing that binds
	}
	req := idempotency.Request{Shard: shard, Key: r.key, FirstAttempt: try == 1, CompleteSince: gap}
	if v, _ := p.ledger.Begin(w.now, req); v != idempotency.Run {
		return
	}
	// The process may be paused between this check and the dispatch.
	w.bag = append(w.bag, message{to: p, due: w.now.Add(time.Duration(w.rnd.IntN(30)) * time.Millisecond), deliver: func() {
		w.dispatch(p, r, try, deadline)
	}})
}

func (w *world) dispatch(p *process, r *request, try int, deadline time.Time) {
	if w.now.After(deadline) {
		p.ledger.Cancel(r.key)
		return
	}
	if w.rnd.Float64() < 0.1 {
		p.ledger.Cancel(r.key) // refused before the dispatch
		// Only the caller of the newest request still listens, and a repeat is told nothing, since the
		// request that it repeats may still be on its way.
		r.notRun = try == r.sent && (try == 1 || w.plant.lieToRepeat)
		return
	}
	r.runs++
	w.ran++
	if r.runs > 1 {
		w.broken = fmt.Sprintf("%s ran %d times", r.key, r.runs)
	}
	switch {
	case w.plant.lieNotRun && w.rnd.Float64() < 0.05:
		p.ledger.Cancel(r.key)
		r.notRun = true
	case w.rnd.Float64() < 0.1:
		p.ledger.MarkUnknown(r.key)
	default:
		p.ledger.Finish(r.key, idempotency.Response("ok"))
	}
}

// step does one random thing.
func (w *world) step(choice int) {
	w.steps++
	switch {
	case choice < 40:
		w.call(false)
	case choice < 70:
		w.call(true)
	case choice < 84:
		w.advance(time.Duration(1+w.rnd.IntN(6)) * 50 * time.Millisecond)
	case choice < 85:
		w.advance(time.Duration(1+w.rnd.IntN(8)) * time.Second)
	case choice < 86:
		w.crash()
	case choice < 88:
		w.pick().paused = w.now.Add(time.Duration(w.rnd.IntN(12)) * time.Second)
	case choice < 90:
		w.cuts[[2]string{w.pick().name, w.pick().name}] = true
	case choice < 92:
		clear(w.cuts)
	case choice < 93:
		w.logDown = !w.logDown
	case choice < 94:
		p := w.pick()
		p.noLog = !p.noLog
	case choice < 95:
		if p := w.pick(); w.rnd.Float64() < 0.2 {
			p.engine.Leave()
		}
	case choice < 96:
		w.look(w.pick(), 0.7)
	case choice < 97:
		w.isolate(w.pick())
	default:
		for _, p := range w.nodes {
			w.look(p, 1)
			p.noLog = false
		}
		w.logDown = false
		w.advance(2 * time.Second)
	}
	w.check()
}

// isolate cuts a node from the log, and half of the time from all others, which take it for dead, while callers still reach it.
func (w *world) isolate(p *process) {
	p.noLog = true
	cut := w.rnd.IntN(2) == 0
	for _, o := range w.nodes {
		if o == p {
			continue
		}
		w.cuts[[2]string{o.name, p.name}] = cut
		w.cuts[[2]string{p.name, o.name}] = cut
		var list []ownership.Node
		for _, q := range w.nodes {
			if q != p && q.alive {
				list = append(list, w.node(q))
			}
		}
		o.engine.SetMembers(list)
	}
	w.advance(8 * time.Second)
	for range 30 {
		w.call(false)
		w.advance(100 * time.Millisecond)
		for range 3 {
			w.call(true)
		}
	}
}

func (w *world) crash() {
	i := w.rnd.IntN(len(w.nodes))
	w.nodes[i].alive = false
	w.nodes[i] = w.start(w.nodes[i].name)
	w.look(w.nodes[i], 1)
}

func (w *world) check() {
	for _, r := range w.keys[max(0, len(w.keys)-50):] {
		if r.notRun && r.runs > 0 && w.broken == "" {
			w.broken = r.key + " ran and its caller was told that it did not"
		}
	}
}
