package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/routing"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// Parameters of attempts.
const (
	maxFar       = 1                      // of them to other regions
	maxAttempts  = 5                      // attempts of one request, refused ones included
	maxSent      = 4                      // upstreams that one request may be sent to where its route does not say
	hedgeRatio   = 3                      // ratio to the group's mean after which a second attempt starts
	hedgeMin     = 60 * time.Millisecond  // least time before a second attempt starts
	askAfter     = 400 * time.Millisecond // time after which the node of a silent upstream is asked for its state
	askRatio     = 3                      // ratio to the group's mean after which it is asked
	askTimeout   = 300 * time.Millisecond
	pathPatience = 450 * time.Millisecond // silence after which the path is doubted
	retryAfter   = time.Second            // told to callers on overload
)

// job is a request to be run at one of the upstreams of a service.
type job struct {
	id       string
	match    bundle.Match
	deadline time.Time
	origin   string
	keyed    bool
	start    time.Time
	steps    *[]string // filled by run; nil where no line is written
	method   string
	uri      string
	host     string
	header   http.Header
	body     *caller.Body
}

func (j *job) once() bool { return !j.match.Class.Idempotent() }

// Serve implements caller.Fleet.
func (n *Node) Serve(ctx context.Context, r *caller.Request) (*upstream.Answer, error) {
	n.divide(r)
	j := &job{
		id:       r.ID,
		origin:   n.origin(),
		start:    time.Now(),
		match:    r.Match,
		deadline: r.Deadline,
		method:   r.HTTP.Method,
		uri:      r.HTTP.RequestURI,
		host:     r.HTTP.Host,
		header:   caller.CleanHeader(r.HTTP.Header),
		body:     r.Body,
	}
	if j.once() && r.Key != "" {
		j.keyed = true
		return n.serveKeyed(ctx, j, r)
	}
	j.steps = &r.Steps
	return n.run(ctx, j)
}

// origin returns the service on whose instance the node runs: that of the upstream beside it, or the one in the settings before it announces itself.
func (n *Node) origin() string {
	for _, g := range n.gates.all() {
		return g.Spec().Service
	}
	return *n.service.Load()
}

// try is one attempt that ended.
type try struct {
	choice routing.Choice
	ans    *upstream.Answer
	err    error
	cancel context.CancelFunc
	step   step
}

// race runs the attempts of one job: one after the other where they fail without effect, side by side where one hangs and the work is idempotent.
type race struct {
	n        *Node
	job      *job
	lane     *lane
	class    int
	tried    []string
	sent     int // attempts that may have reached an upstream
	far      int // attempts to other regions
	pending  int
	results  chan try
	lost     chan struct{} // the path to an upstream that is silent is lost
	cancels  []context.CancelFunc
	doubtful bool // an attempt may have run
}

// run sends the job to an upstream; the error is an *outcome.Error.
func (n *Node) run(ctx context.Context, j *job) (*upstream.Answer, error) {
	l := (*n.lanes.Load())[j.match.Service.Name()]
	if l == nil {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeNoBundle, nil)
	}
	class, ok := l.class(j.match.Class.Name())
	if !ok {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeNoBundle, nil)
	}
	l.mu.Lock()
	l.budget.Request(time.Now())
	l.mu.Unlock()
	r := &race{n: n, job: j, lane: l, class: class, results: make(chan try, maxAttempts), lost: make(chan struct{}, maxAttempts)}
	return r.run(ctx)
}

func (r *race) run(ctx context.Context) (*upstream.Answer, error) {
	if err := r.launch(ctx, false); err != nil {
		return nil, err
	}
	hedge := time.NewTimer(r.hedgeDelay())
	defer hedge.Stop()
	for {
		select {
		case t := <-r.results:
			r.pending--
			r.note(t.step)
			if r.final(t) {
				return r.finish(t)
			}
			if r.again(t) && r.launch(ctx, false) == nil {
				continue
			}
			if r.pending == 0 {
				return r.finish(t)
			}
		case <-hedge.C:
			r.beside(ctx, true)
		case <-r.lost:
			r.beside(ctx, false)
		}
	}
}

// beside starts another attempt while one goes on, where the work may be repeated; spare asks for an upstream with capacity to spare.
func (r *race) beside(ctx context.Context, spare bool) {
	if !r.job.once() && r.job.body.Repeatable() && len(r.tried) < maxAttempts && r.sent < r.limit() && r.take() {
		_ = r.launch(ctx, spare) // the attempts before it go on alone
	}
}

func (r *race) note(s step) {
	if r.job.steps != nil {
		*r.job.steps = append(*r.job.steps, s.String())
	}
}

func (r *race) hedgeDelay() time.Duration {
	r.lane.mu.Lock()
	defer r.lane.mu.Unlock()
	mean := r.lane.group.Mean(time.Now(), r.class)
	if mean == 0 {
		return time.Until(r.job.deadline) / 2
	}
	return max(hedgeMin, hedgeRatio*mean)
}

// take asks the retry budget for one more attempt.
func (r *race) take() bool {
	r.lane.mu.Lock()
	defer r.lane.mu.Unlock()
	return r.lane.budget.Take()
}

// launch starts one attempt at an upstream that was not tried.
func (r *race) launch(ctx context.Context, spare bool) error {
	now := time.Now()
	if !now.Before(r.job.deadline) {
		return outcome.NewError(outcome.NotRun, outcome.CodeExpired, nil)
	}
	q := routing.Query{
		Once:      r.job.once(),
		Class:     r.class,
		Exclude:   r.tried,
		Far:       r.job.match.Class.Spill() && r.far < maxFar && r.n.linkOpen(),
		Spare:     spare,
		Objective: r.job.match.Class.Objective(),
	}
	r.lane.mu.Lock()
	q.Trial = r.lane.budget.Left() && r.limit() > 1 && r.job.body.Repeatable()
	choice, err := r.lane.group.Pick(now, q, r.lane.rnd)
	usual := r.lane.group.Mean(now, r.class)
	r.lane.mu.Unlock()
	if err != nil {
		r.note(step{to: "none", at: now.Sub(r.job.start), result: err.Error()})
		return noUpstream(err)
	}
	r.tried = append(r.tried, choice.ID)
	r.sent++
	if choice.Tier == routing.OtherRegion {
		r.far++
	}
	r.pending++
	actx, cancel := context.WithCancel(ctx)
	r.cancels = append(r.cancels, cancel)
	a := r.attempt(len(r.tried))
	a.Usual, a.Forced = usual, choice.Forced
	s := step{to: choice.ID, at: now.Sub(r.job.start), choice: choice}
	go func() {
		ans, err := r.n.send(actx, r.lane, r.class, choice, a, func() { r.lost <- struct{}{} })
		s.took, s.result = time.Since(now), resultOf(ans, err)
		r.results <- try{choice: choice, ans: ans, err: err, cancel: cancel, step: s}
	}()
	return nil
}

func noUpstream(err error) error {
	e := outcome.NewError(outcome.NotRun, outcome.CodeNoUpstream, err)
	var none *routing.Error
	if errors.As(err, &none) && none.Reason() == routing.Busy {
		e.Code, e.Retry = outcome.CodeOverload, retryAfter
	}
	return e
}

func (r *race) attempt(number int) *upstream.Attempt {
	j := r.job
	return &upstream.Attempt{
		ID:       fmt.Sprintf("%s.%d", j.id, number),
		Request:  j.id,
		Origin:   j.origin,
		Class:    j.match.Class.Name(),
		Deadline: j.deadline,
		Bound:    j.keyed,
		Method:   j.method,
		URI:      j.uri,
		Host:     j.host,
		Header:   j.header.Clone(),
		Body:     j.body.Open(),
		Length:   j.body.Len(),
		Once:     j.once(),
	}
}

// final reports whether the attempt decides the request.
func (r *race) final(t try) bool {
	return t.err == nil && (t.ans.Status < http.StatusInternalServerError || r.job.once())
}

// again reports whether the result of an attempt allows another one.
func (r *race) again(t try) bool {
	r.doubtful = r.doubtful || t.err == nil || mayHaveRun(t.err)
	if notRun(t.err) || free(t.err) {
		r.sent--
	}
	if len(r.tried) >= maxAttempts || !r.job.body.Available() {
		return false
	}
	if free(t.err) {
		return true
	}
	if r.sent >= r.limit() {
		return false
	}
	if notRun(t.err) || !r.job.once() {
		return r.take()
	}
	return false
}

// free reports whether the attempt certainly did not reach the upstream, so that another costs no upstream anything.
func free(err error) bool {
	var path *peer.PathError
	if errors.As(err, &path) {
		return !path.Sent()
	}
	var e *outcome.Error
	return errors.As(err, &e) && e.Outcome == outcome.NotRun &&
		(e.Code == outcome.CodeOverload || e.Code == outcome.CodeDraining || e.Code == outcome.CodeNoBundle || e.Code == outcome.CodeSuspect)
}

// limit returns how many upstreams the request may be sent to.
func (r *race) limit() int {
	if n := r.job.match.Attempts(); n > 0 {
		return n
	}
	return maxSent
}

func mayHaveRun(err error) bool {
	var path *peer.PathError
	if errors.As(err, &path) {
		return path.Sent()
	}
	return !notRun(err)
}

func notRun(err error) bool {
	var e *outcome.Error
	return errors.As(err, &e) && e.Outcome == outcome.NotRun
}

// finish ends the race with the result of one attempt and cancels the others.
func (r *race) finish(t try) (*upstream.Answer, error) {
	left := r.pending
	go func() {
		for range left {
			late := <-r.results
			if late.ans != nil && late.err == nil {
				_ = late.ans.Reader().Close()
			}
		}
	}()
	winner := len(r.cancels)
	if t.err == nil {
		winner = r.number(t.choice)
	}
	for i, cancel := range r.cancels {
		if i != winner {
			cancel()
		}
	}
	if t.err != nil {
		return nil, r.verdict(t.err)
	}
	if t.ans.Body != nil {
		t.ans.Body = &cancelBody{ReadCloser: t.ans.Body, cancel: t.cancel}
		return t.ans, nil
	}
	t.cancel()
	return t.ans, nil
}

func (r *race) number(c routing.Choice) int {
	for i, id := range r.tried {
		if id == c.ID {
			return i
		}
	}
	return len(r.tried)
}

type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// verdict turns the last error of a race into what the caller is told: not run only if no attempt may have run.
func (r *race) verdict(err error) error {
	var path *peer.PathError
	if errors.As(err, &path) {
		o := outcome.Unknown
		if !path.Sent() {
			o = outcome.NotRun
		}
		err = outcome.NewError(o, outcome.CodePath, path)
	}
	var e *outcome.Error
	if !errors.As(err, &e) {
		e = outcome.NewError(outcome.Unknown, outcome.CodePath, err)
	}
	if e.Outcome == outcome.NotRun && (r.doubtful || r.pending > 0) {
		return outcome.NewError(outcome.Unknown, e.Code, e.Err)
	}
	if e.Code == outcome.CodeOverload {
		e.Retry = retryAfter
	}
	return e
}

// send carries one attempt to its upstream and tells the lane what it showed; lost is called where the upstream's node does not answer meanwhile.
func (n *Node) send(ctx context.Context, l *lane, class int, c routing.Choice, a *upstream.Attempt, lost func()) (*upstream.Answer, error) {
	start := time.Now()
	stop := n.watch(l, class, c, a.Class, lost)
	ans, err := n.carry(ctx, c, a)
	stop()
	took := time.Since(start)
	n.metrics.attempt(l.service, a.Class, n.dataCentre(c.Node), ans, err, took)
	o := observe(ans, err, took)
	l.mu.Lock()
	l.group.Observe(time.Now(), c, class, o)
	l.mu.Unlock()
	if c.Trial {
		n.events.Add(event.Event{Kind: event.Trial, Upstream: c.ID, Request: a.ID, Text: resultOf(ans, err)})
	}
	if o.PathLost {
		n.events.Add(event.Event{Kind: event.Avoid, Upstream: c.ID, Request: a.ID, Text: err.Error()})
	}
	if err == nil && c.Tier == routing.OtherRegion {
		n.countLink(a.Length + ans.Length)
	}
	return ans, err
}

// dataCentre returns where the named node is, or an empty string once it has gone.
func (n *Node) dataCentre(node string) string {
	if node == n.cfg.Name {
		return n.cfg.DataCentre
	}
	return n.view.Load().byName[node].DataCentre
}

func (n *Node) carry(ctx context.Context, c routing.Choice, a *upstream.Attempt) (*upstream.Answer, error) {
	id := c.ID[len(c.Node)+1:]
	if c.Node == n.cfg.Name {
		return n.Attempt(ctx, id, a)
	}
	m, ok := n.view.Load().byName[c.Node]
	if !ok {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeDraining, errors.New("node is gone"))
	}
	return n.client.Forward(ctx, m.Address, id, a)
}

// Attempt implements peer.Receiver.
func (n *Node) Attempt(ctx context.Context, id string, a *upstream.Attempt) (*upstream.Answer, error) {
	g := n.gates.get(id)
	if g == nil {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeDraining, errors.Errorf("upstream %s is not here", id))
	}
	ans, err := g.Do(ctx, a)
	n.noteAttempt(id, a, g, ans, err)
	load := g.Load(a.Class).String()
	if err != nil {
		return &upstream.Answer{Load: load}, err
	}
	ans.Load = load
	return ans, nil
}

// observe condenses what an attempt showed of the load and of the path.
func observe(ans *upstream.Answer, err error, took time.Duration) routing.Observation {
	var o routing.Observation
	if ans != nil && ans.Load != "" {
		if load, perr := upstream.ParseLoad(ans.Load); perr == nil {
			o = observation(load)
		}
	}
	var path *peer.PathError
	if errors.As(err, &path) {
		o.PathLost = !path.Sent() || took > pathPatience
	}
	return o
}

func observation(l upstream.Load) routing.Observation {
	return routing.Observation{Load: l.Load, Refusing: l.Refusing, Evidence: l.Class, Sick: l.Sick, Reported: true}
}

// watch asks the node of an upstream for its state when an attempt stays silent, which tells a stuck upstream from a lost path.
func (n *Node) watch(l *lane, class int, c routing.Choice, name string, lost func()) (stop func()) {
	if c.Node == n.cfg.Name {
		return func() {}
	}
	l.mu.Lock()
	after := max(askAfter, askRatio*l.group.Mean(time.Now(), class))
	l.mu.Unlock()
	t := time.AfterFunc(after, func() {
		if n.ask(l, class, c, name) != nil {
			lost()
		}
	})
	return func() { t.Stop() }
}

// ask takes the state of an upstream from its node; where the node does not answer the path to it is avoided.
func (n *Node) ask(l *lane, class int, c routing.Choice, name string) error {
	m, ok := n.view.Load().byName[c.Node]
	if !ok {
		return errors.Errorf("node %s is gone", c.Node)
	}
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	text, err := n.client.Standing(ctx, m.Address, c.ID[len(c.Node)+1:], name)
	load, perr := upstream.ParseLoad(text)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || perr != nil {
		n.client.Reset(m.Address)
		l.group.Avoid(time.Now(), c.ID)
		return errors.Errorf("node %s does not answer", c.Node)
	}
	l.group.Learn(time.Now(), c.ID, class, observation(load))
	return nil
}

// Standing implements peer.Node.
func (n *Node) Standing(id, class string) (string, bool) {
	g := n.gates.get(id)
	if g == nil {
		return "", false
	}
	return g.Load(class).String(), true
}
