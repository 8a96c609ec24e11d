package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/tcp"
)

// Times of the end of a server.
const (
	firstRequestTimeout = 500 * time.Millisecond // a new connection without a request for this long counts as idle
	answerTime          = 150 * time.Millisecond // minimum time to send the responses of requests that were ended
	lateAnswerTime      = 5 * time.Second        // time after which a process that nobody kills stops to wait for responses
)

// connStatus is the state of a connection and the time since when it holds.
type connStatus struct {
	state http.ConnState
	since time.Time
}

// drainableServer is an HTTP server that can be closed without loss. The one of the standard library drops a request that it reads after its
// Shutdown has begun, so that is called only when no connection carries a request or is about to.
type drainableServer struct {
	*http.Server
	listener    *tcp.Listener
	endRequests context.CancelFunc // cancels the contexts of the requests that are being served

	mu    sync.Mutex
	conns map[net.Conn]connStatus
}

// newDrainableServer returns a server that isn't serving yet.
func newDrainableServer(server *http.Server, listener *tcp.Listener) *drainableServer {
	ctx, cancel := context.WithCancel(context.Background())
	s := &drainableServer{Server: server, listener: listener, endRequests: cancel, conns: make(map[net.Conn]connStatus)}
	server.BaseContext = func(net.Listener) context.Context { return ctx }
	server.ConnState = s.record
	return s
}

// record records a change of the state of a connection.
func (s *drainableServer) record(conn net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.conns, conn)
		return
	}
	s.conns[conn] = connStatus{state: state, since: time.Now()}
}

// busy returns the number of connections that carry a request, or are new, so that their first request is likely on its way.
func (s *drainableServer) busy(now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, c := range s.conns {
		if c.state == http.StateActive || c.state == http.StateNew && now.Sub(c.since) < firstRequestTimeout {
			n++
		}
	}
	return n
}

// end closes the server. It serves the connections that wait to be accepted and, until ctx ends, the requests that run; those that still run
// then are ended with a response, for which they have until closeAt. It returns how many requests were ended and how many connections were
// still busy then, for which finish waits.
func (s *drainableServer) end(ctx context.Context, closeAt time.Time) (ended, unanswered int) {
	stopCtx, cancelStop := context.WithTimeout(context.Background(), answerTime)
	defer cancelStop()
	_ = s.listener.Stop(stopCtx) // an error means that it is closed already, or that nobody accepts connections
	s.waitUntilIdle(ctx)
	ended = s.busy(time.Now())
	s.endRequests()
	if earliest := time.Now().Add(answerTime); closeAt.Before(earliest) {
		closeAt = earliest
	}
	endCtx, cancelEnd := context.WithDeadline(context.Background(), closeAt)
	defer cancelEnd()
	s.waitUntilIdle(endCtx)
	if unanswered = s.busy(time.Now()); unanswered == 0 {
		s.shutDown()
	}
	return ended, unanswered
}

// shutDown closes the connections. One that carries a request stays open until Run closes it.
func (s *drainableServer) shutDown() {
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	_ = s.Shutdown(ctx) // its error says that connections of HTTP/2 wait for their clients to close, which Run doesn't
}

// finish waits for the responses that end has not seen sent, and closes their connections. The process is about to be killed, or it isn't, and then
// nothing is gained by cutting them.
func (s *drainableServer) finish() {
	ctx, cancel := context.WithTimeout(context.Background(), lateAnswerTime)
	defer cancel()
	s.waitUntilIdle(ctx)
	s.shutDown()
}

// waitUntilIdle waits until no connection is busy or ctx ends.
func (s *drainableServer) waitUntilIdle(ctx context.Context) {
	for s.busy(time.Now()) > 0 && ctx.Err() == nil {
		time.Sleep(conditionPollInterval)
	}
}
