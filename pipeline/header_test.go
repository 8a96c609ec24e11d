package pipeline_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/pipeline"
	"github.com/matryer/is"
)

// TestHandlerMayChangeTheHeader guards against requests that are taken for others, and run again, since the handler that runs them before their turn
// removes a field of their header.
func TestHandlerMayChangeTheHeader(t *testing.T) {
	is := is.New(t)
	const requests = 4
	var runs atomic.Int64
	p := pipeline.New(requests, func(*http.Request) bool { return true }, func() {})
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		req.Header.Del("Removed")
		runs.Add(1)
		time.Sleep(50 * time.Millisecond)
		fmt.Fprintln(w, req.URL.Path)
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p.Attach(server)
	go func() { _ = server.Serve(p.Listen(ln)) }()
	t.Cleanup(func() { _ = server.Close() })
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer c.Close()
	_, err = io.WriteString(c, strings.Repeat("GET /x HTTP/1.1\r\nHost: h\r\nRemoved: 1\r\n\r\n", requests))
	is.NoErr(err)
	r := bufio.NewReader(c)
	for range requests {
		resp, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
	}
	is.Equal(runs.Load(), int64(requests))
}
