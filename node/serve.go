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

// Parameters of health queries, which are sent to an upstream's node while an attempt gets no response.
const (
	healthQueryDelay   = 400 * time.Millisecond // minimum time without a response before the query
	healthQueryRatio   = 3                      // ratio of that time to the typical service time
	healthQueryTimeout = 300 * time.Millisecond
	pathLostAfter      = 450 * time.Millisecond // time after which a transport error counts as a lost path even if the request was sent
)

// job is a caller's request that is to run on one of the upstreams of a service.
type job struct {
	id       string
	match    bundle.Match
	deadline time.Time
	origin   string
	keyed    bool
	start    time.Time
	steps    *[]string // filled by run for the log line; nil if no line is written
	method   string
	uri      string
	host     string
	header   http.Header
	body     *caller.Body
}

func (j *job) nonIdempotent() bool { return !j.match.Class.Idempotent() }

// Serve implements caller.Fleet.
func (n *Node) Serve(ctx context.Context, r *caller.Request) (*upstream.Response, error) {
	n.splitRoute(r)
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
	if j.nonIdempotent() && r.Key != "" {
		j.keyed = true
		return n.serveKeyed(ctx, j, r)
	}
	j.steps = &r.Steps
	return n.run(ctx, j)
}

// origin returns the service of the instance that the node runs on: that of the upstream beside it or,
// before the upstream has announced itself, the one in the settings.
func (n *Node) origin() string {
	for _, g := range n.gates.all() {
		return g.Announcement().Service
	}
	return *n.upstreamService.Load()
}

// sendAttempt sends one attempt to its upstream and records in svc what it showed of load and path;
// onPathLost is called if the upstream's node stops responding meanwhile.
func (n *Node) sendAttempt(ctx context.Context, svc *serviceState, class int, c routing.Choice, a *upstream.Attempt, onPathLost func()) (*upstream.Response, error) {
	start := time.Now()
	stop := n.watchAttempt(svc, class, c, a.Class, onPathLost)
	resp, err := n.deliver(ctx, c, a)
	stop()
	took := time.Since(start)
	n.metrics.recordAttempt(svc.name, a.Class, n.dataCentre(c.Node), resp, err, took)
	o := observe(resp, err, took)
	svc.mu.Lock()
	svc.balancer.Finish(time.Now(), c, class, o)
	svc.mu.Unlock()
	if c.Trial {
		n.events.Add(event.Event{Kind: event.Trial, Upstream: c.ID, Request: a.ID, Text: resultText(resp, err)})
	}
	if o.PathLost {
		n.events.Add(event.Event{Kind: event.Avoid, Upstream: c.ID, Request: a.ID, Text: err.Error()})
	}
	if err == nil && c.Tier == routing.OtherRegion {
		n.chargeLink(a.Length + resp.Length)
	}
	return resp, err
}

// dataCentre returns the data centre of the named node, or an empty string if it is no longer a member.
func (n *Node) dataCentre(node string) string {
	if node == n.cfg.Name {
		return n.cfg.DataCentre
	}
	return n.view.Load().byName[node].DataCentre
}

func (n *Node) deliver(ctx context.Context, c routing.Choice, a *upstream.Attempt) (*upstream.Response, error) {
	id := c.ID[len(c.Node)+1:]
	if c.Node == n.cfg.Name {
		return n.Attempt(ctx, id, a)
	}
	m, ok := n.view.Load().byName[c.Node]
	if !ok {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeDraining, errors.New("node is no longer a member"))
	}
	return n.client.Forward(ctx, m.Address, id, a)
}

// Attempt implements peer.Receiver.
func (n *Node) Attempt(ctx context.Context, id string, a *upstream.Attempt) (*upstream.Response, error) {
	g := n.gates.get(id)
	if g == nil {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeDraining, errors.Errorf("no upstream %s at this node", id))
	}
	resp, err := g.Do(ctx, a)
	n.logFailedAttempt(id, a, g, resp, err)
	load := g.Load(a.Class).String()
	if err != nil {
		return &upstream.Response{Load: load}, err
	}
	resp.Load = load
	return resp, nil
}

// observe returns what an attempt showed of the upstream's load and of the path to it.
func observe(resp *upstream.Response, err error, took time.Duration) routing.Observation {
	var o routing.Observation
	if resp != nil && resp.Load != "" {
		if load, parseErr := upstream.ParseLoad(resp.Load); parseErr == nil {
			o = loadObservation(load)
		}
	}
	var transportErr *peer.TransportError
	if errors.As(err, &transportErr) {
		o.PathLost = !transportErr.Sent() || took > pathLostAfter
	}
	return o
}

func loadObservation(load upstream.Load) routing.Observation {
	return routing.Observation{Load: load.Load, Refusing: load.Refusing, Evidence: load.Class, Suspicion: load.Suspicion, Reported: true}
}

// watchAttempt queries the node of an upstream if an attempt gets no response, to tell a stuck upstream from a lost path.
func (n *Node) watchAttempt(svc *serviceState, class int, c routing.Choice, className string, onPathLost func()) (stop func()) {
	if c.Node == n.cfg.Name {
		return func() {}
	}
	svc.mu.Lock()
	delay := max(healthQueryDelay, healthQueryRatio*svc.balancer.TypicalServiceTime(time.Now(), class))
	svc.mu.Unlock()
	t := time.AfterFunc(delay, func() {
		if n.queryHealth(svc, class, c, className) != nil {
			onPathLost()
		}
	})
	return func() { t.Stop() }
}

// queryHealth asks the node of an upstream for the upstream's health and records it in svc;
// if the node does not respond, the upstream is marked as unreachable.
func (n *Node) queryHealth(svc *serviceState, class int, c routing.Choice, className string) error {
	m, ok := n.view.Load().byName[c.Node]
	if !ok {
		return errors.Errorf("node %s is no longer a member", c.Node)
	}
	ctx, cancel := context.WithTimeout(context.Background(), healthQueryTimeout)
	defer cancel()
	standing, err := n.client.Standing(ctx, m.Address, c.ID[len(c.Node)+1:], className)
	load, parseErr := upstream.ParseLoad(standing)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if err != nil || parseErr != nil {
		n.client.Reset(m.Address)
		svc.balancer.MarkUnreachable(time.Now(), c.ID)
		return errors.Errorf("node %s does not respond", c.Node)
	}
	svc.balancer.RecordReport(time.Now(), c.ID, class, loadObservation(load))
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
