package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Parameters of connections to an upstream.
const (
	dialTimeout              = 500 * time.Millisecond  // time to connect to an upstream on the same instance
	idleTimeout              = 2500 * time.Millisecond // idle time after which a connection is not reused; it may go silent without a sign
	nonIdempotentIdleTimeout = 500 * time.Millisecond  // idle time after which a connection is not reused for a non-idempotent request
	idleMargin               = time.Second             // subtracted from the idle timeout in the upstream's Keep-Alive header
	readBufferSize           = 4 << 10                 // size in bytes of a connection's read buffer
	maxBufferedBodyBytes     = 64 << 10                // maximum request body sent in one write; others are sent while the response is awaited
	maxInformational         = 8                       // informational (1xx) responses accepted before the final one
	maxHeadBytes             = 64 << 10                // maximum size of the heads of a response, informational ones included
	maxIdleConns             = 32                      // maximum number of idle connections to one upstream
	deadlineSlack            = 50 * time.Millisecond   // added to the deadline of reads and writes, so that the context expires first
	keepAliveTimeoutPrefix   = "timeout="              // precedes the idle timeout in a Keep-Alive header
)

// dialError reports that no connection was established, so that nothing was sent.
type dialError struct{ err error }

func (e *dialError) Error() string { return "connect: " + e.err.Error() }
func (e *dialError) Unwrap() error { return e.err }

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	limit    *headLimiter
	reader   *bufio.Reader // reads through limit
	lastUsed time.Time     // zero until the first exchange has ended
	maxIdle  time.Duration // idle time after which the upstream may close the connection
}

// pool keeps the idle connections to one upstream; the zero value is empty.
type pool struct {
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// get returns an open connection that was idle for less than maxIdle, or a new one. The error is a *dialError.
func (p *pool) get(ctx context.Context, address string, maxIdle time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop()
		if c == nil {
			break
		}
		if now.Sub(c.lastUsed) < min(maxIdle, c.maxIdle) && c.RemoteAddr().String() == address && c.stillIdle() {
			return c, nil
		}
		_ = c.Close()
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &dialError{err}
	}
	limit := &headLimiter{r: nc}
	return &conn{Conn: nc, limit: limit, reader: bufio.NewReaderSize(limit, readBufferSize), maxIdle: idleTimeout}, nil
}

// errHeadTooLong reports a response whose head exceeds maxHeadBytes.
var errHeadTooLong = errors.Errorf("head of the response exceeds %d bytes", maxHeadBytes)

// headLimiter limits the bytes that are read while the head of a response is awaited: an upstream may send bytes without end, and
// net/http keeps a head of any size in memory. Bodies are streamed and need no limit.
type headLimiter struct {
	r       io.Reader
	limited bool
	left    int // bytes that may still be read, if limited
}

// Read implements io.Reader.
func (l *headLimiter) Read(p []byte) (int, error) {
	if !l.limited {
		return l.r.Read(p)
	}
	if l.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

func (p *pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

func (p *pool) put(c *conn) {
	c.lastUsed = time.Now()
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// expire closes the connections that no request takes any more. The upstream may have sent anything on them, which nobody reads.
func (p *pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 && now.Sub(p.idle[0].lastUsed) >= idleTimeout { // the first was idle for longest
		_ = p.idle[0].Close()
		p.idle = slices.Delete(p.idle, 0, 1)
	}
}

// close closes the idle connections and makes put close every later one.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// stillIdle reports whether the connection is open and has no unread bytes, which would not be part of any response.
func (c *conn) stillIdle() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noData = err == syscall.EAGAIN
		return true
	})
	return err == nil && noData
}

// exchange is one request and its response on one connection.
type exchange struct {
	conn       *conn
	resp       *http.Response
	upload     *upload // a large request that is sent while the response is read; nil for a small one
	stopCancel func() bool
	pool       *pool
}

// roundTrip sends the request and reads the header of the response. A *dialError means that nothing was sent.
func (p *pool) roundTrip(ctx context.Context, req *http.Request, address string, deadline time.Time, maxIdle time.Duration) (*exchange, error) {
	c, err := p.get(ctx, address, maxIdle)
	if err != nil {
		return nil, err
	}
	x := &exchange{conn: c, pool: p}
	x.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = c.SetDeadline(deadline.Add(deadlineSlack)) // the context expires first, and its error gives the reason
	if err := x.send(req); err != nil {
		x.abort()
		return nil, errors.Wrap(err, "send request")
	}
	if x.resp, err = x.readHead(req); err != nil {
		x.abort()
		return nil, errors.Wrap(err, "read response")
	}
	if x.upload != nil && closeDelimited(x.resp) {
		x.resp.Body = &closeDelimitedBody{ReadCloser: x.resp.Body, upload: x.upload}
	}
	return x, nil
}

// send writes the request. A large body is sent by a goroutine while the response is awaited.
func (x *exchange) send(req *http.Request) error {
	if req.Body == nil || req.ContentLength >= 0 && req.ContentLength <= maxBufferedBodyBytes {
		var b bytes.Buffer
		if err := writeRequest(&b, req); err != nil {
			return err
		}
		_, err := x.conn.Write(b.Bytes())
		return err
	}
	x.upload = startUpload(x.conn, req)
	return nil
}

// writeRequest writes the request with its RequestURI as the target, octet for octet. Package net/http would write one that begins with two
// slashes as an absolute URL.
func writeRequest(w io.Writer, req *http.Request) error {
	return req.Write(&requestLineWriter{w: w, line: req.Method + " " + req.RequestURI + " HTTP/1.1\r\n"})
}

// requestLineWriter replaces the first line that is written to it.
type requestLineWriter struct {
	w        io.Writer
	line     string
	replaced bool
}

// Write implements io.Writer.
func (l *requestLineWriter) Write(p []byte) (int, error) {
	if l.replaced {
		return l.w.Write(p)
	}
	end := bytes.IndexByte(p, '\n')
	if end < 0 {
		return len(p), nil
	}
	l.replaced = true
	if _, err := l.w.Write(append([]byte(l.line), p[end+1:]...)); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (x *exchange) readHead(req *http.Request) (*http.Response, error) {
	x.conn.limit.limited, x.conn.limit.left = true, maxHeadBytes
	defer func() { x.conn.limit.limited = false }()
	for range maxInformational {
		resp, err := http.ReadResponse(x.conn.reader, req)
		if err != nil {
			return nil, err
		}
		if !informational(resp.StatusCode) {
			return resp, nil
		}
	}
	return nil, errors.Errorf("more than %d informational responses", maxInformational)
}

// informational reports whether another response follows one of the status.
func informational(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// abort closes the connection, which makes the upstream cancel the request.
func (x *exchange) abort() {
	x.stopCancel()
	_ = x.conn.Close()
}

// release ends an exchange whose response was read to its end. The connection returns to the pool if it can be reused.
func (x *exchange) release() {
	if !x.stopCancel() || !x.reusable() {
		_ = x.conn.Close()
		return
	}
	x.conn.maxIdle = x.allowedIdle()
	x.pool.put(x.conn)
}

func (x *exchange) reusable() bool {
	if x.upload != nil && !x.upload.complete() {
		return false // the upstream responded before it received the whole body
	}
	return !x.resp.Close && !closeDelimited(x.resp) && x.conn.reader.Buffered() == 0
}

// allowedIdle returns how long the connection may stay idle according to the Keep-Alive header of the response.
func (x *exchange) allowedIdle() time.Duration {
	for _, f := range strings.Split(x.resp.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(f), keepAliveTimeoutPrefix)
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return min(idleTimeout, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return idleTimeout
}

// closeDelimited reports whether the end of the body is marked by the close of the connection.
func closeDelimited(resp *http.Response) bool {
	if resp.Request != nil && resp.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return false
	}
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// streamedBody is the body of a large response. Reading it to the end or closing it ends the exchange.
type streamedBody struct {
	io.Reader
	x    *exchange
	once sync.Once
}

// Read implements io.Reader.
func (b *streamedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.once.Do(b.x.release)
	}
	return n, err
}

// Close implements io.Closer. It aborts the exchange of a response that was not read to its end.
func (b *streamedBody) Close() error {
	b.once.Do(b.x.abort)
	return nil
}
