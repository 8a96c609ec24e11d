package upstream_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

// serveUploads passes the connection of each request to serve, with a reader that has read its head only, and closes it after that.
func serveUploads(t *testing.T, serve func(c *net.TCPConn, body io.Reader)) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if req, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil { // a buffer that takes little of the body
					serve(c.(*net.TCPConn), req.Body)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// TestResponseCutDuringAnUploadNeverLooksComplete guards against a response without a length being taken for complete although its connection was
// reset: a write of the request that is still being sent may have learned of the reset in place of the read.
func TestResponseCutDuringAnUploadNeverLooksComplete(t *testing.T) {
	const (
		runs       = 40
		uploadSize = 4 << 20
	)
	received := make(chan struct{}) // gets a value when a response has been read
	reset := func(c *net.TCPConn, _ io.Reader) {
		time.Sleep(2 * time.Millisecond) // the bytes arrive before the reset, which would drop them
		_ = c.SetLinger(0)
	}
	tests := []struct {
		name         string
		length       int64
		end          func(c *net.TCPConn, body io.Reader) // what the upstream does after its response, before it closes the connection
		wantComplete bool
	}{
		{"reset", uploadSize, reset, false},
		{"reset of an upload without a length", -1, reset, false},
		{"reset while the upload is read", uploadSize, func(c *net.TCPConn, body io.Reader) {
			_, _ = io.CopyN(io.Discard, body, uploadSize/2)
			reset(c, body)
		}, false},
		{"closed with the upload unread", uploadSize, func(*net.TCPConn, io.Reader) { time.Sleep(2 * time.Millisecond) }, false},
		{"half closed, then reset", uploadSize, func(c *net.TCPConn, body io.Reader) {
			_ = c.CloseWrite()
			reset(c, body)
		}, false},
		{"half closed, the upload read", uploadSize, func(c *net.TCPConn, body io.Reader) {
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, body)
		}, true},
		{"half closed, the upload unread", uploadSize, func(c *net.TCPConn, _ io.Reader) {
			_ = c.CloseWrite()
			<-received
		}, true},
		{"closed after the upload", uploadSize, func(_ *net.TCPConn, body io.Reader) { _, _ = io.Copy(io.Discard, body) }, true},
	}
	for _, tt := range tests {
		for _, size := range []int{100, 200_000} { // read into memory, and streamed
			t.Run(fmt.Sprintf("%s, %d bytes", tt.name, size), func(t *testing.T) {
				is := is.New(t)
				addr := serveUploads(t, func(c *net.TCPConn, body io.Reader) {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: a.1\r\n\r\n"+strings.Repeat("x", size))
					tt.end(c, body)
				})
				complete := 0
				for range runs {
					a := attempt(1, true)
					a.Body, a.Length = strings.NewReader(strings.Repeat("u", uploadSize)), tt.length
					if receivesWhole(t, newGate(t, addr, 4), a, size) {
						complete++
					}
					select {
					case received <- struct{}{}:
					default: // the upstream doesn't wait
					}
				}
				want := 0
				if tt.wantComplete {
					want = runs
				}
				is.Equal(complete, want)
			})
		}
	}
}

// receivesWhole reports whether the response to the attempt looks complete; it then must have the given size.
func receivesWhole(t *testing.T, g *upstream.Gate, a *upstream.Attempt, size int) bool {
	t.Helper()
	resp, err := g.Do(context.Background(), a)
	if err != nil {
		return false
	}
	body := resp.Reader()
	defer body.Close()
	data, err := io.ReadAll(body)
	if err == nil && len(data) != size {
		t.Fatalf("%d bytes look complete, want %d", len(data), size)
	}
	return err == nil
}
