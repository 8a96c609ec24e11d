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

// TagHeader names the piece of work in a request; the answer repeats it in the body.
const TagHeader = "Work-Tag"

// Faults are the gray failures that the stand-in shows; the zero value is a well server.
type Faults struct {
	Slow           float64       // factor on the service time; 0 for 1
	Fail           float64       // share of requests answered with 500
	Hang           bool          // requests are taken and never answered
	Truncate       float64       // share of answers cut in the middle
	Flap           time.Duration // the other faults hold in every second span of this length
	EveryNthCaller int           // the other faults hold for one in so many callers; 0 for all
	Prefix         string        // the other faults hold for paths with this prefix
	Shed           float64       // share of requests refused before they start
	Pause          time.Duration // every request waits until a pause of this length is over
	Reset          float64       // share of requests that run and whose connection is then reset
	EarlyResponse  float64       // share of answers that are sent before the request's body is read
	ExtraResponse  float64       // share of answers that are followed by a second one
	Malformed      float64       // share of answers that are bytes outside the protocol
	ResetReused    float64       // share of requests on a kept connection that are reset unread
}

// Config describes a stand-in.
type Config struct {
	ID          string
	Service     string
	Slots       int
	Conns       int
	ServiceTime time.Duration // typical service time
	Sigma       float64       // spread of its logarithm
	Size        int           // bytes of an answer
	Seed        uint64
	Incarnation uint64 // milliseconds since 1970 that the server tells as its start; 0 for the time of Start

	Contract Contract // the zero value is the product's own
}

// Server is the stand-in.
type Server struct {
	cfg      Config
	dialect  upstream.Dialect
	ln       net.Listener
	http     *http.Server
	mu       sync.Mutex
	faults   Faults
	onset    time.Time
	paused   time.Time
	state    upstream.State
	rnd      *rand.Rand
	slots    chan struct{}
	runs     []Run
	running  map[int]bool // by index of the run
	crashed  bool
	kept     map[net.Conn]bool // connections that have served a request
	seq      uint64
	acked    time.Time // of the first announcement that the server drains
	stop     context.CancelFunc
	announce announcer
}

// Start returns a server that listens on loopback and announces itself to the node's upstream address.
func Start(cfg Config, node string) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = uint64(time.Now().UnixMilli())
	}
	s := &Server{
		cfg: cfg, dialect: cfg.Contract.dialect(), ln: ln, state: upstream.Ready,
		rnd:     rand.New(rand.NewPCG(cfg.Seed, 7)),
		slots:   make(chan struct{}, cfg.Slots),
		running: make(map[int]bool),
		kept:    make(map[net.Conn]bool),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second, ConnContext: withConn, ConnState: s.connState}
	go func() { _ = s.http.Serve(ln) }()
	s.AnnounceTo(node)
	return s, nil
}

// Announcement returns what the server says of itself.
func (s *Server) Announcement() upstream.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return upstream.Announcement{
		ID: s.cfg.ID, Service: s.cfg.Service, Address: s.ln.Addr().String(),
		Slots: s.cfg.Slots, Connections: s.cfg.Conns, State: s.state, Incarnation: s.cfg.Incarnation, Seq: s.seq,
	}
}

// ID returns the server's name.
func (s *Server) ID() string { return s.cfg.ID }

// Service returns the service that the server belongs to.
func (s *Server) Service() string { return s.cfg.Service }

// Close ends the server and its announcements.
func (s *Server) Close() {
	s.mu.Lock()
	s.stop()
	s.mu.Unlock()
	_ = s.http.Close()
}

// AnnounceTo announces the server to another node, as after a replacement.
func (s *Server) AnnounceTo(node string) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stop != nil {
		s.stop()
	}
	s.stop = cancel
	s.announce = s.cfg.Contract.announcer(node)
	go s.renew(ctx, s.announce)
}

// renew announces the server until ctx ends.
func (s *Server) renew(ctx context.Context, a announcer) {
	for {
		s.tell(ctx, a)
		select {
		case <-ctx.Done():
			return
		case <-time.After(upstream.RenewInterval):
		}
	}
}

// tell announces the server once and notes the acknowledgement that it drains.
func (s *Server) tell(ctx context.Context, a announcer) {
	said := s.Announcement()
	err := a.announce(ctx, said)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && said.State == upstream.Draining && s.acked.IsZero() {
		s.acked = time.Now()
	}
}

// DrainAckedAt returns when a node acknowledged that the server drains; zero while none has.
func (s *Server) DrainAckedAt() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acked
}

// Deregister tells the node that the server leaves, and ends it.
func (s *Server) Deregister(ctx context.Context) {
	s.mu.Lock()
	a := s.announce
	s.stop()
	s.mu.Unlock()
	_ = a.leave(ctx, s.cfg.ID) // a server that is not heard leaves all the same
	s.Close()
}

// SetFaults changes the faults from now on.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.onset = f, time.Now()
	if f.Pause > 0 {
		s.paused = time.Now().Add(f.Pause)
	}
}

// SetState changes the announced state at once.
func (s *Server) SetState(ctx context.Context, state upstream.State) {
	s.mu.Lock()
	s.state = state
	a := s.announce
	s.mu.Unlock()
	s.tell(ctx, a)
}

// Config returns how the server was started.
func (s *Server) Config() Config { return s.cfg }

// Run is one piece of work that was started.
type Run struct {
	Start   time.Time
	Tag     string
	Path    string
	Origin  string    // service that the node named as the origin
	Aborted bool      // the server broke its answer off, or crashed at it
	End     time.Time // zero while it runs
}

// Runs returns all the work that was started, in order.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Run(nil), s.runs...)
}

// StartTimes returns the work that started since t under paths with the prefix.
func (s *Server) StartTimes(t time.Time, prefix string) []time.Time {
	var out []time.Time
	for _, w := range s.Runs() {
		if !w.Start.Before(t) && strings.HasPrefix(w.Path, prefix) {
			out = append(out, w.Start)
		}
	}
	return out
}

// RunCount returns how much work was started.
func (s *Server) RunCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs)
}

// Crash ends the server at once; what it runs is broken off.
func (s *Server) Crash() {
	s.mu.Lock()
	s.crashed = true
	for i := range s.runs {
		s.runs[i].Aborted = s.runs[i].Aborted || s.running[i]
	}
	s.mu.Unlock()
	s.Close()
}

// Body returns the whole answer to the work named by tag.
func Body(tag string, size int) string {
	head := fmt.Sprintf("%s:%d:", tag, size)
	return head + strings.Repeat("x", max(0, size-len(head)))
}
