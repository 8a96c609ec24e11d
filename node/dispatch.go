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

// Limits and delays of the attempts of one request.
const (
	maxOtherRegion = 1                     // attempts to other regions
	maxAttempts    = 5                     // attempts of one request, rejected ones included
	maxSent        = 4                     // upstreams that one request may be sent to if its route sets no limit
	hedgeRatio     = 3                     // ratio of the hedge delay to the typical service time
	hedgeMin       = 60 * time.Millisecond // minimum hedge delay
	retryAfter     = time.Second           // Retry-After for callers whose request was rejected
)

// attemptResult is the result of one finished attempt.
type attemptResult struct {
	choice routing.Choice
	resp   *upstream.Response
	err    error
	cancel context.CancelFunc
	step   step
}

// dispatch runs the attempts of one job: one after the other if a failure allows a retry,
// in parallel if one hangs and the request is idempotent.
type dispatch struct {
	n           *Node
	job         *job
	service     *serviceState
	class       int
	tried       []string
	sent        int // attempts that may have reached an upstream
	otherRegion int // attempts to other regions
	pending     int
	results     chan attemptResult
	pathLost    chan struct{} // receives when the path to an upstream that does not respond is lost
	cancels     []context.CancelFunc
	maybeRan    bool // an attempt may have run
}

// run sends the job to an upstream; the error is an *outcome.Error.
func (n *Node) run(ctx context.Context, j *job) (*upstream.Response, error) {
	svc := (*n.services.Load())[j.match.Service.Name()]
	if svc == nil {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeNoBundle, nil)
	}
	class, ok := svc.lookupClass(j.match.Class.Name())
	if !ok {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeNoBundle, nil)
	}
	svc.mu.Lock()
	svc.budget.Request(time.Now())
	svc.mu.Unlock()
	d := &dispatch{n: n, job: j, service: svc, class: class, results: make(chan attemptResult, maxAttempts), pathLost: make(chan struct{}, maxAttempts)}
	return d.run(ctx)
}

func (d *dispatch) run(ctx context.Context) (*upstream.Response, error) {
	if err := d.launch(ctx, false); err != nil {
		return nil, err
	}
	hedgeTimer := time.NewTimer(d.hedgeDelay())
	defer hedgeTimer.Stop()
	for {
		select {
		case res := <-d.results:
			d.pending--
			d.recordStep(res.step)
			if d.final(res) {
				return d.finish(res)
			}
			if d.mayRetry(res) && d.launch(ctx, false) == nil {
				continue
			}
			if d.pending == 0 {
				return d.finish(res)
			}
		case <-hedgeTimer.C:
			d.hedge(ctx, true)
		case <-d.pathLost:
			d.hedge(ctx, false)
		}
	}
}

// hedge starts another attempt in parallel if the request may be repeated and the retry budget allows it;
// requireSpare restricts it to upstreams with spare capacity.
func (d *dispatch) hedge(ctx context.Context, requireSpare bool) {
	if !d.job.nonIdempotent() && d.job.body.Replayable() && len(d.tried) < maxAttempts && d.sent < d.sendLimit() && d.takeRetry() {
		_ = d.launch(ctx, requireSpare) // without it, the earlier attempts continue alone
	}
}

func (d *dispatch) recordStep(s step) {
	if d.job.steps != nil {
		*d.job.steps = append(*d.job.steps, s.String())
	}
}

func (d *dispatch) hedgeDelay() time.Duration {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	mean := d.service.balancer.TypicalServiceTime(time.Now(), d.class)
	if mean == 0 {
		return time.Until(d.job.deadline) / 2
	}
	return max(hedgeMin, hedgeRatio*mean)
}

// takeRetry takes one retry from the retry budget and reports whether there was one.
func (d *dispatch) takeRetry() bool {
	d.service.mu.Lock()
	defer d.service.mu.Unlock()
	return d.service.budget.Take()
}

// launch starts one attempt at an upstream that was not tried yet.
func (d *dispatch) launch(ctx context.Context, requireSpare bool) error {
	now := time.Now()
	if !now.Before(d.job.deadline) {
		return outcome.NewError(outcome.NotRun, outcome.CodeExpired, nil)
	}
	q := routing.Query{
		NonIdempotent:    d.job.nonIdempotent(),
		Class:            d.class,
		Exclude:          d.tried,
		AllowOtherRegion: d.job.match.Class.Spill() && d.otherRegion < maxOtherRegion && d.n.linkAvailable(),
		RequireSpare:     requireSpare,
		Objective:        d.job.match.Class.Objective(),
	}
	d.service.mu.Lock()
	q.Trial = d.service.budget.Available() && d.sendLimit() > 1 && d.job.body.Replayable()
	choice, err := d.service.balancer.Pick(now, q, d.service.rnd)
	typical := d.service.balancer.TypicalServiceTime(now, d.class)
	d.service.mu.Unlock()
	if err != nil {
		d.recordStep(step{to: "none", at: now.Sub(d.job.start), result: err.Error()})
		return noUpstreamError(err)
	}
	d.tried = append(d.tried, choice.ID)
	d.sent++
	if choice.Tier == routing.OtherRegion {
		d.otherRegion++
	}
	d.pending++
	actx, cancel := context.WithCancel(ctx)
	d.cancels = append(d.cancels, cancel)
	a := d.newAttempt(len(d.tried))
	a.TypicalLatency, a.Forced = typical, choice.Forced
	s := step{to: choice.ID, at: now.Sub(d.job.start), choice: choice}
	go func() {
		resp, err := d.n.sendAttempt(actx, d.service, d.class, choice, a, func() { d.pathLost <- struct{}{} })
		s.took, s.result = time.Since(now), resultText(resp, err)
		d.results <- attemptResult{choice: choice, resp: resp, err: err, cancel: cancel, step: s}
	}()
	return nil
}

func noUpstreamError(err error) error {
	e := outcome.NewError(outcome.NotRun, outcome.CodeNoUpstream, err)
	var routingErr *routing.Error
	if errors.As(err, &routingErr) && routingErr.Reason() == routing.Overloaded {
		e.Code, e.RetryAfter = outcome.CodeOverload, retryAfter
	}
	return e
}

func (d *dispatch) newAttempt(number int) *upstream.Attempt {
	j := d.job
	return &upstream.Attempt{
		ID:               fmt.Sprintf("%s.%d", j.id, number),
		Request:          j.id,
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
		NonIdempotent:    j.nonIdempotent(),
	}
}

// final reports whether the result of the attempt is the response to the caller.
func (d *dispatch) final(res attemptResult) bool {
	return res.err == nil && (res.resp.Status < http.StatusInternalServerError || d.job.nonIdempotent())
}

// mayRetry records the result of an attempt and reports whether another one may follow;
// a retry is taken from the retry budget unless the attempt did not reach the upstream.
func (d *dispatch) mayRetry(res attemptResult) bool {
	d.maybeRan = d.maybeRan || res.err == nil || mayHaveRun(res.err)
	if notRun(res.err) || notDelivered(res.err) {
		d.sent--
	}
	if len(d.tried) >= maxAttempts || !d.job.body.CanOpen() {
		return false
	}
	if notDelivered(res.err) {
		return true
	}
	if d.sent >= d.sendLimit() {
		return false
	}
	if notRun(res.err) || !d.job.nonIdempotent() {
		return d.takeRetry()
	}
	return false
}

// notDelivered reports whether the attempt certainly did not reach the upstream, so that a retry adds no load to any upstream.
func notDelivered(err error) bool {
	var transportErr *peer.TransportError
	if errors.As(err, &transportErr) {
		return !transportErr.Sent()
	}
	var e *outcome.Error
	return errors.As(err, &e) && e.Outcome == outcome.NotRun &&
		(e.Code == outcome.CodeOverload || e.Code == outcome.CodeDraining || e.Code == outcome.CodeNoBundle || e.Code == outcome.CodeSuspect)
}

// sendLimit returns how many upstreams the request may be sent to.
func (d *dispatch) sendLimit() int {
	if n := d.job.match.Attempts(); n > 0 {
		return n
	}
	return maxSent
}

func mayHaveRun(err error) bool {
	var transportErr *peer.TransportError
	if errors.As(err, &transportErr) {
		return transportErr.Sent()
	}
	return !notRun(err)
}

func notRun(err error) bool {
	var e *outcome.Error
	return errors.As(err, &e) && e.Outcome == outcome.NotRun
}

// finish returns the result of one attempt, cancels the others and closes their late responses.
func (d *dispatch) finish(res attemptResult) (*upstream.Response, error) {
	running := d.pending
	go func() {
		for range running {
			late := <-d.results
			if late.resp != nil && late.err == nil {
				_ = late.resp.Reader().Close()
			}
		}
	}()
	winner := len(d.cancels)
	if res.err == nil {
		winner = d.attemptIndex(res.choice)
	}
	for i, cancel := range d.cancels {
		if i != winner {
			cancel()
		}
	}
	if res.err != nil {
		return nil, d.callerError(res.err)
	}
	if res.resp.Body != nil {
		res.resp.Body = &cancelBody{ReadCloser: res.resp.Body, cancel: res.cancel}
		return res.resp, nil
	}
	res.cancel()
	return res.resp, nil
}

func (d *dispatch) attemptIndex(c routing.Choice) int {
	for i, id := range d.tried {
		if id == c.ID {
			return i
		}
	}
	return len(d.tried)
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

// callerError converts the error of the last attempt to the one for the caller; its outcome is not-run only if no attempt may have run.
func (d *dispatch) callerError(err error) error {
	var transportErr *peer.TransportError
	if errors.As(err, &transportErr) {
		o := outcome.Unknown
		if !transportErr.Sent() {
			o = outcome.NotRun
		}
		err = outcome.NewError(o, outcome.CodePathLost, transportErr)
	}
	var e *outcome.Error
	if !errors.As(err, &e) {
		e = outcome.NewError(outcome.Unknown, outcome.CodePathLost, err)
	}
	if e.Outcome == outcome.NotRun && (d.maybeRan || d.pending > 0) {
		return outcome.NewError(outcome.Unknown, e.Code, e.Err)
	}
	if e.Code == outcome.CodeOverload {
		e.RetryAfter = retryAfter
	}
	return e
}
