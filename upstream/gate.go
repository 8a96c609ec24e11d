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

// Parameters of a gate.
const (
	maxBufferedResponseBytes = 64 << 10               // a smaller response is read into memory before it is forwarded
	tickInterval             = 20 * time.Millisecond  // interval at which queued requests are checked against time limits
	slowTimeoutRatio         = 3                      // multiple of the mean latency beyond which a timeout counts as a failure of the upstream
	longTimeout              = 500 * time.Millisecond // duration beyond which a timeout always counts as a failure of the upstream
	deadlineMargin           = 5 * time.Millisecond   // subtracted from the deadline, to leave time for forwarding the response
	overdueRatio             = 4                      // multiple of the typical latency beyond which a response is slow
	trialSuspicion           = 0.3                    // suspicion from which an upstream gets only trial requests, which must be idempotent
	trialInterval            = 800 * time.Millisecond // minimum interval between trial requests
	trialDelayAfterSuccess   = 50 * time.Millisecond  // a successful request shortens the wait for the next trial request to this
	suspectAbove             = 0.5                    // the upstream is reported as suspect when suspicion exceeds this
	notSuspectBelow          = 0.2                    // the upstream is no longer reported as suspect when suspicion falls below this
)

// Attempt is one attempt to run a request on one upstream.
type Attempt struct {
	ID               string
	RequestID        string // id of the caller's request, the same for all its attempts
	Origin           string // service of the node that received the request from the caller
	Caller           string // name of the authenticated caller, or empty
	Prioritized      bool   // Priority replaces the priority of the class
	Priority         int
	Arrived          time.Time // arrival of the request at its ingress node; zero if unknown
	Forced           bool      // the upstream is used although it is unhealthy, since no healthy one can be used
	Class            string
	Deadline         time.Time
	AbsoluteDeadline bool // the deadline is a wall-clock time at which the permission to run the request ends
	Method           string
	URI              string
	Host             string
	Header           http.Header
	Body             io.Reader
	Length           int64         // size of the body in bytes, or -1 if unknown
	NonIdempotent    bool          // the request must not run twice
	TypicalLatency   time.Duration // median service time of the class over the upstreams of the service, or 0 if unknown
}

// Response is an HTTP response that was read into memory, or one whose body is still to be streamed.
type Response struct {
	Status  int
	Header  http.Header
	Body    io.ReadCloser // nil if the body was read into memory
	Length  int64         // size of the body in bytes, or -1 if unknown
	Trailer func() http.Header
	Load    string // load of the upstream, in the text form of Load
	content []byte
	streams *Streams // bounds the response while it is sent; nil for no bound
}

// Gate is the admission control of one upstream: every request to it passes through its gate.
type Gate struct {
	mu           sync.Mutex
	announcement Announcement
	expires      time.Time
	classes      []admission.Class
	classIndexes map[string]int // index in classes and samplers, by class name
	samplers     []outlier.Sampler
	inFlight     map[uint64]*inFlight
	estimator    outlier.Estimator
	lastOverdue  time.Time // time at which slow responses last counted as evidence
	lastHeard    time.Time // time of the last response
	nextTrial    time.Time // time before which an unhealthy upstream gets no further trial request
	suspected    bool
	pauses       pauses
	controller   *admission.Controller
	decisions    map[uint64]chan admission.Decision // receives the admission decision of each waiting request, by id
	nextID       uint64
	queued       chan struct{} // receives a value when a request is queued
	dialect      Dialect
	conns        pool
}

// NewGate returns the gate of an announced upstream that uses the given dialect.
func NewGate(a Announcement, d Dialect, classes []admission.Class, now time.Time) *Gate {
	g := &Gate{decisions: make(map[uint64]chan admission.Decision), inFlight: make(map[uint64]*inFlight), controller: admission.New(a.Slots, nil), queued: make(chan struct{}, 1), dialect: d}
	g.announcement = a
	g.SetClasses(classes)
	g.Renew(a, now)
	return g
}

// Renew applies a later announcement of the same upstream and reports whether its service, address, slots or state changed.
// An announcement older than the current one is ignored.
func (g *Gate) Renew(a Announcement, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if a.olderThan(g.announcement) {
		return false
	}
	changed := a.Service != g.announcement.Service || a.Address != g.announcement.Address || a.Slots != g.announcement.Slots || a.State != g.announcement.State
	if a.Slots != g.announcement.Slots {
		g.controller.SetSlots(a.Slots)
	}
	g.announcement = a
	g.expires = now.Add(cmp.Or(g.dialect.ExpireAfter, ExpireAfter))
	g.deliver(g.controller.SetDraining(a.State == Draining))
	return changed
}

// Drain rejects queued and new requests.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announcement.State = Draining
	g.deliver(g.controller.SetDraining(true))
}

// SetClasses replaces the request classes when a new bundle takes effect. Classes that remain keep their samples.
func (g *Gate) SetClasses(classes []admission.Class) {
	g.mu.Lock()
	defer g.mu.Unlock()
	oldSamplers, oldIndexes := g.samplers, g.classIndexes
	g.classes = classes
	g.classIndexes = make(map[string]int, len(classes))
	g.samplers = make([]outlier.Sampler, len(classes))
	for i, c := range classes {
		g.classIndexes[c.Name] = i
		if j, ok := oldIndexes[c.Name]; ok {
			g.samplers[i] = oldSamplers[j]
		}
	}
	g.deliver(g.controller.SetClasses(classes))
}

// SetPolicy sets the policy by which requests are ordered and refused.
func (g *Gate) SetPolicy(p admission.Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.controller.SetPolicy(p))
}

// Announcement returns the current announcement.
func (g *Gate) Announcement() Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.announcement
}

// Expired reports whether the announcement was not renewed in time.
func (g *Gate) Expired(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.After(g.expires)
}

// Outstanding returns the number of running and queued requests.
func (g *Gate) Outstanding() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.controller.Load(time.Now())
	return l.Running + l.Queued
}

// Load returns the load of the upstream, with the report on the named class.
func (g *Gate) Load(class string) Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.load(time.Now(), class)
}

func (g *Gate) load(now time.Time, class string) Load {
	l := Load{Load: g.controller.Load(now), Suspicion: g.suspicion(now)}
	i, ok := g.classIndexes[class]
	if !ok {
		return l
	}
	l.RefusedFrom, l.Refusing = g.controller.RefusedPriority(now, i)
	var ages []time.Duration
	g.controller.EachRunning(func(_ uint64, classIndex int, start time.Time) {
		if classIndex == i {
			ages = append(ages, now.Sub(start))
		}
	})
	l.ClassReport = g.samplers[i].Report(now, ages)
	return l
}

// RecordRunning records that the node runs at now; it is called at an interval well under maxRunGap.
func (g *Gate) RecordRunning(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pauses.recordRunning(now)
}

// CloseIdle closes the connections to the upstream that have been idle for too long to be used again.
func (g *Gate) CloseIdle(now time.Time) { g.conns.expire(now) }

// Suspect reports whether the upstream is suspect: its suspicion rose above suspectAbove and has not fallen below notSuspectBelow since.
// The distance between the two thresholds keeps the state from flapping.
func (g *Gate) Suspect(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	suspicion := g.suspicion(now)
	if suspicion > suspectAbove || suspicion < notSuspectBelow {
		g.suspected = suspicion > suspectAbove
	}
	return g.suspected
}

// Tick rejects queued requests whose deadline has passed.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.controller.Tick(now))
}

// recordOverdue records a slow response as evidence against the upstream.
// A request that started before the last such evidence is not counted, since one pause makes all running requests slow.
func (g *Gate) recordOverdue(now time.Time, w *inFlight) {
	if w.start.Before(g.lastOverdue) {
		return
	}
	g.lastOverdue = now
	g.addEvidence(now, outlier.Overdue)
}

// addEvidence adds evidence of the health of the upstream. Slow responses while it warms up are no sign of a fault.
func (g *Gate) addEvidence(now time.Time, e outlier.Evidence) {
	if e == outlier.Overdue && g.announcement.State == Warming {
		return
	}
	g.estimator.Add(now, e)
	if e == outlier.Success {
		g.nextTrial = earlier(g.nextTrial, now.Add(trialDelayAfterSuccess))
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Run calls Tick at an interval while requests are queued, until ctx is done, then closes the idle connections.
func (g *Gate) Run(ctx context.Context) {
	defer g.conns.close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.queued:
		}
		g.tickWhileQueued(ctx)
	}
}

// tickWhileQueued calls Tick at an interval until no request is queued or ctx is done.
func (g *Gate) tickWhileQueued(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for g.Load("").Load.Queued > 0 {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			g.Tick(now)
		}
	}
}

// signalQueued wakes Run if requests are queued.
func (g *Gate) signalQueued(now time.Time) {
	if g.controller.Load(now).Queued == 0 {
		return
	}
	select {
	case g.queued <- struct{}{}:
	default: // Run has been woken already
	}
}

func (g *Gate) deliver(toDeliver []admission.Decision) {
	for _, v := range toDeliver {
		if ch := g.decisions[v.ID]; ch != nil {
			ch <- v
			delete(g.decisions, v.ID)
		}
	}
}

// Do waits for admission, sends the request to the upstream and returns the response. The error is an *outcome.Error.
func (g *Gate) Do(ctx context.Context, a *Attempt) (*Response, error) {
	id, err := g.admit(ctx, a)
	if err != nil {
		return nil, err
	}
	return g.dispatch(ctx, a, id)
}

func (g *Gate) admit(ctx context.Context, a *Attempt) (uint64, error) {
	ch := make(chan admission.Decision, 1)
	g.mu.Lock()
	if !g.allows(time.Now(), a) {
		g.mu.Unlock()
		return 0, outcome.NewError(outcome.NotRun, outcome.CodeSuspect, nil)
	}
	class, ok := g.classIndexes[a.Class]
	if !ok {
		g.mu.Unlock()
		return 0, outcome.NewError(outcome.NotRun, outcome.CodeNoBundle, errors.Errorf("unknown class %q", a.Class))
	}
	g.nextID++
	id := g.nextID
	g.decisions[id] = ch
	now := time.Now()
	g.deliver(g.controller.Offer(now, g.admissionRequest(a, id, class)))
	g.signalQueued(now)
	g.mu.Unlock()
	select {
	case v := <-ch:
		return id, decisionError(v)
	case <-ctx.Done():
		return id, g.cancelQueued(id, ch)
	}
}

// admissionRequest returns the attempt as a request to the controller.
func (g *Gate) admissionRequest(a *Attempt, id uint64, classIndex int) admission.Request {
	class := g.classes[classIndex]
	r := admission.Request{ID: id, ClassIndex: classIndex, Deadline: a.Deadline.Add(-deadlineMargin), Caller: a.Caller, Arrived: a.Arrived, Nested: class.Nested}
	r.Priority = class.Priority
	if a.Prioritized {
		r.Priority = a.Priority
	}
	return r
}

// allows reports whether the upstream is healthy enough for the attempt.
// An upstream whose suspicion reaches trialSuspicion is sent only an occasional idempotent request as a trial.
func (g *Gate) allows(now time.Time, a *Attempt) bool {
	if a.Forced || g.suspicion(now) < trialSuspicion {
		return true
	}
	if a.NonIdempotent || now.Before(g.nextTrial) {
		return false
	}
	g.nextTrial = now.Add(trialInterval)
	return true
}

// AwaitsTrial reports whether the upstream is unhealthy and a trial request would be sent to it now.
func (g *Gate) AwaitsTrial(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.announcement.State == Ready && g.suspicion(now) >= trialSuspicion && !now.Before(g.nextTrial)
}

// cancelQueued removes a canceled request from the queue. If it was admitted meanwhile, its slot is released.
func (g *Gate) cancelQueued(id uint64, ch chan admission.Decision) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.controller.Cancel(id) {
		delete(g.decisions, id)
	} else if v := <-ch; v.Start {
		g.deliver(g.controller.Done(time.Now(), id, admission.Result{Failed: true}))
	}
	return outcome.NewError(outcome.NotRun, outcome.CodeCanceled, context.Canceled)
}

func decisionError(v admission.Decision) error {
	if v.Start {
		return nil
	}
	codes := map[admission.Reason]outcome.Code{
		admission.Overload: outcome.CodeOverload,
		admission.Expired:  outcome.CodeExpired,
		admission.Draining: outcome.CodeDraining,
	}
	refusal := outcome.NewError(outcome.NotRun, codes[v.Reason], nil)
	refusal.RetryAfter = v.RetryAfter
	return refusal
}

// finish releases the slot of an attempt and records its result.
func (g *Gate) finish(a *Attempt, id uint64, start time.Time, r result) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.inFlight[id]
	delete(g.inFlight, id)
	if w != nil {
		g.recordResult(now, w, r)
	}
	g.deliver(g.controller.Done(now, id, admission.Result{Shed: r == shed, Failed: r != succeeded}))
	i, ok := g.classIndexes[a.Class]
	if !ok || g.announcement.State == Warming || g.pauses.affect(start, now) {
		return
	}
	latency := now.Sub(start)
	countsAsFailure := r == failed || r == broken || r == shed || r == timedOut && (latency > longTimeout || latency > slowTimeoutRatio*g.samplers[i].MeanServiceTime())
	if r != succeeded && !countsAsFailure {
		return
	}
	g.samplers[i].Add(now, latency, countsAsFailure)
}

// recordResult adds the result of an attempt to the evidence of the health of the upstream.
func (g *Gate) recordResult(now time.Time, w *inFlight, r result) {
	if r != succeeded && r != failed && g.pauses.affect(w.start, now) {
		return
	}
	slow := w.typicalLatency > 0 && now.Sub(w.start) > overdueRatio*w.typicalLatency
	switch {
	case r == broken:
		g.addEvidence(now, outlier.Broken)
	case r == failed:
		g.addEvidence(now, outlier.Error)
	case r == timedOut || r == canceled:
		g.recordSilence(now, w)
	case r == succeeded && slow && !g.pauses.affect(w.start, now):
		g.recordOverdue(now, w)
	case r == succeeded:
		g.recordOvertaken(now, w.start)
		g.addEvidence(now, outlier.Success)
	}
}
