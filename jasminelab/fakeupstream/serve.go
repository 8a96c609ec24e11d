package fakeupstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jasminevane/jasminevane/upstream"
)

const (
	healthPath  = "/healthz"
	idleSeconds = 5 // for which a connection may stay idle, as answers state it
	extraBody   = "late"
	maxLag      = 40 * time.Millisecond // after an answer, within which a second one follows
)

// plan is what happens to one request.
type plan struct {
	took                    time.Duration
	fail, hang, cut         bool
	shed, reset, early      bool
	extra, unframed, forget bool
	pause                   time.Duration
	lag                     time.Duration // of a second answer behind the first
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// connState forgets closed connections.
func (s *Server) connState(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.kept, c)
}

// reused reports whether the request's connection has served one before.
func (s *Server) reused(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.kept[c]
	s.kept[c] = true
	return was
}

// reset closes the connection of the request so that its peer sees a reset.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		s.health(w)
		return
	}
	p := s.plan(r)
	if s.reused(r) && p.forget {
		reset(w)
		return
	}
	w.Header().Set(s.dialect.Attempt, r.Header.Get(s.dialect.Attempt))
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", idleSeconds))
	tag := s.tag(r)
	if status, why := s.refusal(r, p, tag); why != "" {
		w.Header().Set(s.dialect.NotRun, why)
		w.WriteHeader(status)
		return
	}
	if p.early {
		c := http.NewResponseController(w)
		_ = c.EnableFullDuplex()
		defer func() {
			_ = c.Flush()
			_, _ = io.Copy(io.Discard, r.Body) // the connection goes on behind the body
		}()
	} else if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-r.Context().Done():
		return
	}
	defer s.note(tag, r, p)()
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

func (s *Server) health(w http.ResponseWriter) {
	s.mu.Lock()
	leaving := s.state == upstream.Draining
	s.mu.Unlock()
	w.Header().Set("Instance-Id", s.cfg.ID)
	if leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// tag returns what names the piece of work in the request.
func (s *Server) tag(r *http.Request) string {
	if s.cfg.Contract == Platform {
		return r.Header.Get(s.dialect.Attempt)
	}
	return r.Header.Get(TagHeader)
}

// refusal returns why the request is not run, and with which status; an empty reason says that it is run.
func (s *Server) refusal(r *http.Request, p plan, tag string) (status int, why string) {
	want := r.Header.Get(s.dialect.Instance)
	switch {
	case want != "" && want != s.cfg.ID:
		return http.StatusMisdirectedRequest, "instance"
	case s.cfg.Contract == Platform && tag == "":
		return http.StatusBadRequest, "id"
	case s.late(r):
		return http.StatusServiceUnavailable, "expired"
	case p.shed:
		return http.StatusServiceUnavailable, "overload"
	}
	return 0, ""
}

func (s *Server) late(r *http.Request) bool {
	if s.dialect.Deadline == "" {
		return r.Header.Get(s.dialect.Timeout) == "0"
	}
	ms, err := strconv.ParseInt(r.Header.Get(s.dialect.Deadline), 10, 64)
	return err == nil && time.Now().After(time.UnixMilli(ms))
}

// note records that the request starts to run and returns what ends it.
func (s *Server) note(tag string, r *http.Request, p plan) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.runs)
	s.running[i] = true
	s.runs = append(s.runs, Run{
		Start: time.Now(), Tag: tag, Path: r.URL.Path, Origin: r.Header.Get(s.dialect.Origin),
		Aborted: s.crashed || p.reset || p.cut || p.unframed || p.hang,
	})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, i)
		s.runs[i].End = time.Now()
	}
}

func (s *Server) plan(r *http.Request) plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := plan{took: time.Duration(float64(s.cfg.ServiceTime) * math.Exp(s.rnd.NormFloat64()*s.cfg.Sigma))}
	p.pause = max(0, time.Until(s.paused))
	f := s.faults
	draw := func(share float64) bool { return share > 0 && s.rnd.Float64() < share }
	p.shed = draw(f.Shed)
	if !s.sick(r) {
		return p
	}
	if f.Slow > 0 {
		p.took = time.Duration(float64(p.took) * f.Slow)
	}
	p.hang = f.Hang
	p.fail, p.cut, p.reset = draw(f.Fail), draw(f.Truncate), draw(f.Reset)
	p.lag = time.Duration(s.rnd.Int64N(int64(maxLag)))
	p.early, p.extra, p.unframed, p.forget = draw(f.EarlyResponse), draw(f.ExtraResponse), draw(f.Malformed), draw(f.ResetReused)
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
	if f.EveryNthCaller > 1 {
		sum := 0
		for _, c := range r.Header.Get("Caller") {
			sum += int(c)
		}
		return sum%f.EveryNthCaller == 0
	}
	return true
}

func (s *Server) answer(w http.ResponseWriter, tag string, p plan) {
	if p.reset {
		reset(w)
		return
	}
	if p.unframed || p.extra {
		s.raw(w, tag, p)
		return
	}
	if p.fail {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, tag)
		return
	}
	body := Body(tag, s.cfg.Size)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.dialect.Proof != "" {
		w.Header().Set(s.dialect.Proof, Checksum(body))
	}
	if p.cut {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// raw writes bytes outside the protocol, or an answer with another one behind it, and leaves the connection open for a while.
func (s *Server) raw(w http.ResponseWriter, tag string, p plan) {
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = c.SetDeadline(time.Now().Add(idleSeconds * time.Second))
	if p.unframed {
		_, _ = buf.WriteString("\x00\x01" + tag + "\r\n\r\n")
		_ = buf.Flush()
		_ = c.Close()
		return
	}
	s.write(buf, tag, Body(tag, s.cfg.Size))
	go func() {
		defer c.Close()
		time.Sleep(p.lag)
		s.write(buf, tag, extraBody)
		_, _ = io.Copy(io.Discard, c)
	}()
}

// write puts a whole answer on a connection that the HTTP server has let go.
func (s *Server) write(buf *bufio.ReadWriter, tag, body string) {
	fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n", s.dialect.Attempt, tag, len(body))
	if s.dialect.Proof != "" {
		fmt.Fprintf(buf, "%s: %s\r\n", s.dialect.Proof, Checksum(body))
	}
	fmt.Fprintf(buf, "\r\n%s", body)
	_ = buf.Flush() // a peer that has gone reads nothing more
}

// Checksum returns the proof that belongs to a whole body.
func Checksum(body string) string { return strconv.FormatUint(xxhash.Sum64String(body), 16) }
