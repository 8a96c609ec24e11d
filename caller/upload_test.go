package caller_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
)

// readingFleet reads the body of each request and responds after a further wait.
type readingFleet struct {
	sureNode
	bundle *bundle.Bundle
	wait   time.Duration
}

func (f readingFleet) Bundle() *bundle.Bundle { return f.bundle }

func (readingFleet) Admit(*caller.Request) error { return nil }

func (f readingFleet) Serve(ctx context.Context, r *caller.Request) (*upstream.Response, error) {
	if _, err := io.Copy(io.Discard, r.Body.Open()); err != nil {
		return nil, outcome.NewError(outcome.Unknown, outcome.CodeTimeout, err)
	}
	time.Sleep(f.wait)
	if ctx.Err() != nil {
		return nil, outcome.NewError(outcome.Unknown, outcome.CodeCanceled, ctx.Err())
	}
	resp := &upstream.Response{Status: http.StatusOK, Header: make(http.Header)}
	resp.SetContent([]byte("ok"))
	return resp, nil
}

func (readingFleet) RecordEnd(*caller.Request, int, outcome.Outcome, error, time.Duration) {}

// TestBodyThatStopsEnds guards against a caller that stops sending its body keeping its request for as long as it stays connected, and against the
// time limit of bodies ending a request that is served late, or the next one on its connection.
func TestBodyThatStopsEnds(t *testing.T) {
	const timeout, late = 200 * time.Millisecond, 300 * time.Millisecond
	tests := []struct {
		name         string
		length, sent int
		status       int
	}{
		{"small, whole", 1000, 1000, http.StatusOK},
		{"large, whole", 200_000, 200_000, http.StatusOK},
		{"small, stops", 1000, 500, http.StatusBadRequest},
		{"large, stops early", 200_000, 10_000, http.StatusBadRequest},
		{"large, stops late", 200_000, 150_000, http.StatusGatewayTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := echo.New()
			caller.Mount(e, caller.DefaultDialect(), readingFleet{bundle: parseBundle(t), wait: late}, caller.Limits{Head: 32 << 10, Body: 16 << 20})
			srv := httptest.NewServer(e)
			defer srv.Close()
			c, err := net.Dial("tcp", srv.Listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			br := bufio.NewReader(c)
			requests := 2
			if tt.sent < tt.length {
				requests = 1
			}
			for range requests {
				_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: s.test\r\nRequest-Timeout: %d\r\nContent-Length: %d\r\n\r\n", timeout.Milliseconds(), tt.length)
				is.NoErr(err)
				_, err = c.Write(make([]byte, tt.sent))
				is.NoErr(err)
				is.NoErr(c.SetReadDeadline(time.Now().Add(3 * time.Second)))
				resp, err := http.ReadResponse(br, nil)
				is.NoErr(err)
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(err)
				is.Equal(resp.StatusCode, tt.status)
			}
		})
	}
}

// TestBodiesBeyondTheBoundAreRefused guards against a node whose memory is used up by callers that send large bodies slowly: a further one must be
// refused as not run, and be served once others have ended.
func TestBodiesBeyondTheBoundAreRefused(t *testing.T) {
	const timeout, bound, length = 2 * time.Second, 32 << 20, 200_000
	const most = bound/(192<<10) + 1 // one more than are taken at once
	is := is.New(t)
	e := echo.New()
	caller.Mount(e, caller.DefaultDialect(), readingFleet{bundle: parseBundle(t)}, caller.Limits{Head: 32 << 10, Body: 16 << 20})
	srv := httptest.NewServer(e)
	defer srv.Close()
	send := func(sent int) net.Conn {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		is.NoErr(err)
		_, err = fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: s.test\r\nRequest-Timeout: %d\r\nContent-Length: %d\r\n\r\n", timeout.Milliseconds(), length)
		is.NoErr(err)
		_, err = c.Write(make([]byte, sent))
		is.NoErr(err)
		return c
	}
	status := func(c net.Conn) int {
		is.NoErr(c.SetReadDeadline(time.Now().Add(10 * time.Second)))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		return resp.StatusCode
	}
	for range most {
		defer send(length / 2).Close()
	}
	time.Sleep(timeout / 4)
	refused := send(length)
	defer refused.Close()
	is.Equal(status(refused), http.StatusServiceUnavailable)
	time.Sleep(timeout) // the others have ended
	served := send(length)
	defer served.Close()
	is.Equal(status(served), http.StatusOK)
}
