package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/retry"
	"github.com/jasminevane/jasminevane/routing"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// Limits of the attempts of one request.
const (
	maxOtherRegionAttempts = 1           // maximum number of attempts per request at upstreams in other regions
	maxAttempts            = 5           // maximum number of attempts per request, including attempts that the upstream rejected
	defaultMaxSentAttempts = 4           // maximum number of attempts per request that may reach an upstream, if the route sets no limit
	retryAfter             = time.Second // value of the Retry-After header if a request is rejected
)

// attemptResult is the result of one finished attempt.
type attemptResult struct {
	choice  routing.Choice
	resp    *upstream.Response
	err     error
	cancel  context.CancelFunc
	summary attemptSummary
}

// discard ends an attempt whose response, if it has one, isn't sent to the caller. A response that isn't closed holds its slot at the upstream.
func (r *attemptResult) discard() {
	if r.resp != nil && r.err == nil {
		_ = r.resp.Reader().Close()
	}
	r.cancel()
}

// dispatcher runs the attempts of one request. It retries after a failure if the request allows it,
// and sends hedged attempts in parallel if an attempt is slow and the request is idempotent.
type dispatcher struct {
	node                *Node
	req                 *forwardedRequest
	state               *serviceState
	classIndex          int
	triedIDs            []string // IDs of the upstreams of all attempts so far, in the order of the attempts
	sentAttempts        int      // number of attempts that may have reached an upstream
	otherRegionAttempts int      // number of attempts at upstreams in other regions
	pendingAttempts     int      // number of attempts without a result yet
	results             chan attemptResult
	pathLost            chan struct{}        // receives a value if the node of a pending attempt's upstream stops responding
	cancelFuncs         []context.CancelFunc // cancel functions of the attempts, in the same order as triedIDs
	requestMayHaveRun   bool                 // whether an upstream may have executed the request
	doubtful            bool                 // whether the first attempt went to an upstream that is likely unhealthy
}

// dispatchRequest sends the request to an upstream, with retries and hedged attempts. A returned error is an *outcome.Error.
func (n *Node) dispatchRequest(ctx context.Context, req *forwardedRequest) (*upstream.Response, error) {
	state := (*n.services.Load())[req.match.Service.Name()]
	if state == nil {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeNoBundle, nil)
	}
	classIndex, ok := state.lookupClassIndex(req.match.Class.Name())
	if !ok {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeNoBundle, nil)
	}
	state.mu.Lock()
	state.retryBudget.RecordRequest(time.Now())
	state.mu.Unlock()
	dispatch := &dispatcher{node: n, req: req, state: state, classIndex: classIndex, results: make(chan attemptResult, maxAttempts), pathLost: make(chan struct{}, maxAttempts)}
	return dispatch.runAttempts(ctx)
}

func (d *dispatcher) runAttempts(ctx context.Context) (*upstream.Response, error) {
	start := time.Now()
	if err := d.launchAttempt(ctx, false); err != nil {
		return nil, err
	}
	hedge := retry.NewHedge(d.typicalLatency(), d.req.deadline.Sub(start), d.doubtful)
	hedgeTimer := time.NewTimer(hedge.Next())
	defer hedgeTimer.Stop()
	for {
		select {
		case res := <-d.results:
			d.pendingAttempts--
			d.recordSummary(res.summary)
			if d.isFinal(res) {
				return d.finish(res)
			}
			if ctx.Err() == nil && d.prepareRetry(res) && d.launchAttempt(ctx, false) == nil {
				res.discard()
				continue
			}
			if d.pendingAttempts == 0 {
				return d.finish(res)
			}
			res.discard()
		case <-hedgeTimer.C:
			if !d.canHedge() {
				continue
			}
			if d.hedge(ctx, hedge.RequiresSpare()) {
				hedge.Started()
			} else {
				hedge.Failed()
			}
			hedgeTimer.Reset(time.Until(start.Add(hedge.Next())))
		case <-d.pathLost:
			if d.canHedge() {
				d.hedge(ctx, false)
			}
		}
	}
}

// canHedge reports whether the request may be sent to another upstream while an attempt is pending.
func (d *dispatcher) canHedge() bool {
	return !d.req.nonIdempotent() && d.req.body.Replayable() && len(d.triedIDs) < maxAttempts && d.sentAttempts < d.maxSentAttempts()
}

// hedge starts a hedged attempt if the retry budget and the upstreams allow it, and reports whether it did.
// If requireSpare is true, only upstreams with spare capacity are used.
func (d *dispatcher) hedge(ctx context.Context, requireSpare bool) bool {
	grant, ok := d.takeRetry()
	if !ok {
		return false
	}
	if d.launchAttempt(ctx, requireSpare) != nil {
		d.returnRetry(grant)
		return false
	}
	return true
}

func (d *dispatcher) recordSummary(summary attemptSummary) {
	if d.req.attemptSummaries != nil {
		*d.req.attemptSummaries = append(*d.req.attemptSummaries, summary.String())
	}
}

// typicalLatency returns the median service time of the class over the upstreams of the service.
func (d *dispatcher) typicalLatency() time.Duration {
	d.state.mu.Lock()
	defer d.state.mu.Unlock()
	return d.state.balancer.TypicalServiceTime(time.Now(), d.classIndex, d.req.match.Class.Objective())
}

// returnRetry gives a retry that was not sent back to the retry budget.
func (d *dispatcher) returnRetry(grant retry.Grant) {
	d.state.mu.Lock()
	defer d.state.mu.Unlock()
	d.state.retryBudget.Return(grant)
}

// takeRetry takes one retry from the retry budget and reports whether the budget allowed it.
func (d *dispatcher) takeRetry() (retry.Grant, bool) {
	d.state.mu.Lock()
	defer d.state.mu.Unlock()
	return d.state.retryBudget.Take(time.Now())
}

// launchAttempt starts an attempt at an upstream that this request has not tried yet.
func (d *dispatcher) launchAttempt(ctx context.Context, requireSpare bool) error {
	now := time.Now()
	if !now.Before(d.req.deadline) {
		return outcome.NewError(outcome.NotRun, outcome.CodeExpired, nil)
	}
	query := routing.Query{
		NonIdempotent:       d.req.nonIdempotent(),
		ClassIndex:          d.classIndex,
		ExcludedIDs:         d.triedIDs,
		AllowOtherRegion:    d.req.match.Class.Spill() && d.otherRegionAttempts < maxOtherRegionAttempts && d.node.linkHasCapacity(),
		RequireFreeCapacity: requireSpare,
		Objective:           d.req.match.Class.Objective(),
		Priority:            d.req.effectivePriority(),
		TimeLeft:            d.req.deadline.Sub(now),
		DueTrialID:          d.node.dueTrial(now, d.state.name),
	}
	d.state.mu.Lock()
	query.AllowTrial = d.state.retryBudget.Available(now) && d.maxSentAttempts() > 1 && d.req.body.Replayable()
	choice, err := d.state.balancer.Pick(now, query, d.state.random)
	typical := d.state.balancer.TypicalServiceTime(now, d.classIndex, query.Objective)
	d.state.mu.Unlock()
	if err != nil {
		if d.pendingAttempts == 0 { // a hedge is tried again and again; only what the caller is told is recorded
			d.node.metrics.recordIngressRefusal(d.state.name, d.req.match.Class.Name(), err)
			d.recordSummary(attemptSummary{upstreamID: "none", startDelay: now.Sub(d.req.startTime), result: err.Error()})
		}
		return d.noUpstreamError(err)
	}
	d.doubtful = d.doubtful || len(d.triedIDs) == 0 && (choice.Trial || choice.Forced)
	d.triedIDs = append(d.triedIDs, choice.ID)
	d.sentAttempts++
	if choice.Tier == routing.OtherRegion {
		d.otherRegionAttempts++
	}
	d.pendingAttempts++
	attemptCtx, cancel := context.WithCancel(ctx)
	d.cancelFuncs = append(d.cancelFuncs, cancel)
	attempt := d.newAttempt(len(d.triedIDs))
	attempt.TypicalLatency, attempt.Forced = typical, choice.Forced
	summary := attemptSummary{upstreamID: choice.ID, startDelay: now.Sub(d.req.startTime), choice: choice}
	go func() {
		resp, err := d.node.sendAttempt(attemptCtx, d.state, d.classIndex, choice, attempt, func() { d.pathLost <- struct{}{} })
		summary.duration, summary.result = time.Since(now), resultText(resp, err)
		d.results <- attemptResult{choice: choice, resp: resp, err: err, cancel: cancel, summary: summary}
	}()
	return nil
}

func (d *dispatcher) noUpstreamError(err error) error {
	rejection := outcome.NewError(outcome.NotRun, outcome.CodeNoUpstream, err)
	var routingErr *routing.Error
	if errors.As(err, &routingErr) && routingErr.Reason() == routing.Overloaded {
		rejection.Code, rejection.RetryAfter = outcome.CodeOverload, d.returnTime(routingErr.RetryAfter())
	}
	return rejection
}

func (d *dispatcher) newAttempt(number int) *upstream.Attempt {
	req := d.req
	return &upstream.Attempt{
		ID:               fmt.Sprintf("%s.%d", req.requestID, number),
		RequestID:        req.requestID,
		Origin:           req.originService,
		Caller:           req.caller,
		Prioritized:      req.prioritized,
		Priority:         req.priority,
		Class:            req.match.Class.Name(),
		Arrived:          req.arrived,
		Deadline:         req.deadline,
		AbsoluteDeadline: req.hasKey,
		Method:           req.method,
		URI:              req.uri,
		Host:             req.host,
		Header:           req.header.Clone(),
		Body:             req.body.Open(),
		Length:           req.body.Len(),
		NonIdempotent:    req.nonIdempotent(),
	}
}

// isFinal reports whether the attempt's response is returned to the caller without a further attempt.
func (d *dispatcher) isFinal(res attemptResult) bool {
	return res.err == nil && (res.resp.Status < http.StatusInternalServerError || d.req.nonIdempotent())
}

// prepareRetry records the result of an attempt and reports whether the request may be retried.
// It takes a retry from the retry budget unless the attempt did not reach the upstream.
func (d *dispatcher) prepareRetry(res attemptResult) bool {
	d.requestMayHaveRun = d.requestMayHaveRun || res.err == nil || mayHaveRun(res.err)
	if notRun(res.err) || notDelivered(res.err) {
		d.sentAttempts--
	}
	if len(d.triedIDs) >= maxAttempts || !d.req.body.CanOpen() {
		return false
	}
	if notDelivered(res.err) {
		return true
	}
	if d.sentAttempts >= d.maxSentAttempts() {
		return false
	}
	if notRun(res.err) || !d.req.nonIdempotent() {
		_, ok := d.takeRetry()
		return ok
	}
	return false
}

// notDelivered reports whether the attempt certainly did not reach the upstream. A retry then adds no load to the upstreams.
func notDelivered(err error) bool {
	var transportErr *peer.TransportError
	if errors.As(err, &transportErr) {
		return !transportErr.Sent()
	}
	var outcomeErr *outcome.Error
	return errors.As(err, &outcomeErr) && outcomeErr.Outcome == outcome.NotRun &&
		(outcomeErr.Code == outcome.CodeOverload || outcomeErr.Code == outcome.CodeDraining || outcomeErr.Code == outcome.CodeNoBundle || outcomeErr.Code == outcome.CodeSuspect)
}

// maxSentAttempts returns the maximum number of attempts that may reach an upstream.
func (d *dispatcher) maxSentAttempts() int {
	if routeLimit := d.req.match.MaxAttempts(); routeLimit > 0 {
		return routeLimit
	}
	return defaultMaxSentAttempts
}

func mayHaveRun(err error) bool {
	var transportErr *peer.TransportError
	if errors.As(err, &transportErr) {
		return transportErr.Sent()
	}
	return !notRun(err)
}

func notRun(err error) bool {
	var outcomeErr *outcome.Error
	return errors.As(err, &outcomeErr) && outcomeErr.Outcome == outcome.NotRun
}

// finish returns the result of one attempt to the caller, cancels the other attempts and closes responses that arrive later.
func (d *dispatcher) finish(res attemptResult) (*upstream.Response, error) {
	unfinishedAttempts := d.pendingAttempts
	go func() {
		for range unfinishedAttempts {
			lateResult := <-d.results
			lateResult.discard()
		}
	}()
	winnerIndex := len(d.cancelFuncs)
	if res.err == nil {
		winnerIndex = d.attemptIndex(res.choice)
	}
	for i, cancel := range d.cancelFuncs {
		if i != winnerIndex {
			cancel()
		}
	}
	if res.err != nil {
		return nil, d.callerError(res.err)
	}
	if res.resp.Body != nil {
		res.resp.Body = &cancelOnCloseBody{ReadCloser: res.resp.Body, cancel: res.cancel}
		return res.resp, nil
	}
	res.cancel()
	return res.resp, nil
}

func (d *dispatcher) attemptIndex(choice routing.Choice) int {
	for i, id := range d.triedIDs {
		if id == choice.ID {
			return i
		}
	}
	return len(d.triedIDs)
}

// cancelOnCloseBody is a response body whose Close also cancels the context of its attempt.
type cancelOnCloseBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelOnCloseBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// callerError converts the error of the last attempt to the error for the caller.
// The outcome is not-run only if no upstream can have executed the request.
func (d *dispatcher) callerError(err error) error {
	var transportErr *peer.TransportError
	if errors.As(err, &transportErr) {
		pathLostOutcome := outcome.Unknown
		if !transportErr.Sent() {
			pathLostOutcome = outcome.NotRun
		}
		err = outcome.NewError(pathLostOutcome, outcome.CodePathLost, transportErr)
	}
	var outcomeErr *outcome.Error
	if !errors.As(err, &outcomeErr) {
		outcomeErr = outcome.NewError(outcome.Unknown, outcome.CodePathLost, err)
	}
	if outcomeErr.Outcome == outcome.NotRun && (d.requestMayHaveRun || d.pendingAttempts > 0) {
		return outcome.NewError(outcome.Unknown, outcomeErr.Code, outcomeErr.Err)
	}
	if outcomeErr.Code == outcome.CodeOverload {
		outcomeErr.RetryAfter = d.returnTime(outcomeErr.RetryAfter)
	}
	return outcomeErr
}
