package fakeupstream

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/upstream"
)

// TagHeader is the header that carries the tag of a request in the native protocol. The response body contains the tag.
const TagHeader = "Work-Tag"

// Faults are the gray failures that the server injects; the zero value is a healthy server.
// EveryNthCaller, PathPrefix and FlapInterval restrict all other faults except ShedShare and Pause.
type Faults struct {
	SlowFactor         float64       // factor applied to the service time; 0 for none
	FailShare          float64       // share of requests that run and get status 500
	Hang               bool          // requests start to run and never get a response
	TruncateShare      float64       // share of responses whose connection is closed in the middle of the body
	FlapInterval       time.Duration // interval at which the faults turn off and on again; 0 for always on
	EveryNthCaller     int           // faults affect one in this many callers, chosen by a hash of the name; 0 for all
	PathPrefix         string        // faults affect only paths with this prefix
	ShedShare          float64       // share of requests rejected before they run
	Pause              time.Duration // all requests are delayed until this long after SetFaults
	ResetShare         float64       // share of requests whose connection is reset after they ran
	EarlyResponseShare float64       // share of responses sent before the request body is read
	ExtraResponseShare float64       // share of responses followed by an unsolicited second one
	MalformedShare     float64       // share of responses that are not valid HTTP
	ResetReusedShare   float64       // share of requests on reused connections whose connection is reset before they run
}

// Config describes a server.
type Config struct {
	ID                string        // instance id
	Service           string        // name of the service
	Slots             int           // maximum number of requests that run at once
	MaxConns          int           // announced maximum number of connections
	MedianServiceTime time.Duration // median of the log-normally distributed service times
	Sigma             float64       // standard deviation of the logarithm of the service time
	ResponseSize      int           // size of a response body in bytes
	Seed              uint64        // seed of the service times and faults
	Incarnation       uint64        // announced start time in Unix milliseconds; 0 for the time of Start

	Protocol Protocol // the zero value is Native
}

// Server is a fake upstream.
type Server struct {
	cfg            Config
	dialect        upstream.Dialect
	ln             net.Listener
	http           *http.Server
	mu             sync.Mutex
	faults         Faults
	faultsSince    time.Time // when the faults were set
	pausedUntil    time.Time // end of Faults.Pause
	state          upstream.State
	rng            *rand.Rand
	slots          chan struct{} // semaphore that limits the running requests
	runs           []Run
	running        map[int]bool // indexes in runs of the requests that are running
	crashed        bool
	usedConns      map[net.Conn]bool // connections on which a request has arrived
	seq            uint64            // sequence number of the latest announcement
	drainAckedAt   time.Time         // when a node first acknowledged an announcement with state draining
	stopAnnouncing context.CancelFunc
	announcer      announcer
}

// Start starts a server on a loopback port that announces itself to the upstream address of a node.
func Start(cfg Config, nodeAddr string) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixMilli())
	}
	s := &Server{
		cfg: cfg, dialect: cfg.Protocol.dialect(), ln: ln, state: upstream.Ready,
		rng:       rand.New(rand.NewPCG(cfg.Seed, 7)),
		slots:     make(chan struct{}, cfg.Slots),
		running:   make(map[int]bool),
		usedConns: make(map[net.Conn]bool),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, ConnContext: withConn, ConnState: s.removeClosedConn}
	go func() { _ = s.http.Serve(ln) }()
	s.AnnounceTo(nodeAddr)
	return s, nil
}

// Announcement returns the next announcement of the server; each call increments its sequence number.
func (s *Server) Announcement() upstream.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return upstream.Announcement{
		ID: s.cfg.ID, Service: s.cfg.Service, Address: s.ln.Addr().String(),
		Slots: s.cfg.Slots, Connections: s.cfg.MaxConns, State: s.state, Incarnation: s.cfg.Incarnation, Seq: s.seq,
	}
}

// ID returns the instance id of the server.
func (s *Server) ID() string { return s.cfg.ID }

// Service returns the name of the service to which the server belongs.
func (s *Server) Service() string { return s.cfg.Service }

// Close stops the server and its announcements.
func (s *Server) Close() {
	s.mu.Lock()
	s.stopAnnouncing()
	s.mu.Unlock()
	_ = s.http.Close()
}

// AnnounceTo makes the server announce itself to the node with the upstream address instead of the former one.
func (s *Server) AnnounceTo(nodeAddr string) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopAnnouncing != nil {
		s.stopAnnouncing()
	}
	s.stopAnnouncing = cancel
	s.announcer = s.cfg.Protocol.announcer(nodeAddr)
	go s.announceRepeatedly(ctx, s.announcer)
}

// announceRepeatedly announces the server at the renewal interval until ctx is done.
func (s *Server) announceRepeatedly(ctx context.Context, a announcer) {
	for {
		s.announceOnce(ctx, a)
		select {
		case <-ctx.Done():
			return
		case <-time.After(upstream.RenewInterval):
		}
	}
}

// announceOnce announces the server and records the first acknowledgement of state draining.
func (s *Server) announceOnce(ctx context.Context, a announcer) {
	ann := s.Announcement()
	err := a.announce(ctx, ann)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && ann.State == upstream.Draining && s.drainAckedAt.IsZero() {
		s.drainAckedAt = time.Now()
	}
}

// DrainAckedAt returns when a node first acknowledged that the server is draining; zero if none has.
func (s *Server) DrainAckedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainAckedAt
}

// Deregister deregisters the server from its node and closes it.
func (s *Server) Deregister(ctx context.Context) {
	s.mu.Lock()
	a := s.announcer
	s.stopAnnouncing()
	s.mu.Unlock()
	_ = a.deregister(ctx, s.cfg.ID) // the server closes even if the node can't be reached
	s.Close()
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.faultsSince = f, time.Now()
	if f.Pause > 0 {
		s.pausedUntil = time.Now().Add(f.Pause)
	}
}

// SetState changes the announced state and announces it at once.
func (s *Server) SetState(ctx context.Context, state upstream.State) {
	s.mu.Lock()
	s.state = state
	a := s.announcer
	s.mu.Unlock()
	s.announceOnce(ctx, a)
}

// Config returns the configuration of the server.
func (s *Server) Config() Config { return s.cfg }

// Run is one execution of a request.
type Run struct {
	Start   time.Time
	Tag     string    // tag of the request
	Path    string    // path of the request
	Origin  string    // origin service named in the request
	Aborted bool      // a fault or crash prevented a complete, valid response
	End     time.Time // zero while the request is running
}

// Runs returns all runs in the order of their start.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// StartTimes returns the start times of the runs that started at since or later and whose path has the prefix.
func (s *Server) StartTimes(since time.Time, prefix string) []time.Time {
	var starts []time.Time
	for _, run := range s.Runs() {
		if !run.Start.Before(since) && strings.HasPrefix(run.Path, prefix) {
			starts = append(starts, run.Start)
		}
	}
	return starts
}

// RunCount returns the number of runs started.
func (s *Server) RunCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// Crash stops the server at once and aborts the requests that it is running.
func (s *Server) Crash() {
	s.mu.Lock()
	s.crashed = true
	for i := range s.runs {
		s.runs[i].Aborted = s.runs[i].Aborted || s.running[i]
	}
	s.mu.Unlock()
	s.Close()
}

// Body returns the complete response body of the given size for the request with the tag.
func Body(tag string, size int) string {
	prefix := fmt.Sprintf("%s:%d:", tag, size)
	return prefix + strings.Repeat("x", max(0, size-len(prefix)))
}
