package upstream_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestSilentUpstreamRejectsNonIdempotent lets two requests hang and checks that the gate refuses a non-idempotent one, as not run, long
// before the two time out, and that it takes work again after the upstream has answered trial requests.
func TestSilentUpstreamRejectsNonIdempotent(t *testing.T) {
	is := is.New(t)
	hang := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("Attempt-Id"); id == "a.1" || id == "a.2" {
			<-hang
		}
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	}))
	defer srv.Close()
	defer close(hang) // before the server closes, which waits for its handlers
	g := newGate(t, srv.Listener.Addr().String(), 8)
	send := func(i int, nonIdempotent bool) error {
		a := attempt(i, nonIdempotent)
		a.TypicalLatency = 100 * time.Millisecond
		_, err := g.Do(context.Background(), a)
		return err
	}
	for i := range 2 {
		go func() { _ = send(1+i, false) }()
	}
	time.Sleep(400 * time.Millisecond)
	var e *outcome.Error
	is.True(errors.As(send(3, true), &e))
	is.Equal(e.Code, outcome.CodeSuspect)
	is.Equal(e.Outcome, outcome.NotRun)
	is.True(g.Suspect(time.Now()))
	start := time.Now()
	for i := 4; g.Suspect(time.Now()) && time.Since(start) < 3*time.Second; i++ {
		_ = send(i, false)
		time.Sleep(20 * time.Millisecond)
	}
	is.True(time.Since(start) < 2*time.Second) // trials found the upstream healthy
	is.NoErr(send(100, true))
}

// TestShedRequestsCountAsFailuresOfTheClass checks that an upstream which refuses requests although its slots are free reports failures,
// by which other nodes prefer its peers, and that its health is not in doubt: it may still be given work that must not run twice.
func TestShedRequestsCountAsFailuresOfTheClass(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		w.Header().Set(upstream.DefaultDialect().NotRunHeader, "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	g := newGate(t, srv.Listener.Addr().String(), 4)
	before := g.Load("c").Suspicion
	for i := range 5 {
		_, err := g.Do(context.Background(), attempt(i, true))
		var e *outcome.Error
		is.True(errors.As(err, &e))
		is.Equal(e.Outcome, outcome.NotRun)
	}
	load := g.Load("c")
	is.True(load.ClassReport.FailureRate() > 0.9)
	is.True(load.Suspicion <= before)
}
