package node

import (
	"context"
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

// Parameters of health queries. If an attempt has had no response for some time, the node sends a health query to the upstream's node.
const (
	minHealthQueryDelay    = 400 * time.Millisecond // minimum time without a response before a health query
	healthQueryDelayFactor = 3                      // ratio of the health query delay to the typical service time
	healthQueryTimeout     = 300 * time.Millisecond // maximum time for the response to a health query
	pathLostThreshold      = 450 * time.Millisecond // a transport error after this time counts as a lost path even if the request was sent
)

// forwardedRequest is a caller's request that is forwarded to an upstream of a service, at this node or another.
type forwardedRequest struct {
	requestID        string
	caller           string // name of the caller that was identified by its key, or empty
	prioritized      bool   // priority replaces the priority of the class
	priority         int
	match            bundle.Match
	deadline         time.Time
	originService    string // service of the upstream beside the node that received the request from the caller
	hasKey           bool   // whether the request is non-idempotent and has an idempotency key
	startTime        time.Time
	arrived          time.Time // time of arrival; zero unless admission is by cost to callers
	attemptSummaries *[]string // filled by dispatchRequest for the request log; nil if the request is not logged
	method           string
	uri              string
	host             string
	header           http.Header
	body             *caller.Body
}

func (r *forwardedRequest) nonIdempotent() bool { return !r.match.Class.Idempotent() }

// Serve implements caller.Fleet. It forwards a request to an upstream and returns the upstream's response. A request that has not run
// doesn't count against the limit of its caller.
func (n *Node) Serve(ctx context.Context, r *caller.Request) (*upstream.Response, error) {
	resp, err := n.forward(ctx, r)
	if notRun(err) {
		n.limits.Return(r.Caller)
	}
	return resp, err
}

func (n *Node) forward(ctx context.Context, r *caller.Request) (*upstream.Response, error) {
	n.splitRoute(r)
	now := time.Now()
	req := &forwardedRequest{
		requestID:     r.ID,
		originService: n.originService(),
		startTime:     now,
		prioritized:   r.Prioritized,
		priority:      r.Priority,
		arrived:       n.arrivalForAdmission(now),
		match:         r.Match,
		deadline:      r.Deadline,
		method:        r.HTTP.Method,
		uri:           r.Target.String(),
		host:          r.HTTP.Host,
		header:        upstream.CleanHeader(r.HTTP.Header),
		body:          r.Body,
	}
	if r.Identified {
		req.caller = r.Caller
	}
	if req.nonIdempotent() && r.Key != "" {
		req.hasKey = true
		return n.serveKeyed(ctx, req, r)
	}
	req.attemptSummaries = &r.Steps
	return n.dispatchRequest(ctx, req)
}

// originService returns the service of the upstream beside the node: the one that the settings name, or else that of the upstream that
// started last.
func (n *Node) originService() string {
	if named := *n.upstreamService.Load(); named != "" {
		return named
	}
	return n.gates.newestService()
}

// sendAttempt sends one attempt to its upstream and records in state the observed load and whether the path was lost.
// It calls onPathLost if the upstream's node does not respond to a health query.
func (n *Node) sendAttempt(ctx context.Context, state *serviceState, classIndex int, choice routing.Choice, attempt *upstream.Attempt, onPathLost func()) (*upstream.Response, error) {
	startTime := time.Now()
	stopWatching := n.watchAttempt(state, classIndex, choice, attempt, onPathLost)
	resp, err := n.deliver(ctx, choice, attempt)
	stopWatching()
	duration := time.Since(startTime)
	n.metrics.recordAttempt(state.name, attempt.Class, n.dataCentre(choice.Node), resp, err, duration)
	observation := observeAttempt(resp, err, duration)
	n.metrics.recordRefusal(state.name, attempt.Class, err)
	state.mu.Lock()
	state.balancer.Finish(time.Now(), choice, classIndex, observation)
	state.mu.Unlock()
	if choice.Trial {
		n.events.Add(event.Event{Kind: event.Trial, Upstream: choice.ID, Request: attempt.ID, Text: resultText(resp, err)})
	}
	if observation.PathLost {
		n.events.Add(event.Event{Kind: event.Avoid, Upstream: choice.ID, Request: attempt.ID, Text: err.Error()})
	}
	if err == nil && choice.Tier == routing.OtherRegion {
		n.chargeLink(attempt.Length + resp.Length)
	}
	return resp, err
}

// dataCentre returns the data centre of the named node, or an empty string if it is no longer a member.
func (n *Node) dataCentre(nodeName string) string {
	if nodeName == n.cfg.Name {
		return n.cfg.DataCentre
	}
	m, _ := n.view.member(nodeName)
	return m.DataCentre
}

func (n *Node) deliver(ctx context.Context, choice routing.Choice, attempt *upstream.Attempt) (*upstream.Response, error) {
	upstreamID := choice.ID[len(choice.Node)+1:]
	if choice.Node == n.cfg.Name {
		return n.Attempt(ctx, upstreamID, attempt)
	}
	member, ok := n.view.member(choice.Node)
	if !ok {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeDraining, errors.New("node is no longer a member"))
	}
	return n.client.Forward(ctx, member.Address, upstreamID, attempt)
}

// Attempt implements peer.Receiver. It sends an attempt to an upstream beside this node.
func (n *Node) Attempt(ctx context.Context, upstreamID string, attempt *upstream.Attempt) (*upstream.Response, error) {
	gate := n.gates.get(upstreamID)
	if gate == nil {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeDraining, errors.Errorf("no upstream %s at this node", upstreamID))
	}
	if err := n.limitAttemptByStop(attempt); err != nil {
		return &upstream.Response{Load: gate.Load(attempt.Class).String()}, err
	}
	resp, err := gate.Do(ctx, attempt)
	n.logFailedAttempt(upstreamID, attempt, gate, resp, err)
	load := gate.Load(attempt.Class).String()
	if err != nil {
		return &upstream.Response{Load: load}, err
	}
	resp.Load = load
	resp.Bound(n.streams)
	return resp, nil
}

// observeAttempt returns the upstream's load as reported with the response, and whether the path to the upstream was lost.
func observeAttempt(resp *upstream.Response, err error, duration time.Duration) routing.Observation {
	var observation routing.Observation
	if resp != nil && resp.Load != "" {
		if load, parseErr := upstream.ParseLoad(resp.Load); parseErr == nil {
			observation = loadObservation(load)
		}
	}
	var outcomeErr *outcome.Error
	if errors.As(err, &outcomeErr) && outcomeErr.Code == outcome.CodeOverload {
		observation.RetryAfter = outcomeErr.RetryAfter
	}
	var transportErr *peer.TransportError
	if errors.As(err, &transportErr) {
		observation.PathLost = !transportErr.Sent() || duration > pathLostThreshold
	}
	return observation
}

func loadObservation(load upstream.Load) routing.Observation {
	return routing.Observation{Load: load.Load, Refusing: load.Refusing, RefusedFrom: load.RefusedFrom, ClassReport: load.ClassReport, Suspicion: load.Suspicion, Reported: true}
}

// watchAttempt starts a timer that queries the upstream's node if the attempt gets no response in time. The query tells
// a hanging upstream from a lost path. The returned function stops the timer.
func (n *Node) watchAttempt(state *serviceState, classIndex int, choice routing.Choice, attempt *upstream.Attempt, onPathLost func()) (stop func()) {
	if choice.Node == n.cfg.Name {
		return func() {}
	}
	delay := max(minHealthQueryDelay, healthQueryDelayFactor*attempt.TypicalLatency)
	timer := time.AfterFunc(delay, func() {
		if n.queryHealth(state, classIndex, choice, attempt.Class) != nil {
			onPathLost()
		}
	})
	return func() { timer.Stop() }
}

// queryHealth asks the node of an upstream for the upstream's health and records the health in state.
// If the node does not respond, the upstream is marked as unreachable.
func (n *Node) queryHealth(state *serviceState, classIndex int, choice routing.Choice, className string) error {
	member, ok := n.view.member(choice.Node)
	if !ok {
		return errors.Errorf("node %s is no longer a member", choice.Node)
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthQueryTimeout)
	defer cancel()
	loadText, err := n.client.UpstreamLoad(ctx, member.Address, choice.ID[len(choice.Node)+1:], className)
	load, parseErr := upstream.ParseLoad(loadText)
	state.mu.Lock()
	defer state.mu.Unlock()
	if err != nil || parseErr != nil {
		state.balancer.MarkUnreachable(time.Now(), choice.ID)
		return errors.Errorf("node %s does not respond", choice.Node)
	}
	state.balancer.RecordReport(time.Now(), choice.ID, classIndex, loadObservation(load))
	return nil
}

// UpstreamLoad implements peer.Node. It returns the load of an upstream beside this node for one class, in text form.
func (n *Node) UpstreamLoad(upstreamID, className string) (string, bool) {
	gate := n.gates.get(upstreamID)
	if gate == nil {
		return "", false
	}
	return gate.Load(className).String(), true
}
