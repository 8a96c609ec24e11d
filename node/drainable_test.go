package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/tcp"
	"github.com/matryer/is"
)

// TestEndedRequestsAreAnsweredUntilTheClose guards against a stopping node that closes the connections of requests which it has ended before a
// busy machine has let it send their responses, while it could have waited.
func TestEndedRequestsAreAnsweredUntilTheClose(t *testing.T) {
	const lateness = 3 * answerTime
	tests := []struct {
		name              string
		closeAfter        time.Duration
		answered          bool
		ended, unanswered int
	}{
		{"in time", 2 * lateness, true, 1, 0},
		{"too late", lateness / 2, false, 1, 1},
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
			defer server.Close()
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
			_ = server.Server.Close()
			is.Equal(<-result == nil, tt.answered)
		})
	}
}
