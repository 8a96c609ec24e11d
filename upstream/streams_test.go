package upstream_test

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// zeros is a body without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// TestResponsesThatNobodyReadsAreEnded guards against a node whose memory is used up by responses, streamed or read into memory, whose callers don't
// read them, and against the response of a caller that reads being ended for them.
func TestResponsesThatNobodyReadsAreEnded(t *testing.T) {
	const clients, maxHeld = 220, 32 << 20
	is := is.New(t)
	var ended atomic.Int64
	streams := upstream.NewStreams(func() { ended.Add(1) })
	large := make([]byte, 8<<20) // more than the buffers of a connection hold
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		resp := &upstream.Response{Status: http.StatusOK, Header: make(http.Header), Length: -1, Body: io.NopCloser(zeros{})}
		switch req.URL.Path {
		case "/read":
			resp.Body = io.NopCloser(bytes.NewReader(large))
		case "/small":
			resp.SetContent(large)
		}
		resp.Bound(streams)
		if resp.Send(w) != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	defer srv.Close()
	open := func(path string) net.Conn {
		c, err := net.Dial("tcp", srv.Listener.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		is.NoErr(err)
		return c
	}
	reader := open("/read")
	defer reader.Close()
	for range clients {
		defer open("/").Close()
	}
	defer open("/small").Close()
	total := 0
	buf := make([]byte, len(large)/20)
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) { // a slow reader
		n, err := reader.Read(buf)
		total += n
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
	}
	is.True(total > len(large)) // with the head of the response
	for end := time.Now().Add(10 * time.Second); streams.Held() > maxHeld && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.True(streams.Held() <= maxHeld)
	is.True(ended.Load() > 0)
	is.True(ended.Load() < clients) // no more of them than the bound asks for
	t.Logf("%d of %d responses were ended, %d MB are held", ended.Load(), clients+1, streams.Held()>>20)
}
