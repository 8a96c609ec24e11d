package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessServer answers each request with prefix and then repeats part until the connection is closed. Its counters tell how many bytes
// it wrote and how many connections were closed by the other side.
type endlessServer struct {
	prefix, part  string
	pause         time.Duration // between prefix and part
	written, ends atomic.Int64
}

func (s *endlessServer) listen(t *testing.T) string {
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
			go s.serve(c)
		}
	}()
	return ln.Addr().String()
}

func (s *endlessServer) serve(c net.Conn) {
	defer c.Close()
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	if err != nil {
		return
	}
	_, id, _ := strings.Cut(string(buf[:n]), "Attempt-Id: ")
	id, _, _ = strings.Cut(id, "\r\n")
	_, err = io.WriteString(c, strings.ReplaceAll(s.prefix, "ID", id))
	time.Sleep(s.pause)
	for err == nil {
		n, err = io.WriteString(c, s.part)
		s.written.Add(int64(n))
	}
	s.ends.Add(1)
}

// TestEndlessResponses has an upstream send bytes without end in each part of a response. The attempt must end without a complete
// response by its deadline, with the connection closed, and an endless head must not be read for long.
func TestEndlessResponses(t *testing.T) {
	const (
		timeLimit   = 600 * time.Millisecond
		maxHeadRead = 8 << 20 // what the buffers of the connection hold beside the limit on heads
	)
	line := strings.Repeat("x", 1000)
	tests := []struct {
		name, prefix, part string
		body               bool // the endless part comes after the head
	}{
		{"a status line", "HTTP/1.1 200 ", line, false},
		{"header fields", "HTTP/1.1 200 OK\r\n", "A: " + line + "\r\n", false},
		{"one header field", "HTTP/1.1 200 OK\r\nA: ", line, false},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nA: " + line + "\r\n\r\n", false},
		{"no response at all", "", line + "\n", false},
		{"a body without length", "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\n\r\n", line, true},
		{"chunks", "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(line), line), true},
		{"a chunk extension", "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nTransfer-Encoding: chunked\r\n\r\n5;", line, true},
		{"trailers", "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n0\r\n", "A: " + line + "\r\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := &endlessServer{prefix: tt.prefix, part: tt.part}
			g := newGate(t, s.listen(t), 4)
			start := time.Now()
			before := g.Load("").Suspicion
			a := attempt(1, false)
			a.Deadline, a.TypicalLatency = start.Add(timeLimit), timeLimit
			resp, err := g.Do(context.Background(), a)
			if err == nil {
				is.True(tt.body)
				_, err = io.Copy(io.Discard, resp.Reader())
				_ = resp.Reader().Close()
			}
			is.True(err != nil) // the response must not look complete
			is.True(time.Since(start) < timeLimit+500*time.Millisecond)
			is.True(tt.body || s.written.Load() < maxHeadRead)
			for range 100 {
				if s.ends.Load() == 1 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(s.ends.Load(), int64(1)) // the connection was closed
			is.True(g.Load("").Suspicion > before)
		})
	}
}

// TestBytesAfterAResponseAreNotKept guards against a connection that stays open, with bytes without end after a complete response, because no
// further request takes it.
func TestBytesAfterAResponseAreNotKept(t *testing.T) {
	const maxSent = 8 << 20 // what the buffers of a connection hold
	is := is.New(t)
	s := &endlessServer{prefix: "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nContent-Length: 2\r\n\r\nok", part: strings.Repeat("x", 1000), pause: 100 * time.Millisecond}
	g := newGate(t, s.listen(t), 4)
	resp, err := g.Do(context.Background(), attempt(1, false))
	is.NoErr(err)
	data, _ := resp.Content()
	is.Equal(string(data), "ok")
	time.Sleep(2 * s.pause)
	is.Equal(s.ends.Load(), int64(0)) // the bytes came after the connection had become idle
	is.True(s.written.Load() < maxSent)
	g.CloseIdle(time.Now().Add(time.Minute))
	for range 100 {
		if s.ends.Load() == 1 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(s.ends.Load(), int64(1))
}
