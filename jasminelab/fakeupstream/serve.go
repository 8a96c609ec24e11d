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
	healthPath            = "/healthz"
	keepAliveSeconds      = 5 // idle timeout of connections, as stated in the Keep-Alive header
	extraResponseBody     = "late"
	maxExtraResponseDelay = 40 * time.Millisecond // maximum delay of the unsolicited second response
)

// requestPlan holds the service time and the faults drawn for one request.
type requestPlan struct {
	serviceTime                           time.Duration
	fail, hang, truncate                  bool
	shed, reset, earlyResponse            bool
	extraResponse, malformed, resetReused bool
	pause                                 time.Duration // remaining time of Faults.Pause
	extraResponseDelay                    time.Duration // delay of the unsolicited second response
}

// connKey is the key of the request's connection in its context.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// removeClosedConn removes closed and hijacked connections from usedConns.
func (s *Server) removeClosedConn(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.usedConns, c)
}

// markConnUsed marks the request's connection as used and reports whether an earlier request had used it.
func (s *Server) markConnUsed(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	wasUsed := s.usedConns[c]
	s.usedConns[c] = true
	return wasUsed
}

// resetConn resets the TCP connection of the request.
func resetConn(w http.ResponseWriter) {
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
	p := s.drawPlan(r)
	if s.markConnUsed(r) && p.resetReused {
		resetConn(w)
		return
	}
	w.Header().Set(s.dialect.AttemptHeader, r.Header.Get(s.dialect.AttemptHeader))
	w.Header().Set("Keep-Alive", fmt.Sprintf("timeout=%d", keepAliveSeconds))
	tag := s.tag(r)
	if status, reason := s.rejection(r, p, tag); reason != "" {
		w.Header().Set(s.dialect.NotRunHeader, reason)
		w.WriteHeader(status)
		return
	}
	if p.earlyResponse {
		c := http.NewResponseController(w)
		_ = c.EnableFullDuplex()
		defer func() {
			_ = c.Flush()
			_, _ = io.Copy(io.Discard, r.Body) // the body must be read before the next request on the connection
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
	defer s.recordRun(tag, r, p)()
	if p.hang {
		<-r.Context().Done()
		return
	}
	select {
	case <-time.After(p.serviceTime + p.pause):
	case <-r.Context().Done():
		return
	}
	s.respond(w, tag, p)
}

func (s *Server) health(w http.ResponseWriter) {
	s.mu.Lock()
	draining := s.state == upstream.Draining
	s.mu.Unlock()
	w.Header().Set("Instance-Id", s.cfg.ID)
	if draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// tag returns the tag that identifies the request; in the platform's protocol it is the value of the attempt header.
func (s *Server) tag(r *http.Request) string {
	if s.cfg.Protocol == Platform {
		return r.Header.Get(s.dialect.AttemptHeader)
	}
	return r.Header.Get(TagHeader)
}

// rejection returns the status and reason with which the request is rejected; the reason is empty if it is not rejected.
func (s *Server) rejection(r *http.Request, p requestPlan, tag string) (status int, reason string) {
	wantInstance := r.Header.Get(s.dialect.InstanceHeader)
	switch {
	case wantInstance != "" && wantInstance != s.cfg.ID:
		return http.StatusMisdirectedRequest, "instance"
	case s.cfg.Protocol == Platform && tag == "":
		return http.StatusBadRequest, "id"
	case s.isExpired(r):
		return http.StatusServiceUnavailable, "expired"
	case p.shed:
		return http.StatusServiceUnavailable, "overload"
	}
	return 0, ""
}

func (s *Server) isExpired(r *http.Request) bool {
	if s.dialect.DeadlineHeader == "" {
		return r.Header.Get(s.dialect.TimeoutHeader) == "0"
	}
	ms, err := strconv.ParseInt(r.Header.Get(s.dialect.DeadlineHeader), 10, 64)
	return err == nil && time.Now().After(time.UnixMilli(ms))
}

// recordRun records that the request starts to run and returns a function that records its end.
func (s *Server) recordRun(tag string, r *http.Request, p requestPlan) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.runs)
	s.running[i] = true
	s.runs = append(s.runs, Run{
		Start: time.Now(), Tag: tag, Path: r.URL.Path, Origin: r.Header.Get(s.dialect.OriginHeader),
		Aborted: s.crashed || p.reset || p.truncate || p.malformed || p.hang,
	})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.running, i)
		s.runs[i].End = time.Now()
	}
}

func (s *Server) drawPlan(r *http.Request) requestPlan {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := requestPlan{serviceTime: time.Duration(float64(s.cfg.MedianServiceTime) * math.Exp(s.rng.NormFloat64()*s.cfg.Sigma))}
	p.pause = max(0, time.Until(s.pausedUntil))
	f := s.faults
	draw := func(probability float64) bool { return probability > 0 && s.rng.Float64() < probability }
	p.shed = draw(f.ShedShare)
	if !s.isFaulty(r) {
		return p
	}
	if f.SlowFactor > 0 {
		p.serviceTime = time.Duration(float64(p.serviceTime) * f.SlowFactor)
	}
	p.hang = f.Hang
	p.fail, p.truncate, p.reset = draw(f.FailShare), draw(f.TruncateShare), draw(f.ResetShare)
	p.extraResponseDelay = time.Duration(s.rng.Int64N(int64(maxExtraResponseDelay)))
	p.earlyResponse, p.extraResponse, p.malformed, p.resetReused = draw(f.EarlyResponseShare), draw(f.ExtraResponseShare), draw(f.MalformedShare), draw(f.ResetReusedShare)
	return p
}

// isFaulty reports whether the faults apply to the request. The caller must hold the lock of the server.
func (s *Server) isFaulty(r *http.Request) bool {
	f := s.faults
	if f.FlapInterval > 0 && int(time.Since(s.faultsSince)/f.FlapInterval)%2 == 1 {
		return false
	}
	if f.PathPrefix != "" && !strings.HasPrefix(r.URL.Path, f.PathPrefix) {
		return false
	}
	if f.EveryNthCaller > 1 {
		sum := 0
		for _, char := range r.Header.Get("Caller") {
			sum += int(char)
		}
		return sum%f.EveryNthCaller == 0
	}
	return true
}

func (s *Server) respond(w http.ResponseWriter, tag string, p requestPlan) {
	if p.reset {
		resetConn(w)
		return
	}
	if p.malformed || p.extraResponse {
		s.respondRaw(w, tag, p)
		return
	}
	if p.fail {
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, tag)
		return
	}
	body := Body(tag, s.cfg.ResponseSize)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if s.dialect.ProofHeader != "" {
		w.Header().Set(s.dialect.ProofHeader, Checksum(body))
	}
	if p.truncate {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

// respondRaw writes to the hijacked connection: either bytes that are not HTTP, after which it closes the connection,
// or a response and, after a delay, an unsolicited second one, after which it waits for the peer to close.
func (s *Server) respondRaw(w http.ResponseWriter, tag string, p requestPlan) {
	c, buf, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_ = c.SetDeadline(time.Now().Add(keepAliveSeconds * time.Second))
	if p.malformed {
		_, _ = buf.WriteString("\x00\x01" + tag + "\r\n\r\n")
		_ = buf.Flush()
		_ = c.Close()
		return
	}
	s.writeRaw(buf, tag, Body(tag, s.cfg.ResponseSize))
	go func() {
		defer c.Close()
		time.Sleep(p.extraResponseDelay)
		s.writeRaw(buf, tag, extraResponseBody)
		_, _ = io.Copy(io.Discard, c)
	}()
}

// writeRaw writes a complete response to a hijacked connection.
func (s *Server) writeRaw(buf *bufio.ReadWriter, tag, body string) {
	fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n", s.dialect.AttemptHeader, tag, len(body))
	if s.dialect.ProofHeader != "" {
		fmt.Fprintf(buf, "%s: %s\r\n", s.dialect.ProofHeader, Checksum(body))
	}
	fmt.Fprintf(buf, "\r\n%s", body)
	_ = buf.Flush() // an error means that the peer has closed the connection
}

// Checksum returns the checksum of a response body that the platform's protocol sends in a header.
func Checksum(body string) string { return strconv.FormatUint(xxhash.Sum64String(body), 16) }
