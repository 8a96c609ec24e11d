package upstand

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/upstream"
)

// TagHeader names the piece of work in a request; the answer repeats it in the body.
const TagHeader = "Work-Tag"

// Faults are the gray failures that the stand-in shows; the zero value is a well server.
type Faults struct {
	Slow     float64       // factor on the service time; 0 for 1
	Fail     float64       // share of requests answered with 500
	Hang     bool          // requests are taken and never answered
	Truncate float64       // share of answers cut in the middle
	Flap     time.Duration // the other faults hold in every second span of this length
	Callers  int           // the other faults hold for one in so many callers; 0 for all
	Prefix   string        // the other faults hold for paths with this prefix
	Shed     float64       // share of requests refused before they start
	Pause    time.Duration // every request waits until a pause of this length is over
}

// Config describes a stand-in.
type Config struct {
	ID      string
	Service string
	Slots   int
	Conns   int
	Mean    time.Duration // typical service time
	Sigma   float64       // spread of its logarithm
	Size    int           // bytes of an answer
	Seed    uint64
}

// Server is the stand-in.
type Server struct {
	cfg      Config
	ln       net.Listener
	http     *http.Server
	mu       sync.Mutex
	faults   Faults
	onset    time.Time
	paused   time.Time
	state    upstream.State
	rnd      *rand.Rand
	slots    chan struct{}
	ran      map[string]int
	starts   []run
	stop     context.CancelFunc
	announce *upstream.Announcer
}

// Start returns a server that listens on loopback and announces itself to the node's upstream address.
func Start(cfg Config, node string) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{
		cfg: cfg, ln: ln, state: upstream.Ready,
		rnd:   rand.New(rand.NewPCG(cfg.Seed, 7)),
		slots: make(chan struct{}, cfg.Slots),
		ran:   make(map[string]int),
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.http.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.announce = upstream.NewAnnouncer(node)
	go s.announce.Run(ctx, s.Announcement)
	return s, nil
}

// Announcement returns what the server says of itself.
func (s *Server) Announcement() upstream.Announcement {
	s.mu.Lock()
	defer s.mu.Unlock()
	return upstream.Announcement{
		ID: s.cfg.ID, Service: s.cfg.Service, Address: s.ln.Addr().String(),
		Slots: s.cfg.Slots, Connections: s.cfg.Conns, State: s.state,
	}
}

// ID returns the server's name.
func (s *Server) ID() string { return s.cfg.ID }

// Service returns the service that the server belongs to.
func (s *Server) Service() string { return s.cfg.Service }

// Close ends the server and its announcements.
func (s *Server) Close() {
	s.stop()
	_ = s.http.Close()
}

// Move announces the server to another node, as after a replacement.
func (s *Server) Move(node string) {
	s.stop()
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.announce = upstream.NewAnnouncer(node)
	go s.announce.Run(ctx, s.Announcement)
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
	s.mu.Unlock()
	_, _ = s.announce.Announce(ctx, s.Announcement())
}

// Ran returns how often each piece of work was run.
func (s *Server) Ran() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.ran))
	for k, v := range s.ran {
		out[k] = v
	}
	return out
}

// run is one piece of work that was started.
type run struct {
	at   time.Time
	path string
}

// Starts returns the work that started since t under paths with the prefix.
func (s *Server) Starts(t time.Time, prefix string) []time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []time.Time
	for _, w := range s.starts {
		if !w.at.Before(t) && strings.HasPrefix(w.path, prefix) {
			out = append(out, w.at)
		}
	}
	return out
}

// Total returns how much work was started.
func (s *Server) Total() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.starts)
}

// plan is what happens to one request.
type plan struct {
	took            time.Duration
	fail, hang, cut bool
	shed            bool
	pause           time.Duration
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(upstream.AttemptHeader, r.Header.Get(upstream.AttemptHeader))
	tag := r.Header.Get(TagHeader)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if s.late(r) {
		w.Header().Set(upstream.ShedHeader, "expired")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p := s.plan(r)
	if p.shed {
		w.Header().Set(upstream.ShedHeader, "overload")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	s.note(tag, r.URL.Path)
	if p.hang {
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(p.took + p.pause):
	case <-r.Context().Done():
		return
	}
	s.answer(w, tag, p)
}

func (s *Server) late(r *http.Request) bool {
	ms, err := strconv.ParseInt(r.Header.Get(upstream.DeadlineHeader), 10, 64)
	return err == nil && time.Now().After(time.UnixMilli(ms))
}

func (s *Server) note(tag, path string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[tag]++
	s.starts = append(s.starts, run{at: time.Now(), path: path})
}

func (s *Server) plan(r *http.Request) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := plan{took: time.Duration(float64(s.cfg.Mean) * math.Exp(s.rnd.NormFloat64()*s.cfg.Sigma))}
	p.pause = max(0, time.Until(s.paused))
	f := s.faults
	p.shed = s.rnd.Float64() < f.Shed
	if !s.sick(r) {
		return p
	}
	if f.Slow > 0 {
		p.took = time.Duration(float64(p.took) * f.Slow)
	}
	p.hang = f.Hang
	p.fail = s.rnd.Float64() < f.Fail
	p.cut = s.rnd.Float64() < f.Truncate
	return p
}

// sick reports whether the faults hold for the request; the server is locked.
func (s *Server) sick(r *http.Request) bool {
	f := s.faults
	if f.Flap > 0 && int(time.Since(s.onset)/f.Flap)%2 == 1 {
		return false
	}
	if f.Prefix != "" && !strings.HasPrefix(r.URL.Path, f.Prefix) {
		return false
	}
	if f.Callers > 1 {
		sum := 0
		for _, c := range r.Header.Get("Caller") {
			sum += int(c)
		}
		return sum%f.Callers == 0
	}
	return true
}

func (s *Server) answer(w http.ResponseWriter, tag string, p plan) {
	if p.fail {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, tag)
		return
	}
	body := Body(tag, s.cfg.Size)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if p.cut {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// Body returns the whole answer to the work named by tag.
func Body(tag string, size int) string {
	head := fmt.Sprintf("%s:%d:", tag, size)
	return head + strings.Repeat("x", max(0, size-len(head)))
}
