package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/outlier"
	"github.com/pkg/errors"
)

// Headers of the contract with upstreams.
const (
	AttemptHeader  = "Attempt-Id"       // sent with a request and repeated in its answer
	TimeoutHeader  = "Request-Timeout"  // milliseconds left for the work
	DeadlineHeader = "Request-Deadline" // milliseconds since 1970 after which the work must not start
	keyHeader      = "Idempotency-Key"
	ShedHeader     = "Shed" // reason for which the upstream did not start the work
)

// Parameters of the exchange with an upstream.
const (
	wholeAnswer    = 64 << 10               // bytes of an answer that are read whole before it is passed on
	dialTimeout    = 500 * time.Millisecond // time to connect to an upstream on the same instance
	idleTimeout    = 30 * time.Second
	tickInterval   = 20 * time.Millisecond  // interval at which queued work is checked against its deadline
	slowTimeout    = 3                      // ratio of the mean beyond which a timeout counts against the upstream
	longTimeout    = 500 * time.Millisecond // timeout that counts against the upstream in any case
	defaultConns   = 100                    // connections where the upstream names no bound
	deadlineMargin = 5 * time.Millisecond   // part of the deadline kept for passing on the answer
)

// Attempt is one try of a request at one upstream.
type Attempt struct {
	ID       string
	Class    string
	Deadline time.Time
	Method   string
	URI      string
	Host     string
	Header   http.Header
	Body     io.Reader
	Length   int64         // bytes of the body, or -1
	Once     bool          // the work must not run twice
	Usual    time.Duration // time that the class usually takes in its group, or 0
}

// Answer is a whole answer, or the head of one that is streamed.
type Answer struct {
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
	whole     outlier.Sampler
	usual     map[uint64]time.Duration // of running work
	suspected time.Time
	ctl       *admission.Controller
	waiting   map[uint64]chan admission.Verdict
	nextID    uint64
	client    *http.Transport
}

// NewGate returns the gate of an announced upstream.
func NewGate(a Announcement, classes []admission.Class, now time.Time) *Gate {
	g := &Gate{waiting: make(map[uint64]chan admission.Verdict), usual: make(map[uint64]time.Duration), ctl: admission.New(a.Slots, nil)}
	conns := a.Connections
	if conns == 0 {
		conns = defaultConns
	}
	d := net.Dialer{Timeout: dialTimeout}
	g.client = &http.Transport{
		DialContext:         d.DialContext,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	g.spec = a
	g.SetClasses(classes)
	g.Renew(a, now)
	return g
}

// Renew takes a later announcement of the same upstream and reports whether anything but the time changed.
func (g *Gate) Renew(a Announcement, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	changed := a != g.spec
	if a.Slots != g.spec.Slots {
		g.ctl.SetSlots(a.Slots)
	}
	g.spec = a
	g.expires = now.Add(ExpireAfter)
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

// Spec returns the last announcement.
func (g *Gate) Spec() Announcement {
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

// Running returns the number of requests that the upstream is running or that wait for it.
func (g *Gate) Running() int {
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
	l := Load{Load: g.ctl.Load(now)}
	i, ok := g.classes[class]
	if !ok {
		i = -1
	}
	var own, all []outlier.Running
	g.ctl.Each(func(id uint64, class int, start time.Time) {
		w := outlier.Running{Age: now.Sub(start)}
		if class == i {
			own = append(own, w)
		}
		if w.Unit = g.usual[id]; w.Unit > 0 {
			all = append(all, w)
		}
	})
	if ok {
		l.Class = g.samplers[i].Report(now, own)
	}
	l.Whole = g.whole.Report(now, all)
	return l
}

// suspectHold is the time for which a suspicion is kept up, so that a flapping upstream causes little news.
const suspectHold = 3 * time.Second

// Suspect reports whether the upstream shows signs of sickness.
func (g *Gate) Suspect(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.spec.State == Ready && g.load(now, "").Whole.Suspect() {
		g.suspected = now
	}
	return !g.suspected.IsZero() && now.Sub(g.suspected) < suspectHold
}

// Tick refuses queued work whose deadline has passed.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.deliver(g.ctl.Tick(now))
}

// Run ticks until ctx ends, then closes the connections that are idle.
func (g *Gate) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	defer g.client.CloseIdleConnections()
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
func (g *Gate) Do(ctx context.Context, a *Attempt) (*Answer, error) {
	id, err := g.admit(ctx, a)
	if err != nil {
		return nil, err
	}
	return g.dispatch(ctx, a, id)
}

func (g *Gate) admit(ctx context.Context, a *Attempt) (uint64, error) {
	ch := make(chan admission.Verdict, 1)
	g.mu.Lock()
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
	delete(g.usual, id)
	g.deliver(g.ctl.Done(now, id, admission.Result{Shed: r == shed, Failed: r != well}))
	i, ok := g.classes[a.Class]
	if !ok || g.spec.State == Warming {
		return
	}
	took := now.Sub(start)
	bad := r == failed || r == late && (took > longTimeout || took > slowTimeout*g.samplers[i].Mean())
	if r != well && !bad {
		return
	}
	g.samplers[i].Add(now, took, bad)
	if a.Usual > 0 {
		g.whole.Add(now, outlier.Scale(took, a.Usual), bad)
	}
}

// result classifies the end of an attempt as evidence on the upstream.
type result int

const (
	well result = iota
	failed
	late // the deadline passed
	shed
	neutral // the caller went away
)

func (g *Gate) dispatch(ctx context.Context, a *Attempt, id uint64) (*Answer, error) {
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, a.Deadline.Add(-deadlineMargin))
	req, err := g.request(ctx, a, start)
	if err != nil {
		cancel()
		g.done(a, id, start, neutral)
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeBadRequest, err)
	}
	g.mu.Lock()
	g.usual[id] = a.Usual
	g.mu.Unlock()
	resp, err := g.client.RoundTrip(req)
	if err != nil {
		g.done(a, id, start, classify(ctx))
		cancel()
		return nil, dispatchError(ctx, err)
	}
	if reason := resp.Header.Get(ShedHeader); reason != "" && resp.StatusCode >= http.StatusTooManyRequests {
		_ = resp.Body.Close()
		g.done(a, id, start, shed)
		cancel()
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeShed, errors.New(reason))
	}
	ans, r, err := g.receive(ctx, a, resp)
	if err != nil || ans.Body == nil {
		g.done(a, id, start, r)
		cancel()
		if err != nil {
			return nil, err
		}
		return ans, nil
	}
	ans.Body = &stream{ReadCloser: ans.Body, want: ans.Length, end: func(r result) {
		g.done(a, id, start, r)
		cancel()
	}, ctx: ctx}
	return ans, nil
}

func (g *Gate) request(ctx context.Context, a *Attempt, now time.Time) (*http.Request, error) {
	var body io.Reader
	if a.Length != 0 && a.Body != nil {
		body = opaque{a.Body}
	}
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+g.Spec().Address+a.URI, body)
	if err != nil {
		return nil, err
	}
	if a.Length >= 0 {
		req.ContentLength = a.Length
	}
	if a.Header != nil {
		req.Header = a.Header
	}
	req.Host = a.Host
	if a.Once {
		forbidReplay(req)
	}
	req.Header.Set(AttemptHeader, a.ID)
	req.Header.Set(TimeoutHeader, strconv.FormatInt(a.Deadline.Sub(now).Milliseconds(), 10))
	req.Header.Set(DeadlineHeader, strconv.FormatInt(a.Deadline.UnixMilli(), 10))
	return req, nil
}

// opaque hides the type of a body, from which net/http would otherwise learn how to send it again.
type opaque struct{ io.Reader }

// forbidReplay keeps net/http from sending the request again after a connection broke: it would do so for methods that are idempotent by definition and for requests with an idempotency key.
func forbidReplay(req *http.Request) {
	if v, ok := req.Header[keyHeader]; ok {
		delete(req.Header, keyHeader)
		req.Header[strings.ToLower(keyHeader)] = v
	}
	switch req.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		req.Close = true // a fresh connection is not replayed
	}
}

func classify(ctx context.Context) result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return late
	case ctx.Err() != nil:
		return neutral
	}
	return failed
}

// dispatchError says what is known of an attempt that ended without an answer: not run only where no connection was made.
func dispatchError(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return outcome.NewError(outcome.NotRun, outcome.CodeUpstream, err)
	}
	code := outcome.CodeUpstream
	if classify(ctx) == late {
		code = outcome.CodeTimeout
	}
	return outcome.NewError(outcome.Unknown, code, err)
}

// receive checks the head of the answer and reads a small one whole; the answer has no body left to stream when it is whole.
func (g *Gate) receive(ctx context.Context, a *Attempt, resp *http.Response) (*Answer, result, error) {
	if got := resp.Header.Get(AttemptHeader); got != a.ID {
		_ = resp.Body.Close()
		return nil, failed, outcome.NewError(outcome.Unknown, outcome.CodeCrossed, errors.Errorf("answer to attempt %q, want %q", got, a.ID))
	}
	resp.Header.Del(AttemptHeader)
	ans := &Answer{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	ans.Trailer = func() http.Header { return resp.Trailer }
	if unbounded(a.Method, resp) {
		_ = resp.Body.Close()
		return nil, failed, outcome.NewError(outcome.Unknown, outcome.CodeTruncated, errors.New("answer has neither a length nor chunks"))
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, resp.Body, wholeAnswer)
	if errors.Is(err, io.EOF) {
		_ = resp.Body.Close()
		ans.SetContent(buf.Bytes())
		if a.Method == http.MethodHead {
			ans.Length = resp.ContentLength
		}
		return ans, rate(resp.StatusCode), nil
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, classify(ctx), outcome.NewError(outcome.Unknown, outcome.CodeTruncated, err)
	}
	ans.Body = &joined{Reader: io.MultiReader(&buf, resp.Body), Closer: resp.Body}
	return ans, well, nil
}

// unbounded reports whether the end of the body can't be told from a cut connection.
func unbounded(method string, resp *http.Response) bool {
	if method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return false
	}
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

func rate(status int) result {
	if status >= http.StatusInternalServerError {
		return failed
	}
	return well
}
