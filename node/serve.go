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

// Parameters of the questions about silent attempts.
const (
	askAfter     = 400 * time.Millisecond // time after which the node of a silent upstream is asked for its state
	askRatio     = 3                      // ratio to the group's mean after which it is asked
	askTimeout   = 300 * time.Millisecond
	pathPatience = 450 * time.Millisecond // silence after which the path is doubted
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
func (n *Node) Serve(ctx context.Context, r *caller.Request) (*upstream.Response, error) {
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
		return g.Announcement().Service
	}
	return *n.service.Load()
}

// send carries one attempt to its upstream and tells the lane what it showed; lost is called where the upstream's node does not answer meanwhile.
func (n *Node) send(ctx context.Context, l *lane, class int, c routing.Choice, a *upstream.Attempt, lost func()) (*upstream.Response, error) {
	start := time.Now()
	stop := n.watch(l, class, c, a.Class, lost)
	ans, err := n.carry(ctx, c, a)
	stop()
	took := time.Since(start)
	n.metrics.attempt(l.service, a.Class, n.dataCentre(c.Node), ans, err, took)
	o := observe(ans, err, took)
	l.mu.Lock()
	l.group.Finish(time.Now(), c, class, o)
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

func (n *Node) carry(ctx context.Context, c routing.Choice, a *upstream.Attempt) (*upstream.Response, error) {
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
func (n *Node) Attempt(ctx context.Context, id string, a *upstream.Attempt) (*upstream.Response, error) {
	g := n.gates.get(id)
	if g == nil {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeDraining, errors.Errorf("upstream %s is not here", id))
	}
	ans, err := g.Do(ctx, a)
	n.noteAttempt(id, a, g, ans, err)
	load := g.Load(a.Class).String()
	if err != nil {
		return &upstream.Response{Load: load}, err
	}
	ans.Load = load
	return ans, nil
}

// observe condenses what an attempt showed of the load and of the path.
func observe(ans *upstream.Response, err error, took time.Duration) routing.Observation {
	var o routing.Observation
	if ans != nil && ans.Load != "" {
		if load, perr := upstream.ParseLoad(ans.Load); perr == nil {
			o = observation(load)
		}
	}
	var path *peer.TransportError
	if errors.As(err, &path) {
		o.PathLost = !path.Sent() || took > pathPatience
	}
	return o
}

func observation(l upstream.Load) routing.Observation {
	return routing.Observation{Load: l.Load, Refusing: l.Refusing, Evidence: l.ClassReport, Suspicion: l.Suspicion, Reported: true}
}

// watch asks the node of an upstream for its state when an attempt stays silent, which tells a stuck upstream from a lost path.
func (n *Node) watch(l *lane, class int, c routing.Choice, name string, lost func()) (stop func()) {
	if c.Node == n.cfg.Name {
		return func() {}
	}
	l.mu.Lock()
	after := max(askAfter, askRatio*l.group.TypicalServiceTime(time.Now(), class))
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
	text, err := n.client.UpstreamLoad(ctx, m.Address, c.ID[len(c.Node)+1:], name)
	load, perr := upstream.ParseLoad(text)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil || perr != nil {
		n.client.Reset(m.Address)
		l.group.MarkUnreachable(time.Now(), c.ID)
		return errors.Errorf("node %s does not answer", c.Node)
	}
	l.group.RecordReport(time.Now(), c.ID, class, observation(load))
	return nil
}

// UpstreamLoad implements peer.Node.
func (n *Node) UpstreamLoad(id, class string) (string, bool) {
	g := n.gates.get(id)
	if g == nil {
		return "", false
	}
	return g.Load(class).String(), true
}
