package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Parameters of connections to an upstream.
const (
	dialTimeout   = 500 * time.Millisecond // time to connect to an upstream on the same instance
	idleTimeout   = 5 * time.Second        // idle time after which a connection is not used again
	onceIdle      = 500 * time.Millisecond // the same for work that must not run twice
	idleMargin    = time.Second            // subtracted from the idle time that the upstream states
	readBuffer    = 4 << 10                // bytes
	smallBody     = 64 << 10               // bytes of a body that are sent before the answer is read
	maxInterim    = 8                      // interim answers before the final one
	maxIdleConns  = 32
	deadlineSlack = 50 * time.Millisecond // time after the deadline until reads and writes fail by themselves
	headerTimeout = "timeout="
)

// errDial reports that no connection was made, so that nothing was sent.
type errDial struct{ err error }

func (e *errDial) Error() string { return "connect: " + e.err.Error() }
func (e *errDial) Unwrap() error { return e.err }

// conn is a connection that carries one request at a time.
type conn struct {
	net.Conn
	br   *bufio.Reader
	used time.Time
	idle time.Duration // idle time that the upstream allows
}

// pool keeps the idle connections to one upstream; the zero value is empty.
type pool struct {
	mu   sync.Mutex
	idle []*conn
	shut bool
}

// get returns a live connection that has been idle for less than limit, or a new one; the error is an *errDial.
func (p *pool) get(ctx context.Context, address string, limit time.Duration) (*conn, error) {
	now := time.Now()
	for {
		c := p.take()
		if c == nil {
			break
		}
		if now.Sub(c.used) < min(limit, c.idle) && c.RemoteAddr().String() == address && c.quiet() {
			return c, nil
		}
		_ = c.Close()
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &errDial{err}
	}
	return &conn{Conn: nc, br: bufio.NewReaderSize(nc, readBuffer), idle: idleTimeout}, nil
}

func (p *pool) take() *conn {
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
	c.used = time.Now()
	_ = c.SetDeadline(time.Time{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.shut || len(p.idle) >= maxIdleConns {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// close closes the idle connections and keeps no more.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shut = true
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// quiet reports whether the connection is open and holds no bytes: any that are there belong to no request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
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
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

// exchange is one request on one connection.
type exchange struct {
	conn *conn
	resp *http.Response
	sent chan error // result of sending a large body, or nil
	stop func() bool
	pool *pool
}

// roundTrip sends the request and reads the head of the answer; an *errDial says that nothing was sent.
func (p *pool) roundTrip(ctx context.Context, req *http.Request, address string, deadline time.Time, limit time.Duration) (*exchange, error) {
	c, err := p.get(ctx, address, limit)
	if err != nil {
		return nil, err
	}
	x := &exchange{conn: c, pool: p}
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	_ = c.SetDeadline(deadline.Add(deadlineSlack)) // the context ends first and says why
	if err := x.send(req); err != nil {
		x.abort()
		return nil, errors.Wrap(err, "send request")
	}
	if x.resp, err = x.head(req); err != nil {
		x.abort()
		return nil, errors.Wrap(err, "read answer")
	}
	return x, nil
}

// send writes the request; a large body is sent while the answer is awaited.
func (x *exchange) send(req *http.Request) error {
	if req.Body == nil || req.ContentLength >= 0 && req.ContentLength <= smallBody {
		var b bytes.Buffer
		if err := req.Write(&b); err != nil {
			return err
		}
		_, err := x.conn.Write(b.Bytes())
		return err
	}
	x.sent = make(chan error, 1)
	go func() { x.sent <- req.Write(x.conn) }()
	return nil
}

func (x *exchange) head(req *http.Request) (*http.Response, error) {
	for range maxInterim {
		resp, err := http.ReadResponse(x.conn.br, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
	return nil, errors.Errorf("more than %d interim answers", maxInterim)
}

// abort closes the connection, which ends the work at the upstream.
func (x *exchange) abort() {
	x.stop()
	_ = x.conn.Close()
}

// release ends an exchange whose answer was read whole; the connection is kept where nothing speaks against it.
func (x *exchange) release() {
	if !x.stop() || !x.reusable() {
		_ = x.conn.Close()
		return
	}
	x.conn.idle = x.idle()
	x.pool.put(x.conn)
}

func (x *exchange) reusable() bool {
	if x.sent != nil {
		select {
		case err := <-x.sent:
			if err != nil {
				return false
			}
		default:
			return false // the upstream answered before it had the whole body
		}
	}
	return !x.resp.Close && !unbounded(x.resp) && x.conn.br.Buffered() == 0
}

// idle returns how long the connection may stay idle, as the upstream states it.
func (x *exchange) idle() time.Duration {
	for _, f := range strings.Split(x.resp.Header.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(f), headerTimeout)
		if !ok {
			continue
		}
		if s, err := strconv.Atoi(text); err == nil {
			return min(idleTimeout, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return idleTimeout
}

// unbounded reports whether the body ends with the connection.
func unbounded(resp *http.Response) bool {
	if resp.Request != nil && resp.Request.Method == http.MethodHead || resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
		return false
	}
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// body is the rest of a large answer; it ends the exchange.
type body struct {
	io.Reader
	x    *exchange
	once sync.Once
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		b.once.Do(b.x.release)
	}
	return n, err
}

// Close implements io.Closer; an answer that was not read to its end is broken off.
func (b *body) Close() error {
	b.once.Do(b.x.abort)
	return nil
}
