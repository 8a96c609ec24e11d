package load

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/jasminevane/jasminevane/jasminelab/fakeupstream"
	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/pkg/errors"
)

const (
	maxInFlight = 8000
	repeatPause = 50 * time.Millisecond
	bodyBytes   = 200
	maxStay     = 60 * time.Millisecond // within which callers that leave early do so
	slack       = 2 * time.Second       // time beyond the class's timeout for which a caller waits
)

// Stream is one class of work sent at a rate.
type Stream struct {
	Service      fleet.Service
	Class        fleet.Class
	Rate         float64 // requests a second
	Callers      int     // different callers; 0 for none
	Caller       string  // fixed caller, if any
	SendKey      bool    // send an idempotency key
	MaxRetries   int     // repeats after an unknown outcome, through other nodes
	DirectAddr   string  // address of a server to be called without the fleet
	EvenlySpaced bool    // at even intervals instead of random ones
	CancelShare  float64 // share of the requests whose callers leave early
}

// Record is one request as its caller saw it.
type Record struct {
	Stream          *Stream
	Tag             string
	ScheduledAt     time.Time // when it should have been sent
	Latency         time.Duration
	Status          int
	Outcome         string
	Code            string
	Complete        bool // the body is the whole answer to this request
	Crossed         bool // the body belongs to another request
	Cut             bool // the connection broke at a node that was not killed
	NodeKilled      bool // the connection broke at a node that was killed
	Attempts        int
	Err             string        // of a connection that broke
	Node            string        // that the request was sent to
	Origin          string        // service on whose instance that node runs
	HasChecksum     bool          // the answer bears the proof of its body
	AttemptDuration time.Duration // for which the last request was open
	CanceledAt      time.Time     // when the caller left early; zero if it stayed
	platform        bool          // the request was sent in the platform's contract
	open            bool          // an earlier request of the work may still run
}

// Generator sends streams to the nodes of a fleet.
type Generator struct {
	fleet   *fleet.Fleet
	client  *http.Client
	mu      sync.Mutex
	records []Record
	slots   chan struct{}
	seq     atomic.Uint64
	seed    uint64
	wg      sync.WaitGroup
	shed    atomic.Int64 // requests not sent because too many were in flight
}

// New returns a generator of load on the fleet.
func New(f *fleet.Fleet, seed uint64) *Generator {
	t := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 2000, IdleConnTimeout: time.Minute, DisableCompression: true}
	return &Generator{fleet: f, client: &http.Client{Transport: t}, slots: make(chan struct{}, maxInFlight), seed: seed}
}

// Start sends the stream until ctx ends.
func (g *Generator) Start(ctx context.Context, s *Stream) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		g.send(ctx, s)
	}()
}

// Wait waits for all requests in flight.
func (g *Generator) Wait() {
	g.wg.Wait()
	g.client.CloseIdleConnections()
}

// Records returns all records so far.
func (g *Generator) Records() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Record(nil), g.records...)
}

// Unsent returns the requests that could not be sent because too many were in flight.
func (g *Generator) Unsent() int64 { return g.shed.Load() }

func (g *Generator) send(ctx context.Context, s *Stream) {
	rnd := rand.New(rand.NewPCG(g.seed, g.seq.Add(1)))
	next := time.Now()
	for {
		gap := rnd.ExpFloat64() / s.Rate
		if s.EvenlySpaced {
			gap = 1 / s.Rate
		}
		next = next.Add(time.Duration(gap * float64(time.Second)))
		if d := time.Until(next); d > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(d):
			}
		} else if ctx.Err() != nil {
			return
		}
		select {
		case g.slots <- struct{}{}:
		default:
			g.shed.Add(1)
			continue
		}
		g.wg.Add(1)
		go func(at time.Time, seed uint64) {
			defer g.wg.Done()
			defer func() { <-g.slots }()
			rec := g.one(s, at, rand.New(rand.NewPCG(seed, 3)))
			g.mu.Lock()
			g.records = append(g.records, rec)
			g.mu.Unlock()
		}(next, rnd.Uint64())
	}
}

// one sends a request, and repeats of it while its outcome is unknown.
func (g *Generator) one(s *Stream, at time.Time, rnd *rand.Rand) Record {
	rec := Record{Stream: s, Tag: uuid.NewString(), ScheduledAt: at, platform: g.fleet.Contract() == fakeupstream.Platform}
	for rec.Attempts = 1; ; rec.Attempts++ {
		g.try(s, &rec, rnd)
		again := rec.Outcome == "unknown" || rec.NodeKilled || rec.Cut || rec.Outcome == "not-run" && rec.Code == "key-owner"
		if !again || rec.Attempts > s.MaxRetries {
			break
		}
		rec.open = rec.Outcome != "not-run"
		time.Sleep(repeatPause)
	}
	rec.Latency = time.Since(at)
	return rec
}

// try sends the request to one node, or to another while none takes the connection.
func (g *Generator) try(s *Stream, rec *Record, rnd *rand.Rand) {
	rec.Status, rec.Outcome, rec.Code, rec.Complete = 0, "", "", false
	rec.Cut, rec.NodeKilled = false, false
	for range 5 {
		addr, n := s.DirectAddr, (*fleet.Node)(nil)
		if addr == "" {
			nodes := g.fleet.Nodes()
			if len(nodes) == 0 {
				break
			}
			n = nodes[rnd.IntN(len(nodes))]
			addr = n.Addr.Caller
		}
		if n != nil {
			rec.Node, rec.Origin = n.Name, n.Service
		}
		start := time.Now()
		err := g.call(addr, s, rec, rnd)
		rec.AttemptDuration = time.Since(start)
		if err == nil {
			return
		}
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			continue
		}
		if errors.Is(err, context.DeadlineExceeded) {
			rec.Outcome, rec.Code = "unknown", "caller-timeout"
			return
		}
		rec.Err = err.Error()
		rec.NodeKilled = n != nil && n.Killed()
		rec.Cut = !rec.NodeKilled
		return
	}
	rec.Outcome, rec.Code = "not-run", "no-node"
}

func (g *Generator) call(addr string, s *Stream, rec *Record, rnd *rand.Rand) error {
	stay := s.Class.Timeout + slack
	leaves := s.CancelShare > 0 && rnd.Float64() < s.CancelShare
	if leaves {
		stay = time.Duration(rnd.Int64N(int64(maxStay)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), stay)
	defer cancel()
	if leaves {
		defer func() {
			if ctx.Err() != nil {
				rec.CanceledAt = time.Now()
			}
		}()
	}
	var body io.Reader
	if s.Class.Method == http.MethodPost {
		body = struct{ io.Reader }{strings.NewReader(strings.Repeat("b", bodyBytes))}
	} else if g.fleet.Contract() == fakeupstream.Platform {
		body = struct{ io.Reader }{strings.NewReader("")} // net/http sends no request with a body again by itself
	}
	req, err := http.NewRequestWithContext(ctx, s.Class.Method, "http://"+addr+s.Class.Prefix+"/1", body)
	if err != nil {
		return err
	}
	if s.Class.Method == http.MethodPost {
		req.ContentLength = bodyBytes
	}
	req.Host = s.Service.Host
	req.Header.Set("Request-Id", rec.Tag)
	if g.fleet.Contract() == fakeupstream.Platform {
		req.Header.Set("Timeout-Ms", strconv.FormatInt(s.Class.Timeout.Milliseconds(), 10))
	} else {
		req.Header.Set(fakeupstream.TagHeader, rec.Tag)
	}
	switch {
	case s.Caller != "":
		req.Header.Set("Caller", s.Caller)
	case s.Callers > 0:
		req.Header.Set("Caller", fmt.Sprintf("caller-%d", rnd.IntN(s.Callers)))
	}
	if s.SendKey {
		req.Header["idempotency-key"] = []string{rec.Tag}
		if !rec.open {
			req.Header.Set("Idempotency-Attempt", "1")
		}
		if s.Callers > 0 {
			req.Header.Set("Caller", "caller-0")
		}
	}
	resp, err := g.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	rec.Status = resp.StatusCode
	if g.fleet.Contract() == fakeupstream.Platform {
		rec.judgePlatform(resp, string(data))
		return nil
	}
	rec.Outcome = resp.Header.Get("Outcome")
	rec.judge(resp, string(data))
	return nil
}

// judgePlatform holds the answer against what its status promises on the platform.
func (r *Record) judgePlatform(resp *http.Response, body string) {
	r.Code = resp.Header.Get("Outcome")
	switch s := resp.StatusCode; {
	case s == http.StatusTooManyRequests || s == http.StatusServiceUnavailable || s == http.StatusRequestTimeout || s == http.StatusMisdirectedRequest:
		r.Outcome = "not-run"
	case s < http.StatusMultipleChoices:
		r.Outcome, r.Code = "ran", ""
		r.Complete = body == fakeupstream.Body(r.Tag, len(body)) && resp.Header.Get("Response-Seal") == fakeupstream.Checksum(body)
		r.Crossed = !r.Complete || resp.Header.Get("Request-Id") != r.Tag
	case s >= http.StatusBadRequest && s < http.StatusInternalServerError:
		r.Outcome = "denied"
	case s == http.StatusInternalServerError && body == r.Tag:
		r.Outcome, r.Complete, r.Code = "ran", true, ""
	default:
		r.Outcome = "unknown"
	}
}

// judge holds the answer against the request.
func (r *Record) judge(resp *http.Response, body string) {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		_, after, _ := strings.Cut(body, `"code":"`)
		r.Code, _, _ = strings.Cut(after, `"`)
		return
	}
	if resp.StatusCode == http.StatusInternalServerError {
		r.Complete = body == r.Tag
		r.Crossed = !r.Complete
		return
	}
	tag, rest, _ := strings.Cut(body, ":")
	size, _, _ := strings.Cut(rest, ":")
	n, _ := strconv.Atoi(size)
	r.Complete = tag == r.Tag && n == len(body)
	r.Crossed = tag != r.Tag
}

// Sleep waits for a while, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
