package pipeline

import (
	"context"
	"net"
	"net/http"
	"strings"
)

// Pipeline runs requests of one connection in parallel.
type Pipeline struct {
	limit       int
	mayRunAhead func(*http.Request) bool
	onStart     func()
	next        http.Handler
}

// New returns a pipeline that runs at most limit requests of a connection at a time. It runs those ahead of their turn for which mayRunAhead
// returns true, and calls onStart for each.
func New(limit int, mayRunAhead func(*http.Request) bool, onStart func()) *Pipeline {
	return &Pipeline{limit: limit, mayRunAhead: mayRunAhead, onStart: onStart}
}

// Attach makes the server, which has its handler and its hooks, serve connections of Listen. A connection with requests that the server
// has not come to counts as active.
func (p *Pipeline) Attach(server *http.Server) {
	p.next = server.Handler
	server.Handler = http.HandlerFunc(p.serve)
	server.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if c, ok := nc.(*conn); ok {
			c.inherit(ctx)
			return context.WithValue(ctx, connKey{}, c)
		}
		return ctx
	}
	record := server.ConnState
	if record == nil {
		return
	}
	server.ConnState = func(nc net.Conn, state http.ConnState) {
		if c, ok := nc.(*conn); ok && state == http.StateIdle && c.busy() {
			state = http.StateActive
		}
		record(nc, state)
	}
}

// Listen returns a listener whose connections read requests ahead.
func (p *Pipeline) Listen(l net.Listener) net.Listener { return &listener{Listener: l, p: p} }

type listener struct {
	net.Listener
	p *Pipeline
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newConn(nc, l.p), nil
}

// connKey is the key of the connection in the contexts of its requests.
type connKey struct{}

// serve serves the request that the server has come to.
func (p *Pipeline) serve(w http.ResponseWriter, req *http.Request) {
	c, ok := req.Context().Value(connKey{}).(*conn)
	if !ok || req.ProtoMajor != 1 {
		p.next.ServeHTTP(w, req)
		return
	}
	if req.Close {
		c.mayClose(true)
	}
	r := c.begin(req)
	cut := true
	defer func() { c.end(cut) }()
	ordered := &orderedWriter{ResponseWriter: w, conn: c}
	if r != nil && r.started {
		r.finish(ordered, req)
	} else {
		p.next.ServeHTTP(ordered, req)
	}
	ordered.decide()
	cut = false
}

// orderedWriter writes a response in its turn. It leaves the close of the connection to the last response that will be sent.
type orderedWriter struct {
	http.ResponseWriter
	conn    *conn
	decided bool
}

// decide decides whether the response closes the connection.
func (w *orderedWriter) decide() {
	if w.decided {
		return
	}
	w.decided = true
	h := w.Header()
	last := strings.EqualFold(h.Get("Connection"), "close")
	switch {
	case w.conn.mayClose(last):
		h.Set("Connection", "close")
	case last:
		h.Del("Connection")
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *orderedWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.decide()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *orderedWriter) Write(b []byte) (int, error) {
	w.decide()
	return w.ResponseWriter.Write(b)
}

// FlushError flushes the response. It is called by http.ResponseController.
func (w *orderedWriter) FlushError() error {
	w.decide()
	return http.NewResponseController(w.ResponseWriter).Flush()
}

// Unwrap returns the writer of the server. It is called by http.ResponseController.
func (w *orderedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
