package upstream

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/outlier"
	"github.com/pkg/errors"
)

// Parameters of the exchange with an upstream.
const (
	wholeAnswer    = 64 << 10               // bytes of an answer that are read whole before it is passed on
	tickInterval   = 20 * time.Millisecond  // interval at which queued work is checked against its deadline
	slowTimeout    = 3                      // ratio of the mean beyond which a timeout counts against the upstream
	longTimeout    = 500 * time.Millisecond // timeout that counts against the upstream in any case
	deadlineMargin = 5 * time.Millisecond   // part of the deadline kept for passing on the answer
	overdueRatio   = 4                      // ratio of the usual time beyond which work is overdue
	sickForOnce    = 0.3                    // belief in sickness from which an upstream gets trials only
	trialEvery     = 800 * time.Millisecond // interval between trials
	trialAgain     = 50 * time.Millisecond  // interval after a trial that went well
	sickOn         = 0.5                    // belief at which the upstream is announced as suspect
	sickOff        = 0.2                    // belief at which the suspicion is withdrawn
)

// Attempt is one try of a request at one upstream.
type Attempt struct {
	ID               string
	Request          string // id of the request as the caller gave it
	Origin           string // service on whose instance the request began
	Forced           bool   // no upstream in better health is known
	Class            string
	Deadline         time.Time
	AbsoluteDeadline bool // the deadline holds by the clock, since the right to run the work ends with it
	Method           string
	URI              string
	Host             string
	Header           http.Header
	Body             io.Reader
	Length           int64         // bytes of the body, or -1
	AtMostOnce       bool          // the work must not run twice
	TypicalLatency   time.Duration // time that the class usually takes in its group, or 0
}

// Response is a whole answer, or the head of one that is streamed.
type Response struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser // nil where the content was read whole
	Length  int64         // bytes of the body, or -1
	Trailer func() http.Header
	Load    string
	content []byte
}

// Gate admits all work for one upstream.
type Gate struct {
	mu        sync.Mutex
	spec      Announcement
	expires   time.Time
	classes   map[string]int
	samplers  []outlier.Sampler
	work      map[uint64]*work
	belief    outlier.Belief
	lastLate  time.Time // of the last evidence that work was overdue
	nextTrial time.Time // before which a sick upstream gets no other trial
	suspected bool
	ctl       *admission.Controller
	waiting   map[uint64]chan admission.Verdict
	nextID    uint64
	dialect   Dialect
	conns     pool
}

// work is a request that was sent to the upstream and has not ended.
type work struct {
	start   time.Time
	usual   time.Duration
	overdue bool
}

// NewGate returns the gate of an announced upstream that speaks the dialect.
func NewGate(a Announcement, d Dialect, classes []admission.Class, now time.Time) *Gate {
	g := &Gate{waiting: make(map[uint64]chan admission.Verdict), work: make(map[uint64]*work), ctl: admission.New(a.Slots, nil), dialect: d}
	g.spec = a
	g.SetClasses(classes)
	g.Renew(a, now)
	return g
}

// Renew takes a later announcement of the same upstream and reports whether anything but the time changed; an announcement that was overtaken by a later one changes nothing.
func (g *Gate) Renew(a Announcement, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.before(g.spec) {
		return false
	}
	changed := a.Service != g.spec.Service || a.Address != g.spec.Address || a.Slots != g.spec.Slots || a.State != g.spec.State
	if a.Slots != g.spec.Slots {
		g.ctl.SetSlots(a.Slots)
	}
	g.spec = a
	g.expires = now.Add(cmp.Or(g.dialect.Expire, ExpireAfter))
	g.deliver(g.ctl.Drain(a.State == Draining))
	return changed
}

// Drain refuses queued and new work.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.spec.State = Draining
	g.deliver(g.ctl.Drain(true))
}

// SetClasses replaces the classes of work when a new bundle is in force.
func (g *Gate) SetClasses(classes []admission.Class) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old, names := g.samplers, g.classes
	g.classes = make(map[string]int, len(classes))
	g.samplers = make([]outlier.Sampler, len(classes))
	for i, c := range classes {
		g.classes[c.Name] = i
		if j, ok := names[c.Name]; ok {
			g.samplers[i] = old[j]
		}
	}
	g.deliver(g.ctl.SetClasses(classes))
}

// Announcement returns the last announcement.
func (g *Gate) Announcement() Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.spec
}

// Expired reports whether the announcement was not renewed in time.
func (g *Gate) Expired(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.After(g.expires)
}

// Outstanding returns the number of requests that the upstream is running or that wait for it.
func (g *Gate) Outstanding() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.ctl.Load(time.Now())
	return l.Running + l.Queued
}

// Load returns the load with the evidence on the named class.
func (g *Gate) Load(class string) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load(time.Now(), class)
}

func (g *Gate) load(now time.Time, class string) Load {
	l := Load{Load: g.ctl.Load(now), Suspicion: g.belief.Sick(now)}
	i, ok := g.classes[class]
	if !ok {
		return l
	}
	l.Refusing = g.ctl.Refusing(now, i)
	var ages []time.Duration
	g.ctl.Each(func(_ uint64, class int, start time.Time) {
		if class == i {
			ages = append(ages, now.Sub(start))
		}
	})
	l.Class = g.samplers[i].Report(now, ages)
	return l
}

// Suspect reports whether the upstream shows signs of sickness.
func (g *Gate) Suspect(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	sick := g.belief.Sick(now)
	if sick > sickOn || sick < sickOff {
		g.suspected = sick > sickOn
	}
	return g.suspected
}

// Tick refuses queued work whose deadline has passed.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.ctl.Tick(now))
	for _, w := range g.work {
		if !w.overdue && w.usual > 0 && now.Sub(w.start) > overdueRatio*w.usual {
			g.late(now, w)
		}
	}
}

// late takes overdue work as evidence, unless it ran beside other work that was overdue before: a pause makes all of it late at once.
func (g *Gate) late(now time.Time, w *work) {
	w.overdue = true
	if w.start.Before(g.lastLate) {
		return
	}
	g.lastLate = now
	g.learn(now, outlier.Overdue)
}

// learn takes evidence on the health of the upstream; a cold start is no sickness.
func (g *Gate) learn(now time.Time, e outlier.Evidence) {
	if e == outlier.Overdue && g.spec.State == Warming {
		return
	}
	g.belief.Add(now, e)
	if e == outlier.Success {
		g.nextTrial = earlier(g.nextTrial, now.Add(trialAgain))
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Run ticks until ctx ends, then closes the connections that are idle.
func (g *Gate) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	defer g.conns.close()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			g.Tick(now)
		}
	}
}

func (g *Gate) deliver(list []admission.Verdict) {
	for _, v := range list {
		if ch := g.waiting[v.ID]; ch != nil {
			ch <- v
			delete(g.waiting, v.ID)
		}
	}
}

// Do admits the attempt, sends it to the upstream and returns the answer; the error is an *outcome.Error.
func (g *Gate) Do(ctx context.Context, a *Attempt) (*Response, error) {
	id, err := g.admit(ctx, a)
	if err != nil {
		return nil, err
	}
	return g.dispatch(ctx, a, id)
}

func (g *Gate) admit(ctx context.Context, a *Attempt) (uint64, error) {
	ch := make(chan admission.Verdict, 1)
	g.mu.Lock()
	if !g.healthy(time.Now(), a) {
		g.mu.Unlock()
		return 0, outcome.NewError(outcome.NotRun, outcome.CodeSuspect, nil)
	}
	class, ok := g.classes[a.Class]
	if !ok {
		g.mu.Unlock()
		return 0, outcome.NewError(outcome.NotRun, outcome.CodeNoBundle, errors.Errorf("class %q is unknown here", a.Class))
	}
	g.nextID++
	id := g.nextID
	g.waiting[id] = ch
	g.deliver(g.ctl.Offer(time.Now(), admission.Ticket{ID: id, Class: class, Deadline: a.Deadline.Add(-deadlineMargin)}))
	g.mu.Unlock()
	select {
	case v := <-ch:
		return id, refusal(v)
	case <-ctx.Done():
		return id, g.withdraw(id, ch)
	}
}

// healthy reports whether the upstream is well enough for the attempt; a sick one gets a trial now and then of work that may run twice.
func (g *Gate) healthy(now time.Time, a *Attempt) bool {
	if a.Forced || g.belief.Sick(now) < sickForOnce {
		return true
	}
	if a.AtMostOnce || now.Before(g.nextTrial) {
		return false
	}
	g.nextTrial = now.Add(trialEvery)
	return true
}

// withdraw takes back a queued ticket; where it started meanwhile its slot is released unused.
func (g *Gate) withdraw(id uint64, ch chan admission.Verdict) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ctl.Withdraw(id) {
		delete(g.waiting, id)
	} else if v := <-ch; v.Start {
		g.deliver(g.ctl.Done(time.Now(), id, admission.Result{Failed: true}))
	}
	return outcome.NewError(outcome.NotRun, outcome.CodeCanceled, context.Canceled)
}

func refusal(v admission.Verdict) error {
	if v.Start {
		return nil
	}
	codes := map[admission.Reason]outcome.Code{
		admission.Overload: outcome.CodeOverload,
		admission.Expired:  outcome.CodeExpired,
		admission.Draining: outcome.CodeDraining,
	}
	return outcome.NewError(outcome.NotRun, codes[v.Reason], nil)
}

// done releases the slot and counts the result.
func (g *Gate) done(a *Attempt, id uint64, start time.Time, r result) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.work[id]
	delete(g.work, id)
	if w != nil {
		g.weigh(now, w, r)
	}
	g.deliver(g.ctl.Done(now, id, admission.Result{Shed: r == shed, Failed: r != well}))
	i, ok := g.classes[a.Class]
	if !ok || g.spec.State == Warming {
		return
	}
	took := now.Sub(start)
	bad := r == failed || r == broken || r == late && (took > longTimeout || took > slowTimeout*g.samplers[i].Mean())
	if r != well && !bad {
		return
	}
	g.samplers[i].Add(now, took, bad)
}

// weigh takes the end of an attempt as evidence on the health of the upstream.
func (g *Gate) weigh(now time.Time, w *work, r result) {
	slow := w.usual > 0 && now.Sub(w.start) > overdueRatio*w.usual
	switch {
	case r == broken:
		g.learn(now, outlier.Broken)
	case w.overdue:
		// counted while it ran
	case r == failed:
		g.learn(now, outlier.Error)
	case slow && (r == well || r == late):
		g.late(now, w)
	case r == well:
		g.learn(now, outlier.Success)
	}
}
