package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/routing"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// Parameters of attempts.
const (
	maxFar      = 1                     // of them to other regions
	maxAttempts = 5                     // attempts of one request, refused ones included
	maxSent     = 4                     // upstreams that one request may be sent to where its route does not say
	hedgeRatio  = 3                     // ratio to the group's mean after which a second attempt starts
	hedgeMin    = 60 * time.Millisecond // least time before a second attempt starts
	retryAfter  = time.Second           // told to callers on overload
)

// try is one attempt that ended.
type try struct {
	choice routing.Choice
	ans    *upstream.Response
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
func (n *Node) run(ctx context.Context, j *job) (*upstream.Response, error) {
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

func (r *race) run(ctx context.Context) (*upstream.Response, error) {
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
	if !r.job.once() && r.job.body.Replayable() && len(r.tried) < maxAttempts && r.sent < r.limit() && r.take() {
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
	mean := r.lane.group.TypicalServiceTime(time.Now(), r.class)
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
		NonIdempotent:    r.job.once(),
		Class:            r.class,
		Exclude:          r.tried,
		AllowOtherRegion: r.job.match.Class.Spill() && r.far < maxFar && r.n.linkOpen(),
		RequireSpare:     spare,
		Objective:        r.job.match.Class.Objective(),
	}
	r.lane.mu.Lock()
	q.Trial = r.lane.budget.Available() && r.limit() > 1 && r.job.body.Replayable()
	choice, err := r.lane.group.Pick(now, q, r.lane.rnd)
	usual := r.lane.group.TypicalServiceTime(now, r.class)
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
	a.TypicalLatency, a.Forced = usual, choice.Forced
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
	if errors.As(err, &none) && none.Reason() == routing.Overloaded {
		e.Code, e.RetryAfter = outcome.CodeOverload, retryAfter
	}
	return e
}

func (r *race) attempt(number int) *upstream.Attempt {
	j := r.job
	return &upstream.Attempt{
		ID:               fmt.Sprintf("%s.%d", j.id, number),
		RequestID:        j.id,
		Origin:           j.origin,
		Class:            j.match.Class.Name(),
		Deadline:         j.deadline,
		AbsoluteDeadline: j.keyed,
		Method:           j.method,
		URI:              j.uri,
		Host:             j.host,
		Header:           j.header.Clone(),
		Body:             j.body.Open(),
		Length:           j.body.Len(),
		NonIdempotent:    j.once(),
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
	if len(r.tried) >= maxAttempts || !r.job.body.CanOpen() {
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
	var path *peer.TransportError
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
	var path *peer.TransportError
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
func (r *race) finish(t try) (*upstream.Response, error) {
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
	var path *peer.TransportError
	if errors.As(err, &path) {
		o := outcome.Unknown
		if !path.Sent() {
			o = outcome.NotRun
		}
		err = outcome.NewError(o, outcome.CodePathLost, path)
	}
	var e *outcome.Error
	if !errors.As(err, &e) {
		e = outcome.NewError(outcome.Unknown, outcome.CodePathLost, err)
	}
	if e.Outcome == outcome.NotRun && (r.doubtful || r.pending > 0) {
		return outcome.NewError(outcome.Unknown, e.Code, e.Err)
	}
	if e.Code == outcome.CodeOverload {
		e.RetryAfter = retryAfter
	}
	return e
}
