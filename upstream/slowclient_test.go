package upstream_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSlowClientsAreNoEvidence guards against the health of an upstream being judged by clients that read its large responses slowly, or send their
// bodies slowly, while one that stops in the middle of a response must still be noticed.
func TestSlowClientsAreNoEvidence(t *testing.T) {
	const size, deadline, typical = 16 << 20, 1600 * time.Millisecond, 100 * time.Millisecond
	tests := []struct {
		name     string
		stall    bool                               // the upstream stops in the middle of its response
		upload   bool                               // the body of the request doesn't come
		read     func(t *testing.T, body io.Reader) // how the client reads the response
		evidence bool
	}{
		{"slow, to the end", false, false, func(t *testing.T, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, size/2)
			time.Sleep(deadline / 2)
			_, err := io.Copy(io.Discard, body)
			is.New(t).NoErr(err)
		}, false},
		{"slower than the deadline", false, false, func(t *testing.T, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, 1<<20)
			time.Sleep(2 * deadline)
			_, err := io.Copy(io.Discard, body)
			is.New(t).True(err != nil)
		}, false},
		{"an upstream that stops", true, false, func(t *testing.T, body io.Reader) {
			_, err := io.Copy(io.Discard, body)
			is.New(t).True(err != nil)
		}, true},
		{"a body that doesn't come", false, true, nil, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			stop := make(chan struct{})
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				w.Header().Set("Attempt-Id", req.Header.Get("Attempt-Id"))
				if _, err := w.Write(make([]byte, size/2)); err != nil {
					return
				}
				if tt.stall {
					_ = http.NewResponseController(w).Flush()
					<-stop
				}
				_, _ = w.Write(make([]byte, size/2))
			}))
			defer srv.Close()
			defer close(stop) // before the server closes, which waits for its handlers
			g := newGate(t, srv.Listener.Addr().String(), 4)
			before := g.Load("c").Suspicion
			a := attempt(1, false)
			a.Deadline, a.TypicalLatency = time.Now().Add(deadline), typical
			if tt.upload {
				r, w := io.Pipe()
				defer func() { _ = w.Close() }()
				a.Body, a.Length = r, 1<<20
			}
			runUntil := time.Now().Add(3 * deadline)
			go func() { // the node runs
				for now := time.Now(); now.Before(runUntil); now = time.Now() {
					g.RecordRunning(now)
					time.Sleep(20 * time.Millisecond)
				}
			}()
			resp, err := g.Do(context.Background(), a)
			is.Equal(err != nil, tt.upload)
			if err == nil {
				tt.read(t, resp.Reader())
				_ = resp.Reader().Close()
			}
			after := g.Load("c").Suspicion
			t.Logf("suspicion %.3f, %.3f before", after, before)
			is.Equal(after > before+0.01, tt.evidence)
		})
	}
}
