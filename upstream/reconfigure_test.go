package upstream_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

// TestResponseAfterTheServiceLostItsRoutes guards against a request that runs at its upstream being lost because a bundle takes the routes
// of the service, or the one of the request, before the response comes.
func TestResponseAfterTheServiceLostItsRoutes(t *testing.T) {
	tests := []struct {
		name    string
		classes []admission.Class // of the later bundle
	}{
		{"no route is left", nil},
		{"other routes are left", []admission.Class{{Name: "d"}, {Name: "e"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			arrived, finish := make(chan struct{}), make(chan struct{})
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				close(arrived)
				<-finish
				w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
				_, _ = io.WriteString(w, "done")
			}))
			defer srv.Close()
			g := newGate(t, srv.Listener.Addr().String(), 4)
			type answer struct {
				resp *upstream.Response
				err  error
			}
			answers := make(chan answer, 1)
			go func() {
				resp, err := g.Do(context.Background(), attempt(1, true))
				answers <- answer{resp, err}
			}()
			<-arrived
			g.SetClasses(tt.classes)
			g.Tick(time.Now())
			is.True(!g.Suspect(time.Now()))
			close(finish)
			got := <-answers
			is.NoErr(got.err)
			data, _ := got.resp.Content()
			is.Equal(string(data), "done")
			is.Equal(g.Outstanding(), 0)
		})
	}
}
