package peer_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

// largeReceiver answers each attempt with a body that doesn't fit into the window of a stream, and tells when it was closed.
type largeReceiver struct{ closed chan struct{} }

func (r largeReceiver) Attempt(context.Context, string, *upstream.Attempt) (*upstream.Response, error) {
	return &upstream.Response{Status: http.StatusOK, Header: make(http.Header), Length: -1, Body: r}, nil
}

func (r largeReceiver) Keyed(ctx context.Context, k *peer.KeyedRequest) (*upstream.Response, error) {
	return r.Attempt(ctx, "", k.Attempt)
}

func (largeReceiver) Read(p []byte) (int, error) { return len(p), nil }

func (r largeReceiver) Close() error {
	close(r.closed)
	return nil
}

// readingReceiver reads the body of each attempt and tells how that ended.
type readingReceiver struct{ ended chan error }

func (r readingReceiver) Attempt(_ context.Context, _ string, a *upstream.Attempt) (*upstream.Response, error) {
	_, err := io.Copy(io.Discard, a.Body)
	r.ended <- err
	resp := &upstream.Response{Status: http.StatusOK, Header: make(http.Header)}
	resp.SetContent(nil)
	return resp, nil
}

func (r readingReceiver) Keyed(ctx context.Context, k *peer.KeyedRequest) (*upstream.Response, error) {
	return r.Attempt(ctx, "", k.Attempt)
}

// startForward starts a node that hands what is forwarded to it to r, and returns its address.
func startForward(t *testing.T, r peer.Receiver) string {
	srv := httptest.NewUnstartedServer(peer.ForwardHandler(r))
	srv.Config.Protocols = new(http.Protocols)
	srv.Config.Protocols.SetUnencryptedHTTP2(true)
	srv.Start()
	t.Cleanup(srv.Close)
	t.Cleanup(srv.CloseClientConnections)
	return strings.TrimPrefix(srv.URL, "http://")
}

// forwardByHand sends the headers of a forwarded request with a timeout of 200 ms, as a node does that is lost before it ends the request.
func forwardByHand(t *testing.T, address string, body io.Reader) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Hop-Upstream", "u")
	req.Header.Set("Hop-Timeout", "200000")
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	go func() {
		resp, err := transport.RoundTrip(req)
		if err == nil {
			t.Cleanup(func() { _ = resp.Body.Close() })
		}
	}()
}

// TestLostNodeHoldsNoSlot guards against a gate that refuses everything since nodes were lost in the middle of a response or of a body.
func TestLostNodeHoldsNoSlot(t *testing.T) {
	const limit = 3 * time.Second
	t.Run("response", func(t *testing.T) {
		is := is.New(t)
		r := largeReceiver{make(chan struct{})}
		forwardByHand(t, startForward(t, r), nil)
		select {
		case <-r.closed:
		case <-time.After(limit):
			is.Fail() // the response is still being sent
		}
	})
	t.Run("body", func(t *testing.T) {
		is := is.New(t)
		r := readingReceiver{make(chan error, 1)}
		unfinished, end := io.Pipe()
		defer func() { _ = end.Close() }()
		forwardByHand(t, startForward(t, r), io.MultiReader(bytes.NewReader([]byte("begin")), unfinished))
		select {
		case err := <-r.ended:
			is.True(err != nil)
		case <-time.After(limit):
			is.Fail() // the body is still awaited
		}
	})
}
