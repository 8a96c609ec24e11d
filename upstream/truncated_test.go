package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// serveOnce accepts one connection, writes text after the request has come, and closes or resets the connection.
func serveOnce(t *testing.T, text string, reset bool) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		defer func() { _ = ln.Close() }()
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		_, _ = c.Read(make([]byte, 4096))
		_, _ = io.WriteString(c, text)
		if reset {
			time.Sleep(2 * time.Millisecond) // the bytes arrive before the reset, which would drop them
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	}()
	return ln.Addr().String()
}

// TestTruncatedResponseNeverLooksComplete cuts responses of each framing after every byte. Only the whole response, or the body of a
// response that ends with its connection, may be taken for complete.
func TestTruncatedResponseNeverLooksComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt-Id: a.1\r\n"
	tests := []struct {
		name, text string
		untilClose bool // the end of the connection marks the end of the body
	}{
		{"length", head + "Content-Length: 10\r\n\r\n0123456789", false},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n", false},
		{"chunks and a trailer", head + "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n\r\na\r\n0123456789\r\n0\r\nSum: 12\r\n\r\n", false},
		{"neither", head + "Connection: close\r\n\r\n0123456789", true},
		{"informational first", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + head + "Content-Length: 10\r\n\r\n0123456789", false},
		{"length 0", head + "Content-Length: 0\r\n\r\n", false},
	}
	for _, tt := range tests {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, reset %v", tt.name, reset), func(t *testing.T) {
				bodyStart := strings.LastIndex(tt.text, "\r\n\r\n0123") + 4
				for n := range len(tt.text) {
					resp, err := newGate(t, serveOnce(t, tt.text[:n], reset), 4).Do(context.Background(), attempt(1, true))
					if err == nil {
						_, err = io.ReadAll(resp.Reader())
					}
					if allowed := tt.untilClose && !reset && n >= bodyStart; err == nil && !allowed {
						t.Fatalf("complete after %q", tt.text[:n])
					}
					var e *outcome.Error
					if errors.As(err, &e) && e.Outcome == outcome.NotRun {
						t.Fatalf("not run after %q", tt.text[:n])
					}
				}
			})
		}
	}
}

// TestLargeTruncatedResponseNeverLooksComplete cuts responses that are streamed, since they are larger than what is read into memory.
func TestLargeTruncatedResponseNeverLooksComplete(t *testing.T) {
	const size = 200_000
	body := strings.Repeat("x", size)
	tests := []struct {
		name, text string
	}{
		{"length", fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: a.1\r\nContent-Length: %d\r\n\r\n%s", size, body)},
		{"chunks", fmt.Sprintf("HTTP/1.1 200 OK\r\nAttempt-Id: a.1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)},
	}
	for _, tt := range tests {
		for _, reset := range []bool{false, true} {
			for _, missing := range []int{1, 2, 3, 4, 5, 1000, 100_000, 150_000} {
				t.Run(fmt.Sprintf("%s, reset %v, %d bytes missing", tt.name, reset, missing), func(t *testing.T) {
					is := is.New(t)
					addr := serveOnce(t, tt.text[:len(tt.text)-missing], reset)
					resp, err := newGate(t, addr, 4).Do(context.Background(), attempt(1, true))
					if err == nil {
						_, err = io.ReadAll(resp.Reader())
					}
					is.True(err != nil)
				})
			}
		}
	}
}
