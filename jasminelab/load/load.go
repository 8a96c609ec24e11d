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
	maxInFlight      = 8000                  // maximum number of concurrent requests
	retryDelay       = 50 * time.Millisecond // time between the attempts of a caller
	requestBodyBytes = 200                   // size of a request body in bytes
	maxCancelDelay   = 60 * time.Millisecond // maximum time after which a caller that cancels early does so
	timeoutMargin    = 2 * time.Second       // time for which callers wait beyond the timeout of the class
)

// Stream describes the load of one class of requests.
type Stream struct {
	Service      fleet.Service
	Class        fleet.Class
	Rate         float64 // requests per second
	CallerCount  int     // number of distinct caller names, chosen at random; 0 for no name
	Caller       string  // name of the only caller; overrides CallerCount
	SendKey      bool    // send the tag as an idempotency key; if CallerCount is set, always as caller-0
	MaxRetries   int     // maximum retries of a request without a definite outcome, each through a random node
	DirectAddr   string  // address of a server to call without passing through a node
	EvenlySpaced bool    // send at fixed instead of exponentially distributed intervals
	CancelShare  float64 // share of requests that their callers cancel early
}

// Record is one request as seen by its caller. Unless stated otherwise, the fields describe the last attempt.
type Record struct {
	Stream             *Stream
	Tag                string        // unique id of the request
	ScheduledAt        time.Time     // when the first attempt was due
	Latency            time.Duration // from ScheduledAt to the end of the last attempt
	Status             int           // HTTP status code; 0 without a response
	Outcome            string        // ran, not-run, unknown, denied or empty
	Code               string        // error code
	Complete           bool          // the body is the complete response to this request
	ResponseMismatched bool          // the body does not belong to this request
	ConnectionBroken   bool          // the connection to the node broke although the node was not killed
	NodeKilled         bool          // the connection broke because the node was killed
	Attempts           int           // number of attempts
	Err                string        // error of the latest broken connection
	Node               string        // name of the node that received the attempt
	Origin             string        // service of the instance beside that node
	HasChecksum        bool          // the response carries the checksum of its body
	AttemptDuration    time.Duration // from sending the request until its response or error
	CanceledAt         time.Time     // when the caller canceled the request; zero if it did not
	platform           bool          // the request uses the platform's protocol
	mayStillRun        bool          // an earlier attempt may still be running
}

// Generator sends the requests of streams to the nodes of a fleet.
type Generator struct {
	fleet       *fleet.Fleet
	client      *http.Client
	mu          sync.Mutex
	records     []Record
	inFlight    chan struct{}
	seq         atomic.Uint64
	seed        uint64
	wg          sync.WaitGroup
	unsentCount atomic.Int64 // requests dropped because too many were in flight
}

// New returns a generator that sends to the fleet; the seed determines the schedule and the choice of nodes and callers.
func New(f *fleet.Fleet, seed uint64) *Generator {
	transport := &http.Transport{MaxIdleConns: 0, MaxIdleConnsPerHost: 2000, IdleConnTimeout: time.Minute, DisableCompression: true}
	return &Generator{fleet: f, client: &http.Client{Transport: transport}, inFlight: make(chan struct{}, maxInFlight), seed: seed}
}

// Start sends the stream until ctx is done.
func (g *Generator) Start(ctx context.Context, s *Stream) {
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		g.send(ctx, s)
	}()
}

// Wait waits until all streams have ended and all requests have a record.
func (g *Generator) Wait() {
	g.wg.Wait()
	g.client.CloseIdleConnections()
}

// Records returns the records of all requests completed so far.
func (g *Generator) Records() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Record(nil), g.records...)
}

// Unsent returns the number of requests dropped because too many were in flight.
func (g *Generator) Unsent() int64 { return g.unsentCount.Load() }

func (g *Generator) send(ctx context.Context, s *Stream) {
	rng := rand.New(rand.NewPCG(g.seed, g.seq.Add(1)))
	nextSendAt := time.Now()
	for {
		interval := rng.ExpFloat64() / s.Rate
		if s.EvenlySpaced {
			interval = 1 / s.Rate
		}
		nextSendAt = nextSendAt.Add(time.Duration(interval * float64(time.Second)))
		if d := time.Until(nextSendAt); d > 0 {
			select {
			case <-ctx.Done():
				return
			case <-time.After(d):
			}
		} else if ctx.Err() != nil {
			return
		}
		select {
		case g.inFlight <- struct{}{}:
		default:
			g.unsentCount.Add(1)
			continue
		}
		g.wg.Add(1)
		go func(scheduledAt time.Time, seed uint64) {
			defer g.wg.Done()
			defer func() { <-g.inFlight }()
			rec := g.sendRequest(s, scheduledAt, rand.New(rand.NewPCG(seed, 3)))
			g.mu.Lock()
			g.records = append(g.records, rec)
			g.mu.Unlock()
		}(nextSendAt, rng.Uint64())
	}
}

// sendRequest sends a request and retries it while its outcome is not definite.
func (g *Generator) sendRequest(s *Stream, scheduledAt time.Time, rng *rand.Rand) Record {
	rec := Record{Stream: s, Tag: uuid.NewString(), ScheduledAt: scheduledAt, platform: g.fleet.Protocol() == fakeupstream.Platform}
	for rec.Attempts = 1; ; rec.Attempts++ {
		g.attempt(s, &rec, rng)
		retry := rec.Outcome == "unknown" || rec.NodeKilled || rec.ConnectionBroken || rec.Outcome == "not-run" && rec.Code == "key-owner"
		if !retry || rec.Attempts > s.MaxRetries {
			break
		}
		rec.mayStillRun = rec.Outcome != "not-run"
		time.Sleep(retryDelay)
	}
	rec.Latency = time.Since(scheduledAt)
	return rec
}

// attempt sends the request to a random node. If the connection is refused, it picks a node again, up to five times in total.
func (g *Generator) attempt(s *Stream, rec *Record, rng *rand.Rand) {
	rec.Status, rec.Outcome, rec.Code, rec.Complete = 0, "", "", false
	rec.ConnectionBroken, rec.NodeKilled = false, false
	for range 5 {
		addr, node := s.DirectAddr, (*fleet.Node)(nil)
		if addr == "" {
			nodes := g.fleet.Nodes()
			if len(nodes) == 0 {
				break
			}
			node = nodes[rng.IntN(len(nodes))]
			addr = node.Addresses.Caller
		}
		if node != nil {
			rec.Node, rec.Origin = node.Name, node.Service
		}
		start := time.Now()
		err := g.roundTrip(addr, s, rec, rng)
		rec.AttemptDuration = time.Since(start)
		if err == nil {
			return
		}
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			continue
		}
		if errors.Is(err, context.DeadlineExceeded) {
			rec.Outcome, rec.Code = "unknown", "caller-timeout"
			return
		}
		rec.Err = err.Error()
		rec.NodeKilled = node != nil && node.Killed()
		rec.ConnectionBroken = !rec.NodeKilled
		return
	}
	rec.Outcome, rec.Code = "not-run", "no-node"
}

func (g *Generator) roundTrip(addr string, s *Stream, rec *Record, rng *rand.Rand) error {
	timeout := s.Class.Timeout + timeoutMargin
	cancelsEarly := s.CancelShare > 0 && rng.Float64() < s.CancelShare
	if cancelsEarly {
		timeout = time.Duration(rng.Int64N(int64(maxCancelDelay)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if cancelsEarly {
		defer func() {
			if ctx.Err() != nil {
				rec.CanceledAt = time.Now()
			}
		}()
	}
	var body io.Reader
	if s.Class.Method == http.MethodPost {
		body = struct{ io.Reader }{strings.NewReader(strings.Repeat("b", requestBodyBytes))}
	} else if g.fleet.Protocol() == fakeupstream.Platform {
		body = struct{ io.Reader }{strings.NewReader("")} // net/http does not retry requests that have a body
	}
	req, err := http.NewRequestWithContext(ctx, s.Class.Method, "http://"+addr+s.Class.Prefix+"/1", body)
	if err != nil {
		return err
	}
	if s.Class.Method == http.MethodPost {
		req.ContentLength = requestBodyBytes
	}
	req.Host = s.Service.Host
	req.Header.Set("Request-Id", rec.Tag)
	if g.fleet.Protocol() == fakeupstream.Platform {
		req.Header.Set("Timeout-Ms", strconv.FormatInt(s.Class.Timeout.Milliseconds(), 10))
	} else {
		req.Header.Set(fakeupstream.TagHeader, rec.Tag)
	}
	switch {
	case s.Caller != "":
		req.Header.Set("Caller", s.Caller)
	case s.CallerCount > 0:
		req.Header.Set("Caller", fmt.Sprintf("caller-%d", rng.IntN(s.CallerCount)))
	}
	if s.SendKey {
		req.Header["idempotency-key"] = []string{rec.Tag}
		if !rec.mayStillRun {
			req.Header.Set("Idempotency-Attempt", "1")
		}
		if s.CallerCount > 0 {
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
	if g.fleet.Protocol() == fakeupstream.Platform {
		rec.checkPlatformResponse(resp, string(data))
		return nil
	}
	rec.Outcome = resp.Header.Get("Outcome")
	rec.checkResponse(resp, string(data))
	return nil
}

// checkPlatformResponse derives the outcome from the status code, as the platform's protocol defines it, and checks the body.
func (r *Record) checkPlatformResponse(resp *http.Response, body string) {
	r.Code = resp.Header.Get("Outcome")
	switch status := resp.StatusCode; {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest:
		r.Outcome = "not-run"
	case status < http.StatusMultipleChoices:
		r.Outcome, r.Code = "ran", ""
		r.Complete = body == fakeupstream.Body(r.Tag, len(body)) && resp.Header.Get("Response-Seal") == fakeupstream.Checksum(body)
		r.ResponseMismatched = !r.Complete || resp.Header.Get("Request-Id") != r.Tag
	case status >= http.StatusBadRequest && status < http.StatusInternalServerError:
		r.Outcome = "denied"
	case status == http.StatusInternalServerError && body == r.Tag:
		r.Outcome, r.Complete, r.Code = "ran", true, ""
	default:
		r.Outcome = "unknown"
	}
}

// checkResponse records whether the response belongs to the request and is complete, or the error code of an error response.
func (r *Record) checkResponse(resp *http.Response, body string) {
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		_, code, _ := strings.Cut(body, `"code":"`)
		r.Code, _, _ = strings.Cut(code, `"`)
		return
	}
	if resp.StatusCode == http.StatusInternalServerError {
		r.Complete = body == r.Tag
		r.ResponseMismatched = !r.Complete
		return
	}
	tag, rest, _ := strings.Cut(body, ":")
	size, _, _ := strings.Cut(rest, ":")
	n, _ := strconv.Atoi(size)
	r.Complete = tag == r.Tag && n == len(body)
	r.ResponseMismatched = tag != r.Tag
}

// Sleep waits for d or until ctx is done.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
