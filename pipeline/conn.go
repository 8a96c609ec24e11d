package pipeline

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Sizes of what is kept of a connection, in bytes.
const (
	maxUnread = 64 << 10 // read from the client and not yet by the server
	readSize  = 4 << 10

	maxLingerBytes = 256 << 10 // read and dropped behind the last response
)

// lingerTime is the time for which a client may go on sending behind the last response.
const lingerTime = 500 * time.Millisecond

// conn is a connection that reads requests ahead of the server that serves it. The server reads each byte in its turn, and does all else: what
// conn adds is that requests which may run in parallel have been started by then.
type conn struct {
	net.Conn
	p      *Pipeline
	ctx    context.Context    // of the requests that are started ahead
	cancel context.CancelFunc // cancels ctx
	gone   chan struct{}      // closed when the client has left or the connection is closed
	leave  func()             // closes gone

	mu       sync.Mutex
	wake     *sync.Cond // signaled when a read deadline is set or bytes are taken
	unread   []byte     // bytes that the server has not read
	unparsed []byte     // bytes in which no head was looked for yet
	partial  []byte     // start of a head that has not come to its end
	body     int64      // bytes of a body that come before the next head
	received int64      // bytes in which heads were looked for, or are yet to be
	taken    int64      // bytes that the server has read
	opaque   bool       // requests are no longer told apart, so that none is read ahead
	waiting  []*request // requests whose heads were read, and that the server has not come to
	current  *request   // request that the server serves, if any
	deadline time.Time  // of reads
	closing  bool       // a response has said that it is the last one, or would have
	closed   bool
	buf      [readSize]byte
}

// Read implements net.Conn. While it serves a request, the server reads single bytes to notice a client that leaves; such a read goes on until the
// client has left or the server has served the request. The server also reads a single byte of a head where its buffer has no more room.
func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(b) == 1 && !c.opaque && c.serving() {
		if err := c.readAhead(); err != nil {
			return 0, err
		}
	}
	if len(c.unread) > 0 {
		n := copy(b, c.unread)
		c.unread = c.unread[n:]
		c.taken += int64(n)
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.taken += int64(n)
	c.parse(b[:n])
	c.startAhead()
	return n, err
}

// serving reports whether the server serves a request, or has read the whole head of one and is about to.
func (c *conn) serving() bool {
	return c.current != nil || len(c.waiting) > 0 && c.taken >= c.waiting[0].end
}

// readAhead reads some bytes that the server will read later, or waits until there is room for them.
func (c *conn) readAhead() error {
	if len(c.unread) >= maxUnread {
		if c.closed {
			return net.ErrClosed
		}
		if !c.deadline.IsZero() && !c.deadline.After(time.Now()) {
			return os.ErrDeadlineExceeded
		}
		c.wake.Wait()
		return nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(c.buf[:])
	c.mu.Lock()
	c.unread = append(c.unread, c.buf[:n]...)
	c.parse(c.buf[:n])
	c.startAhead()
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.leave()
	}
	return err
}

// SetReadDeadline implements net.Conn. The server sets one that has passed to end a read while it serves a request.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.wake.Broadcast()
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// newConn returns a connection of which nothing was read.
func newConn(nc net.Conn, p *Pipeline) *conn {
	c := &conn{Conn: nc, p: p, gone: make(chan struct{})}
	c.wake = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	c.leave = sync.OnceFunc(func() {
		close(c.gone)
		c.cancel()
	})
	return c
}

// inherit makes the contexts of requests end with ctx. The server calls it before it serves the connection.
func (c *conn) inherit(ctx context.Context) {
	c.cancel()
	c.ctx, c.cancel = context.WithCancel(ctx)
}

// Close implements net.Conn. After the last response it still takes what the client sends for a while: bytes that nobody has read make the system
// reset the connection, which may drop the response.
func (c *conn) Close() error {
	c.leave()
	c.mu.Lock()
	linger := c.closing && !c.closed
	c.closed = true
	c.wake.Broadcast()
	c.mu.Unlock()
	w, ok := c.Conn.(interface{ CloseWrite() error })
	if !linger || !ok || w.CloseWrite() != nil {
		return c.Conn.Close()
	}
	go func() {
		_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) // fails if the connection is closed, and then reading fails, too
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
		_ = c.Conn.Close() // nothing is left to be sent
	}()
	return nil
}

// parse finds the heads of requests among bytes that were read, as long as so few requests wait that they may be started soon.
func (c *conn) parse(data []byte) {
	c.received += int64(len(data))
	c.unparsed = append(c.unparsed, data...)
	for len(c.unparsed) > 0 && !c.opaque && len(c.waiting) < c.p.limit {
		if c.body > 0 {
			n := min(c.body, int64(len(c.unparsed)))
			c.body -= n
			c.unparsed = c.unparsed[n:]
			continue
		}
		c.parseHead()
	}
	if len(c.unparsed) == 0 || c.opaque {
		c.unparsed = nil // frees what was parsed
	}
}

// parseHead finds the end of the next head.
func (c *conn) parseHead() {
	begin := len(c.partial)
	c.partial = append(c.partial, c.unparsed...)
	end := bytes.Index(c.partial[max(0, begin-len(headEnd)):], headEnd)
	if end < 0 {
		c.unparsed = nil
		c.opaque = len(c.partial) > maxUnread
		return
	}
	end += max(0, begin-len(headEnd)) + len(headEnd)
	c.unparsed = c.unparsed[end-begin:]
	h := parseHead(c.partial[:end])
	c.partial = nil
	if c.opaque = h.kind == opaque; c.opaque {
		return // it is served like a request of a connection without read-ahead, as are all after it
	}
	if h.kind == parallel && !c.p.mayRunAhead(h.req) {
		h.kind = barrier
	}
	c.body = h.length
	c.waiting = append(c.waiting, newRequest(c, h, c.received-int64(len(c.unparsed))))
}

// startAhead starts the requests behind the current one that may run beside it.
func (c *conn) startAhead() {
	if c.current == nil || c.current.kind != parallel || c.closing || c.ctx.Err() != nil {
		return
	}
	for i, r := range c.waiting {
		if r.kind != parallel || i+1 >= c.p.limit {
			return
		}
		if !r.started {
			r.start()
		}
	}
}

// begin makes the next request the current one. It returns nil if it was not told apart from others.
func (c *conn) begin(req *http.Request) *request {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	if len(c.waiting) == 0 {
		return nil
	}
	r := c.waiting[0]
	c.waiting = c.waiting[1:]
	c.parse(nil)
	if !r.matches(req) { // the server reads the bytes in another way
		c.opaque = true
		c.waiting = nil
		c.cancel()
		return nil
	}
	c.current = r
	c.startAhead()
	return r
}

// end ends the current request. After a response that is cut, none follows.
func (c *conn) end(cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = nil
	c.closing = c.closing || cut
}

// mayClose reports whether a response may close the connection, given whether it is to be its last: requests that run already are answered first.
func (c *conn) mayClose(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = c.closing || last
	return c.closing && (len(c.waiting) == 0 || !c.waiting[0].started)
}

// busy reports whether the connection has requests that the server has not come to.
func (c *conn) busy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiting) > 0 || c.opaque && len(c.unread) > 0
}
