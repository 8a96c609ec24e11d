package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/tcp"
	"github.com/matryer/is"
)

// TestEndedRequestsAreAnswered guards against a stopping node that closes the connections of requests which it has ended before a busy machine
// has let it send their responses, while it could have waited.
func TestEndedRequestsAreAnswered(t *testing.T) {
	const lateness = 3 * answerTime
	tests := []struct {
		name              string
		closeAfter        time.Duration
		finished          bool
		answered          bool
		ended, unanswered int
	}{
		{"before the close", 2 * lateness, false, true, 1, 0},
		{"after the close", lateness / 2, true, true, 1, 1},
		{"not at all", lateness / 2, false, false, 1, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			listener, err := tcp.Listen("127.0.0.1:0")
			is.NoErr(err)
			running := make(chan struct{})
			server := newDrainableServer(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				close(running)
				<-r.Context().Done()
				time.Sleep(lateness) // as if the node got no processor
				w.WriteHeader(http.StatusBadGateway)
			})}, listener)
			go func() { _ = server.Serve(server.listener) }()
			defer func() { is.NoErr(server.Close()) }()
			result := make(chan error, 1)
			go func() {
				resp, err := http.Get("http://" + listener.Addr().String())
				if err == nil {
					_ = resp.Body.Close()
				}
				result <- err
			}()
			<-running
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			ended, unanswered := server.end(ctx, time.Now().Add(tt.closeAfter))
			is.Equal(ended, tt.ended)
			is.Equal(unanswered, tt.unanswered)
			if tt.finished {
				server.finish()
			}
			is.NoErr(server.Close())
			is.Equal(<-result == nil, tt.answered)
		})
	}
}

// TestIdleConnectionsDelayNoStop guards against a stopping node that waits for its clients to close connections of HTTP/2 which carry no request:
// until it has started again, the upstream beside it gets nothing.
func TestIdleConnectionsDelayNoStop(t *testing.T) {
	is := is.New(t)
	listener, err := tcp.Listen("127.0.0.1:0")
	is.NoErr(err)
	httpServer := &http.Server{Protocols: new(http.Protocols), Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {})}
	httpServer.Protocols.SetUnencryptedHTTP2(true)
	server := newDrainableServer(httpServer, listener)
	go func() { _ = server.Serve(server.listener) }()
	defer func() { is.NoErr(server.Close()) }()
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	defer transport.CloseIdleConnections()
	resp, err := (&http.Client{Transport: transport}).Get("http://" + listener.Addr().String())
	is.NoErr(err)
	_ = resp.Body.Close()
	start := time.Now()
	ended, unanswered := server.end(context.Background(), start.Add(time.Minute))
	is.Equal(ended, 0)
	is.Equal(unanswered, 0)
	is.True(time.Since(start) < 4*answerTime)
}
