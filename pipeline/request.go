package pipeline

import (
	"context"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// minSendTime is the least time to send a response once those before it have been sent.
const minSendTime = 2 * time.Second

// request is a request whose head was read ahead.
type request struct {
	head
	conn    *conn
	end     int64 // bytes of the connection up to the end of the head
	started bool
	cancel  context.CancelFunc
	done    chan struct{} // closed when the handler has returned
	failure any           // with which the handler panicked

	mu       sync.Mutex
	turn     chan struct{}       // closed when w is set
	ended    chan struct{}       // closed when the response is given up before its turn
	w        http.ResponseWriter // of the server, from its turn on
	header   http.Header
	sent     bool // the header has been sent
	lost     bool // something could not be written before the turn
	deadline time.Time
}

func newRequest(c *conn, h head, end int64) *request { return &request{head: h, conn: c, end: end} }

// matches reports whether the server has read the same request.
func (r *request) matches(req *http.Request) bool {
	return r.req.Method == req.Method && r.req.RequestURI == req.RequestURI && r.req.Host == req.Host && r.length == req.ContentLength &&
		maps.EqualFunc(r.req.Header, req.Header, slices.Equal[[]string])
}

// start runs the request before its turn.
func (r *request) start() {
	ctx, cancel := context.WithCancel(r.conn.ctx)
	r.started, r.cancel = true, cancel
	r.done, r.turn, r.ended = make(chan struct{}), make(chan struct{}), make(chan struct{})
	r.header = make(http.Header)
	r.req.RemoteAddr = r.conn.RemoteAddr().String()
	req := r.req.WithContext(ctx)
	req.Header = req.Header.Clone() // the handler may change it before matches compares the original
	r.conn.p.onStart()
	go func() {
		defer close(r.done)
		defer cancel()
		defer func() { r.failure = recover() }() // the server's goroutine panics in its place
		r.conn.p.next.ServeHTTP(r, req)
	}()
}

// finish sends the response of a request that was started, now that it is its turn.
func (r *request) finish(w http.ResponseWriter, req *http.Request) {
	stop := context.AfterFunc(req.Context(), r.cancel)
	defer stop()
	r.mu.Lock()
	r.w = w
	if !r.deadline.IsZero() {
		_ = http.NewResponseController(w).SetWriteDeadline(later(r.deadline, time.Now().Add(minSendTime)))
	}
	close(r.turn)
	r.mu.Unlock()
	<-r.done
	if r.failure != nil {
		panic(r.failure)
	}
	if r.lost {
		panic(http.ErrAbortHandler)
	}
	r.sendHeader()
	for name, values := range r.header {
		if strings.HasPrefix(name, http.TrailerPrefix) {
			w.Header()[name] = values
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// await waits for the turn of the request.
func (r *request) await() error {
	select {
	case <-r.turn:
	case <-r.ended:
		r.lost = true
	case <-r.conn.gone:
		r.lost = true
	}
	select {
	case <-r.ended: // also if its turn came afterwards
		r.lost = true
	default:
	}
	if r.lost {
		return os.ErrDeadlineExceeded
	}
	return nil
}

// sendHeader makes the header that of the server's response.
func (r *request) sendHeader() {
	if !r.sent {
		r.sent = true
		maps.Copy(r.w.Header(), r.header)
	}
}

// Header implements http.ResponseWriter.
func (r *request) Header() http.Header { return r.header }

// WriteHeader implements http.ResponseWriter.
func (r *request) WriteHeader(status int) {
	if r.await() != nil {
		return // so will be the error of Write
	}
	r.sendHeader()
	r.w.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (r *request) Write(b []byte) (int, error) {
	if err := r.await(); err != nil {
		return 0, err
	}
	r.sendHeader()
	return r.w.Write(b)
}

// FlushError flushes the response. It is called by http.ResponseController.
func (r *request) FlushError() error {
	if err := r.await(); err != nil {
		return err
	}
	r.sendHeader()
	return http.NewResponseController(r.w).Flush()
}

// SetWriteDeadline sets the deadline of writes. It is called by http.ResponseController. Before the turn of the request, only one that has passed
// has an effect.
func (r *request) SetWriteDeadline(t time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.w != nil {
		return http.NewResponseController(r.w).SetWriteDeadline(t)
	}
	r.deadline = t
	if !t.IsZero() && t.Before(time.Now()) {
		select {
		case <-r.ended:
		default:
			close(r.ended)
		}
	}
	return nil
}
