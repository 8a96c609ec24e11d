package peer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

// startFaultyNode starts a node that answers with handler what other nodes send, and returns its address.
func startFaultyNode(t *testing.T, handler http.HandlerFunc) string {
	srv := httptest.NewUnstartedServer(handler)
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// sendWithoutEnd writes to w until the other side closes, and counts the bytes in sent.
func sendWithoutEnd(w io.Writer, part string, sent *atomic.Int64) {
	for {
		n, err := io.WriteString(w, part)
		sent.Add(int64(n))
		if err != nil {
			return
		}
	}
}

// peakHeap returns by how many bytes the heap in use grows at most while f runs.
func peakHeap(f func()) int64 {
	inUse := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	before, peak := inUse(), int64(0)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f()
	}()
	for {
		select {
		case <-done:
			return peak - before
		default:
			peak = max(peak, inUse())
		}
	}
}

// TestEndlessAnswersOfNodes guards against a node that keeps all that a faulty one sends until its memory is used up.
func TestEndlessAnswersOfNodes(t *testing.T) {
	const (
		timeout = 600 * time.Millisecond
		maxKept = 16 << 20 // what one control message may take in memory
		maxSent = 4 << 20  // what the buffers of a connection hold of a response that nobody reads
	)
	line := strings.Repeat("x", 1000)
	large := strings.Repeat("x", 2<<20)
	tests := []struct {
		name    string
		handler func(w http.ResponseWriter, sent *atomic.Int64)
		body    bool // the endless part comes after the head
	}{
		{"a body", func(w http.ResponseWriter, sent *atomic.Int64) { sendWithoutEnd(w, line, sent) }, true},
		{"a message", func(w http.ResponseWriter, sent *atomic.Int64) {
			w.Header().Set("Content-Type", "application/proto")
			sendWithoutEnd(w, line, sent)
		}, true},
		{"a body of an error", func(w http.ResponseWriter, sent *atomic.Int64) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusInternalServerError)
			sendWithoutEnd(w, line, sent)
		}, true},
		{"one long header field", func(w http.ResponseWriter, _ *atomic.Int64) { w.Header().Set("A", large) }, false},
		{"header fields", func(w http.ResponseWriter, _ *atomic.Int64) {
			for i := range 3000 {
				w.Header().Set(fmt.Sprint("A", i), line)
			}
		}, false},
		{"informational responses", func(w http.ResponseWriter, sent *atomic.Int64) {
			w.Header().Set("A", strings.Repeat("x", 20_000))
			for range 1000 {
				w.WriteHeader(http.StatusEarlyHints)
				sent.Add(20_000)
			}
		}, false},
		{"trailers", func(w http.ResponseWriter, _ *atomic.Int64) {
			w.Header().Set("Trailer", "A")
			_, _ = io.WriteString(w, line)
			w.Header().Set("A", large)
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var sent atomic.Int64
			address := startFaultyNode(t, func(w http.ResponseWriter, _ *http.Request) { tt.handler(w, &sent) })
			t.Run("heartbeat", func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(context.Background(), timeout)
				defer cancel()
				c := peer.NewClient(nil)
				defer c.Close()
				var err error
				kept := peakHeap(func() { _, err = c.Exchange(ctx, address, peer.Heartbeat{}) })
				is.True(err != nil)
				t.Logf("kept %d KB", kept>>10)
				is.True(kept < maxKept)
			})
			t.Run("forwarded request", func(t *testing.T) {
				is := is.New(t)
				sent.Store(0)
				c := peer.NewClient(nil)
				defer c.Close()
				a := &upstream.Attempt{ID: "a.1", RequestID: "a", Class: "c", Method: http.MethodGet, URI: "/x", Host: "h", Deadline: time.Now().Add(timeout)}
				resp, err := c.Forward(context.Background(), address, "u", a)
				if err == nil {
					is.True(tt.body)
					time.Sleep(timeout / 2) // the caller doesn't read yet
					is.True(sent.Load() < maxSent)
					_, err = io.Copy(io.Discard, resp.Reader())
					_ = resp.Reader().Close()
				}
				is.True(err != nil) // the response must not look complete
			})
		})
	}
}
