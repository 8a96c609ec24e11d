package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPauseOfTheNodeIsNoEvidenceAgainstItsUpstream lets requests run into their deadlines, or into a broken connection, while the node
// is suspended, and while it runs.
func TestPauseOfTheNodeIsNoEvidenceAgainstItsUpstream(t *testing.T) {
	const pause = time.Second
	tests := []struct {
		name     string
		deadline time.Duration // of the requests
		suspends bool
		suspect  bool
	}{
		{"time-outs while the node is suspended", pause * 4 / 5, true, false},
		{"broken connections while the node is suspended", 2 * pause, true, false},
		{"time-outs while the node runs", pause * 4 / 5, false, true},
		{"broken connections while the node runs", 2 * pause, false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				select {
				case <-time.After(pause):
				case <-r.Context().Done():
				}
				panic(http.ErrAbortHandler)
			}))
			defer srv.Close()
			g := newGate(t, srv.Listener.Addr().String(), 8)
			g.RecordRunning(time.Now())
			var wg sync.WaitGroup
			for i := range 4 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					a := attempt(i, false)
					a.Deadline, a.TypicalLatency = time.Now().Add(tt.deadline), 50*time.Millisecond
					_, _ = g.Do(context.Background(), a)
				}()
			}
			for start := time.Now(); time.Since(start) < pause; time.Sleep(pause / 20) {
				if !tt.suspends {
					g.RecordRunning(time.Now())
				}
			}
			wg.Wait()
			g.RecordRunning(time.Now())
			is.Equal(g.Suspect(time.Now()), tt.suspect)
		})
	}
}
