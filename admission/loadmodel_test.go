package admission_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/outlier"
	"github.com/jasminevane/jasminevane/routing"
	"github.com/pkg/errors"
)

// Parameters of the model.
const (
	modelSeed    = 1
	hop          = 500 * time.Microsecond // one way between nodes
	maxAttempts  = 5                      // attempts for each sending of a request
	worthOfLate  = 0.3                    // worth of a response after the objective
	tickInterval = 20 * time.Millisecond
	constantHint = time.Second // Retry-After of the present policy
	warmUp       = 10 * time.Second
)

// workload is the demand of one class.
type workload struct {
	admission.Class
	rate           float64 // requests per second
	mean, spread   float64 // of the service time: mean in seconds, standard deviation of the logarithm
	timeout        time.Duration
	patience       time.Duration // time for which a client goes on sending a request
	burst          float64       // factor of the demand from warmUp on
	burstTime      time.Duration
	calls          bool // each request makes a call of class 0 and holds its slot meanwhile
	childrenOnly   bool
	callerPriority func(caller int) int // nil if the priority of the class holds
}

// scenario is one load in virtual time.
type scenario struct {
	name                  string
	gates, slots, ingress int
	slow, gone            int // gates that are five times slower; gates that leave when the burst begins
	callers, flooder      int // flooder is the index of a caller that sends flood times its usual demand in the burst, or -1
	flood                 float64
	length                time.Duration
	loads                 []workload
	ignoresHints          bool // clients return at once whatever they are told
}

// job is one request of a client.
type job struct {
	class, caller, priority int
	work                    float64
	born, sent, deadline    time.Time
	tried                   []string
	returns                 int
	worth                   float64
	served, hinted          bool // hinted if a time to return was over a third of the time left
	ingress                 int
	onEnd                   func(served bool)
}

// event is a point in virtual time at which something happens.
type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fleet runs the controllers of all gates and the balancers of all ingress nodes in virtual time.
type fleet struct {
	scenario
	policy    admission.Policy
	now       time.Time
	seq       int
	queue     events
	random    *rand.Rand
	gates     map[string]*gate
	balancers []*routing.Balancer
	jobs      []*job
	offers    int       // attempts at gates
	weights   []float64 // share of each caller in the demand
}

// gate is a controller with its upstream.
type gate struct {
	id         string
	controller *admission.Controller
	samplers   []outlier.Sampler
	pending    map[uint64]*job
	nextID     uint64
	slowdown   float64
	ticking    bool
}

func (f *fleet) after(d time.Duration, do func()) {
	f.seq++
	heap.Push(&f.queue, event{f.now.Add(d), f.seq, do})
}

// play runs the scenario with the policy and returns the fleet with all jobs.
func (s scenario) play(policy admission.Policy) *fleet {
	f := &fleet{scenario: s, policy: policy, now: epoch, random: rand.New(rand.NewPCG(modelSeed, modelSeed)), gates: map[string]*gate{}}
	var classes []admission.Class
	for _, l := range s.loads {
		classes = append(classes, l.Class)
	}
	var upstreams []routing.Upstream
	for i := range s.gates {
		g := &gate{id: fmt.Sprintf("n%d/u", i), controller: admission.New(s.slots, classes), samplers: make([]outlier.Sampler, len(classes)), pending: map[uint64]*job{}, slowdown: 1}
		if i < s.slow {
			g.slowdown = 5
		}
		g.controller.SetPolicy(policy)
		f.gates[g.id] = g
		upstreams = append(upstreams, routing.Upstream{ID: g.id, Node: fmt.Sprintf("n%d", i), Slots: s.slots, Ready: true})
	}
	for i := range s.ingress {
		f.balancers = append(f.balancers, routing.NewBalancer("s", fmt.Sprintf("i%d", i), 0.5))
		f.balancers[i].Update(f.now, upstreams)
	}
	f.after(warmUp, func() {
		for i := range f.gone {
			upstreams[i].Ready = false
		}
		for _, lb := range f.balancers {
			lb.Update(f.now, upstreams)
		}
	})
	for i := range s.callers {
		f.weights = append(f.weights, 1/float64(i+2)) // a few callers are large
	}
	f.scheduleArrivals()
	for len(f.queue) > 0 {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	return f
}

// scheduleArrivals draws the requests of all classes.
func (f *fleet) scheduleArrivals() {
	total := 0.0
	for _, w := range f.weights {
		total += w
	}
	for class, l := range f.loads {
		if l.childrenOnly || l.rate == 0 {
			continue
		}
		for caller, weight := range f.weights {
			usual := l.rate * weight / total
			peak := max(1, l.burst, f.flood)
			for t := 0.0; ; {
				t += f.random.ExpFloat64() / (usual * peak)
				at := time.Duration(t * float64(time.Second))
				if at >= f.length {
					break
				}
				work := l.draw(f.random)
				if f.random.Float64() < f.demand(l, caller, at)/peak {
					f.after(at, func() { f.arrive(class, caller, work, nil) })
				}
			}
		}
	}
}

// demand returns the demand of a caller at a time as a multiple of its usual one.
func (f *fleet) demand(l workload, caller int, at time.Duration) float64 {
	factor := 1.0
	if at < warmUp || at >= warmUp+l.burstTime {
		return factor
	}
	if l.burst > 0 {
		factor = l.burst
	}
	if caller == f.flooder && f.flood > 0 {
		factor = f.flood
	}
	return factor
}

func (l workload) draw(random *rand.Rand) float64 {
	return l.mean * math.Exp(l.spread*random.NormFloat64()-l.spread*l.spread/2)
}

func (f *fleet) arrive(class, caller int, work float64, onEnd func(bool)) {
	l := f.loads[class]
	j := &job{class: class, caller: caller, priority: l.Priority, work: work, born: f.now, ingress: f.random.IntN(f.ingress), onEnd: onEnd}
	if l.callerPriority != nil {
		j.priority = l.callerPriority(caller)
	}
	f.jobs = append(f.jobs, j)
	f.send(j)
}

// send sends the request for the first time or again.
func (f *fleet) send(j *job) {
	j.sent, j.tried = f.now, nil
	j.deadline = f.now.Add(f.loads[j.class].timeout)
	f.attempt(j)
}

func (f *fleet) attempt(j *job) {
	l := f.loads[j.class]
	q := routing.Query{ClassIndex: j.class, Priority: j.priority, NonIdempotent: l.NonIdempotent, ExcludedIDs: j.tried, Objective: l.Objective, TimeLeft: j.deadline.Sub(f.now)}
	choice, err := f.balancers[j.ingress].Pick(f.now, q, f.random)
	if err != nil {
		var refusal *routing.Error
		errors.As(err, &refusal)
		f.refused(j, refusal.RetryAfter())
		return
	}
	j.tried = append(j.tried, choice.ID)
	f.after(hop, func() { f.offer(f.gates[choice.ID], j) })
}

func (f *fleet) offer(g *gate, j *job) {
	f.offers++
	g.nextID++
	id := g.nextID
	g.pending[id] = j
	r := admission.Request{ID: id, ClassIndex: j.class, Deadline: j.deadline, Caller: fmt.Sprint(j.caller), Priority: j.priority, Arrived: j.sent, Nested: f.loads[j.class].Nested}
	f.apply(g, g.controller.Offer(f.now, r))
}

// apply carries out the decisions of a gate.
func (f *fleet) apply(g *gate, decisions []admission.Decision) {
	for _, d := range decisions {
		j := g.pending[d.ID]
		if d.Start {
			f.start(g, d.ID, j)
			continue
		}
		delete(g.pending, d.ID)
		f.report(g, j, d.RetryAfter, func() {
			if d.Reason != admission.Overload || len(j.tried) >= maxAttempts {
				f.refused(j, d.RetryAfter)
				return
			}
			f.attempt(j)
		})
	}
	if g.controller.Load(f.now).Queued > 0 && !g.ticking {
		g.ticking = true
		f.after(tickInterval, func() {
			g.ticking = false
			f.apply(g, g.controller.Tick(f.now))
		})
	}
}

func (f *fleet) start(g *gate, id uint64, j *job) {
	started := f.now
	end := func() {
		took := time.Duration(j.work * g.slowdown * float64(time.Second))
		timedOut := f.now.Add(took).After(j.deadline)
		if timedOut {
			took = max(0, j.deadline.Sub(f.now))
		}
		f.after(took, func() {
			delete(g.pending, id)
			g.samplers[j.class].Add(f.now, f.now.Sub(started), timedOut)
			f.apply(g, g.controller.Done(f.now, id, admission.Result{Failed: timedOut}))
			f.report(g, j, 0, func() { f.finish(j, !timedOut) })
		})
	}
	if !f.loads[j.class].calls {
		end()
		return
	}
	f.arrive(0, j.caller, f.loads[0].draw(f.random), func(bool) { end() })
}

// report brings the report of a gate to the ingress node of the request and goes on there.
func (f *fleet) report(g *gate, j *job, hint time.Duration, then func()) {
	o := routing.Observation{Reported: true, Load: g.controller.Load(f.now), RetryAfter: hint, ClassReport: g.samplers[j.class].Report(f.now, nil)}
	o.RefusedFrom, o.Refusing = g.controller.RefusedPriority(f.now, j.class)
	f.after(hop, func() {
		f.balancers[j.ingress].Finish(f.now, routing.Choice{ID: g.id}, j.class, o)
		then()
	})
}

func (f *fleet) finish(j *job, served bool) {
	l := f.loads[j.class]
	j.served = served
	switch {
	case served && (l.Objective == 0 || f.now.Sub(j.sent) <= l.Objective):
		j.worth = 1
	case served:
		j.worth = worthOfLate
	}
	if j.onEnd != nil {
		j.onEnd(served)
	}
}

// refused lets the client return at the time given to it, while its patience lasts.
func (f *fleet) refused(j *job, hint time.Duration) {
	if f.policy == admission.ByShare {
		hint = constantHint
	} else if hint = cmp.Or(hint, admission.SpreadReturn(constantHint, j.deadline.Sub(f.now), f.random.Float64())); hint > j.deadline.Sub(f.now)/3+hop {
		j.hinted = true
	}
	if f.ignoresHints {
		hint = tickInterval
	}
	if f.now.Add(hint).After(j.born.Add(f.loads[j.class].patience)) {
		f.finish(j, false)
		return
	}
	f.after(hint, func() {
		j.returns++
		f.send(j)
	})
}
