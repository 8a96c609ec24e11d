package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// typicalLatency is the TypicalLatency of the attempts in these tests.
const typicalLatency = 10 * time.Millisecond

func newGate(t *testing.T, addr string, slots int) *upstream.Gate {
	a := upstream.Announcement{ID: "u", Service: "s", Address: addr, Slots: slots, State: upstream.Ready}
	g := upstream.NewGate(a, upstream.DefaultDialect(), []admission.Class{{Name: "c"}}, time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Run(ctx)
	return g
}

func attempt(i int, nonIdempotent bool) *upstream.Attempt {
	return &upstream.Attempt{
		ID: fmt.Sprintf("a.%d", i), RequestID: "a", Class: "c", Method: http.MethodPost, URI: "/x", Host: "h", NonIdempotent: nonIdempotent,
		Deadline: time.Now().Add(5 * time.Second), TypicalLatency: typicalLatency,
	}
}

// TestPauseDoesNotRaiseSuspicion pauses an upstream whose slots are all in use, which makes all its requests overdue at once.
func TestPauseDoesNotRaiseSuspicion(t *testing.T) {
	is := is.New(t)
	pause := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Attempt-Id") >= "a.5" {
			<-pause
		}
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	}))
	defer srv.Close()
	resume := sync.OnceFunc(func() { close(pause) })
	defer resume() // before the server closes, which waits for its handlers
	g := newGate(t, srv.Listener.Addr().String(), 4)
	for i := range 5 {
		_, err := g.Do(context.Background(), attempt(i, false))
		is.NoErr(err)
	}
	done := make(chan error, 4)
	for i := range 4 {
		go func() {
			_, err := g.Do(context.Background(), attempt(5+i, false))
			done <- err
		}()
	}
	time.Sleep(20 * typicalLatency)
	is.True(!g.Suspect(time.Now()))
	resume()
	for range 4 {
		is.NoErr(<-done)
	}
	is.True(!g.Suspect(time.Now()))
}

// rawServer answers each request with exactly the bytes that next returns, and closes the connection unless keep is set.
func rawServer(t *testing.T, next func(id string) (text string, keep bool)) (addr string, conns *atomic.Int64) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	conns = &atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go serveRaw(c, next)
		}
	}()
	return ln.Addr().String(), conns
}

func serveRaw(c net.Conn, next func(id string) (string, bool)) {
	defer c.Close()
	buf := make([]byte, 4096)
	for {
		n, err := c.Read(buf)
		if err != nil {
			return
		}
		id := ""
		for _, line := range splitLines(string(buf[:n])) {
			if len(line) > 12 && line[:12] == "Attempt-Id: " {
				id = line[12:]
			}
		}
		text, keep := next(id)
		if _, err := io.WriteString(c, text); err != nil || !keep {
			return
		}
	}
}

func splitLines(s string) []string {
	var out []string
	for len(s) > 0 {
		i := 0
		for i < len(s) && s[i] != '\r' {
			i++
		}
		out = append(out, s[:i])
		s = s[min(len(s), i+2):]
	}
	return out
}

func TestMalformedResponses(t *testing.T) {
	whole := func(id string) string {
		return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nContent-Length: 2\r\n\r\nok"
	}
	tests := []struct {
		name   string
		text   func(id string) string
		keep   bool // the server keeps the connection open
		code   outcome.Code
		reused bool // the next request reuses the connection
	}{
		{"whole", whole, true, "", true},
		{"a second answer behind it", func(id string) string { return whole(id) + whole("other") }, true, "", false},
		{"without a length, ended by the connection", func(id string) string {
			return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\n\r\nok"
		}, false, "", false},
		{"cut", func(id string) string {
			return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nContent-Length: 20\r\n\r\nok"
		}, false, outcome.CodeTruncated, false},
		{"of another attempt", func(string) string { return whole("other") }, true, outcome.CodeResponseMismatch, false},
		{"no answer at all", func(string) string { return "garbage\r\n\r\n" }, true, outcome.CodeUpstreamFailed, false},
		{"a closed connection", func(string) string { return "" }, false, outcome.CodeUpstreamFailed, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first := true
			addr, conns := rawServer(t, func(id string) (string, bool) {
				if !first {
					return whole(id), true
				}
				first = false
				return tt.text(id), tt.keep
			})
			g := newGate(t, addr, 4)
			_, err := g.Do(context.Background(), attempt(1, true))
			var e *outcome.Error
			is.Equal(errors.As(err, &e), tt.code != "")
			if e != nil {
				is.Equal(e.Code, tt.code)
				is.Equal(e.Outcome, outcome.Unknown)
			}
			resp, err := g.Do(context.Background(), attempt(2, false))
			is.NoErr(err)
			data, _ := resp.Content()
			is.Equal(string(data), "ok")
			is.Equal(conns.Load() == 1, tt.reused)
		})
	}
}

// TestSuspectUpstreamRejectsNonIdempotent breaks connections and checks that a non-idempotent attempt is then rejected as not run.
func TestSuspectUpstreamRejectsNonIdempotent(t *testing.T) {
	is := is.New(t)
	addr, conns := rawServer(t, func(string) (string, bool) { return "", false })
	g := newGate(t, addr, 4)
	for i := range 2 {
		_, err := g.Do(context.Background(), attempt(i, false))
		is.True(err != nil)
	}
	before := conns.Load()
	_, err := g.Do(context.Background(), attempt(3, true))
	var e *outcome.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Code, outcome.CodeSuspect)
	is.Equal(e.Outcome, outcome.NotRun)
	is.Equal(conns.Load(), before)
}

// TestQueuedRequestIsRefusedInTime lets a request wait for the only slot, which is never released, and checks that it is refused as not
// run when it can no longer start in time.
func TestQueuedRequestIsRefusedInTime(t *testing.T) {
	is := is.New(t)
	hang := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hang }))
	defer srv.Close()
	defer close(hang) // before the server closes, which waits for its handlers
	g := newGate(t, srv.Listener.Addr().String(), 1)
	go func() { _, _ = g.Do(context.Background(), attempt(1, true)) }()
	for g.Outstanding() == 0 {
		time.Sleep(time.Millisecond)
	}
	const wait = 200 * time.Millisecond
	a := attempt(2, true)
	start := time.Now()
	a.Deadline = start.Add(wait)
	_, err := g.Do(context.Background(), a)
	var e *outcome.Error
	is.True(errors.As(err, &e))
	is.Equal(e.Code, outcome.CodeExpired)
	is.Equal(e.Outcome, outcome.NotRun)
	is.True(time.Since(start) < 5*wait)
}
