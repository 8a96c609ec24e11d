package peer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

// recordingReceiver keeps the last attempt that it received.
type recordingReceiver struct{ last *upstream.Attempt }

func (r *recordingReceiver) Attempt(_ context.Context, _ string, a *upstream.Attempt) (*upstream.Response, error) {
	r.last = a
	resp := &upstream.Response{Status: http.StatusOK, Header: make(http.Header)}
	resp.SetContent(nil)
	return resp, nil
}

func (r *recordingReceiver) Keyed(ctx context.Context, k *peer.KeyedRequest) (*upstream.Response, error) {
	return r.Attempt(ctx, "", k.Attempt)
}

// TestCallerTravelsWithTheAttempt guards against a gate, or an owner of an idempotency key, that takes a caller or a priority from the headers
// of the client, or gets none.
func TestCallerTravelsWithTheAttempt(t *testing.T) {
	receiver := &recordingReceiver{}
	srv := httptest.NewUnstartedServer(peer.ForwardHandler(receiver))
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	defer srv.Close()
	client := peer.NewClient(nil)
	defer client.Close()
	address := strings.TrimPrefix(srv.URL, "http://")
	tests := []struct {
		name        string
		caller      string
		prioritized bool
		priority    int
	}{
		{"identified, with a priority", "Tenant:1", true, 0},
		{"identified, without a priority", "t2", false, 0},
		{"not identified", "", false, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := &upstream.Attempt{
				ID: "1", Method: http.MethodPost, URI: "/x", Deadline: time.Now().Add(time.Second), Caller: tt.caller, Prioritized: tt.prioritized, Priority: tt.priority,
				Header: http.Header{"Hop-Caller": {"forged"}, "Hop-Priority": {"9"}},
			}
			sends := []func() (*upstream.Response, error){
				func() (*upstream.Response, error) { return client.Forward(context.Background(), address, "u", a) },
				func() (*upstream.Response, error) {
					return client.ForwardKey(context.Background(), address, &peer.KeyedRequest{Key: "of-another/s/k", Attempt: a})
				},
			}
			for _, send := range sends {
				resp, err := send()
				is.NoErr(err)
				is.NoErr(resp.Reader().Close())
				is.Equal(receiver.last.Caller, tt.caller)
				is.Equal(receiver.last.Prioritized, tt.prioritized)
				is.Equal(receiver.last.Priority, tt.priority)
				is.Equal(len(receiver.last.Header["Hop-Caller"])+len(receiver.last.Header["Hop-Priority"]), 0)
			}
		})
	}
}
