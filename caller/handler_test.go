package caller_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"testing/iotest"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
)

// sureNode is the part of a fleet that knows the newest bundle and records no request without a class.
type sureNode struct{}

func (sureNode) TrustsKeys() bool { return true }

func (sureNode) ConfirmedNewest() bool { return true }

func (sureNode) ExpectsNoKeys() bool { return true }

func (sureNode) RecordUnrouted(*http.Request, string, int, *bundle.Bundle, error) {}

// refusingFleet refuses all requests.
type refusingFleet struct {
	sureNode
	bundle *bundle.Bundle
}

func (f refusingFleet) Bundle() *bundle.Bundle { return f.bundle }

func (refusingFleet) Admit(*caller.Request) error {
	return outcome.NewError(outcome.NotRun, outcome.CodeDraining, nil)
}

func (refusingFleet) Serve(context.Context, *caller.Request) (*upstream.Response, error) {
	return nil, outcome.NewError(outcome.NotRun, outcome.CodeDraining, nil)
}

func (refusingFleet) RecordEnd(*caller.Request, int, outcome.Outcome, error, time.Duration) {}

// parseBundle returns a bundle with one service.
func parseBundle(t *testing.T) *bundle.Bundle {
	b, err := bundle.Parse("test", []byte(`
[policy]
signoffs = 1
key_retention = "10m"
retries = 0.1
link_bytes = "0B"
[[service]]
name = "s"
hosts = ["s.test"]
floor = 0.5
[[class]]
service = "s"
name = "book"
priority = 0
timeout = "3s"
[[route]]
service = "s"
prefix = "/"
method = "POST"
class = "book"
`))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestRefusalOfALargeRequestReachesItsCaller sends bodies that the server doesn't read, on connections that it closes after its response.
func TestRefusalOfALargeRequestReachesItsCaller(t *testing.T) {
	const bodyBytes, requests = 1 << 20, 100
	is := is.New(t)
	e := echo.New()
	caller.Mount(e, caller.DefaultDialect(), refusingFleet{bundle: parseBundle(t)}, caller.Limits{Head: 32 << 10, Body: 16 << 20})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set("Connection", "close")
		e.ServeHTTP(w, req)
	}))
	defer srv.Close()
	for range requests {
		conn, err := net.Dial("tcp", srv.Listener.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: s.test\r\nContent-Length: 1048576\r\n\r\n")
		is.NoErr(err)
		sent := make(chan struct{})
		go func() {
			defer close(sent)
			_, _ = io.Copy(conn, bytes.NewReader(make([]byte, bodyBytes))) // fails if the server stops reading
		}()
		time.Sleep(time.Millisecond)
		data, err := io.ReadAll(conn)
		is.NoErr(err)
		is.True(bytes.HasPrefix(data, []byte("HTTP/1.1 503 ")))
		_ = conn.Close()
		<-sent
	}
}

// unroutedFleet collects the ids and statuses of the requests that were refused before they had a class.
type unroutedFleet struct {
	refusingFleet
	recorded map[string]int
}

func (f unroutedFleet) RecordUnrouted(_ *http.Request, id string, status int, _ *bundle.Bundle, _ error) {
	f.recorded[id] = status
}

// TestRequestWithoutARouteLeavesATrace guards against a refusal that no log line explains.
func TestRequestWithoutARouteLeavesATrace(t *testing.T) {
	is := is.New(t)
	f := unroutedFleet{refusingFleet{bundle: parseBundle(t)}, make(map[string]int)}
	e := echo.New()
	d := caller.DefaultDialect()
	caller.Mount(e, d, f, caller.Limits{Head: 32 << 10, Body: 16 << 20})
	for id, host := range map[string]string{"r1": "s.test", "r2": "other.test"} {
		req := httptest.NewRequest(http.MethodPost, "http://"+host+"/x", nil)
		req.Header.Set(d.RequestIDHeader, id)
		e.ServeHTTP(httptest.NewRecorder(), req)
	}
	is.Equal(f.recorded, map[string]int{"r2": http.StatusNotFound})
}

// endlessFleet serves each request with a body without end, and tells how requests ended.
type endlessFleet struct {
	sureNode
	bundle *bundle.Bundle
	ended  chan error
}

func (f endlessFleet) Bundle() *bundle.Bundle { return f.bundle }

func (endlessFleet) Admit(*caller.Request) error { return nil }

func (endlessFleet) Serve(context.Context, *caller.Request) (*upstream.Response, error) {
	return &upstream.Response{Status: http.StatusOK, Header: make(http.Header), Length: -1, Body: io.NopCloser(zeros{})}, nil
}

func (f endlessFleet) RecordEnd(_ *caller.Request, _ int, _ outcome.Outcome, err error, _ time.Duration) {
	f.ended <- err
}

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestResponseThatNobodyReadsEnds guards against a node that keeps the response of a caller that doesn't read it for as long as that caller
// stays connected.
func TestResponseThatNobodyReadsEnds(t *testing.T) {
	const timeout, patience = 200 * time.Millisecond, 5 * time.Second
	for _, proto := range []string{"HTTP/1.1", "HTTP/2"} {
		t.Run(proto, func(t *testing.T) {
			is := is.New(t)
			f := endlessFleet{bundle: parseBundle(t), ended: make(chan error, 1)}
			e := echo.New()
			caller.Mount(e, caller.DefaultDialect(), f, caller.Limits{Head: 32 << 10, Body: 16 << 20})
			srv := httptest.NewUnstartedServer(e)
			srv.Config.Protocols = new(http.Protocols)
			srv.Config.Protocols.SetHTTP1(true)
			srv.Config.Protocols.SetUnencryptedHTTP2(true)
			srv.Start()
			defer srv.Close()
			defer srv.CloseClientConnections()
			transport := &http.Transport{Protocols: new(http.Protocols)}
			transport.Protocols.SetHTTP1(proto == "HTTP/1.1")
			transport.Protocols.SetUnencryptedHTTP2(proto == "HTTP/2")
			defer transport.CloseIdleConnections()
			req, err := http.NewRequest(http.MethodPost, srv.URL, nil)
			is.NoErr(err)
			req.Host = "s.test"
			req.Header.Set(caller.DefaultDialect().TimeoutHeader, strconv.FormatInt(timeout.Milliseconds(), 10))
			resp, err := transport.RoundTrip(req)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusOK)
			select {
			case err := <-f.ended:
				is.True(err != nil)
			case <-time.After(patience):
				t.Fatal("the response is still kept")
			}
		})
	}
}

// brokenFleet serves each request with a response whose body ends with an error.
type brokenFleet struct {
	sureNode
	bundle *bundle.Bundle
	length int64 // that the head names, or -1
	sent   int   // bytes before the error
}

func (f brokenFleet) Bundle() *bundle.Bundle { return f.bundle }

func (brokenFleet) Admit(*caller.Request) error { return nil }

func (f brokenFleet) Serve(context.Context, *caller.Request) (*upstream.Response, error) {
	body := io.MultiReader(bytes.NewReader(make([]byte, f.sent)), iotest.ErrReader(io.ErrUnexpectedEOF))
	return &upstream.Response{Status: http.StatusOK, Header: make(http.Header), Length: f.length, Body: io.NopCloser(body)}, nil
}

func (brokenFleet) RecordEnd(*caller.Request, int, outcome.Outcome, error, time.Duration) {}

// TestResponseThatBreaksIsAnsweredWhileNothingIsSent guards against connections being cut because the body of a small response could no longer
// be read. Of a large response part may have been sent, so that only a cut tells that it isn't whole.
func TestResponseThatBreaksIsAnsweredWhileNothingIsSent(t *testing.T) {
	tests := []struct {
		name   string
		length int64
		sent   int
		whole  bool
	}{
		{"small, without a byte", 10, 0, true},
		{"small, midway", 10, 5, true},
		{"large, midway", 1 << 20, 100 << 10, false},
		{"of unknown length, midway", -1, 5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := echo.New()
			caller.Mount(e, caller.DefaultDialect(), brokenFleet{bundle: parseBundle(t), length: tt.length, sent: tt.sent}, caller.Limits{Head: 32 << 10, Body: 16 << 20})
			srv := httptest.NewServer(e)
			defer srv.Close()
			req, err := http.NewRequest(http.MethodPost, srv.URL, nil)
			is.NoErr(err)
			req.Host = "s.test"
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err == nil {
				_, err = io.Copy(io.Discard, resp.Body)
				is.NoErr(resp.Body.Close())
			}
			is.Equal(err == nil, tt.whole)
			if tt.whole {
				is.Equal(resp.StatusCode, http.StatusBadGateway)
				is.Equal(resp.Header.Get(outcome.HeaderName), string(outcome.Unknown))
			}
		})
	}
}
