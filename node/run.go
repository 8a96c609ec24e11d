package node

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/limit"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/pipeline"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// Intervals of the node's background tasks and timeouts of its servers and its shutdown.
const (
	membershipTickInterval = 50 * time.Millisecond
	ownershipTickInterval  = 200 * time.Millisecond
	gaugeUpdateInterval    = time.Second
	gateSweepInterval      = 100 * time.Millisecond
	nonStreamingIOTimeout  = 30 * time.Second      // maximum time to read a request or write a response on ports without streaming
	idleTimeout            = 2 * time.Minute       // maximum time that a connection may be idle
	conditionPollInterval  = 10 * time.Millisecond // interval between checks in waitUntil
)

// maxHeadBytes is the maximum size of the head of a request that is read at all. The limit in force is mostly lower, and refuses with a reason;
// what one node forwards to another has some headers more.
const maxHeadBytes = 128 << 10

func (n *Node) newServer(handler http.Handler, streaming bool) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: n.cfg.Limits.HeaderTimeout.Std(),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    max(maxHeadBytes, int(n.cfg.Limits.Header)),
		Protocols:         new(http.Protocols),
		ErrorLog:          nil,

		DisableGeneralOptionsHandler: true, // "OPTIONS *" is a request like any other
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	if !streaming {
		server.ReadTimeout = nonStreamingIOTimeout
		server.WriteTimeout = nonStreamingIOTimeout
	}
	server.HTTP2 = &http.HTTP2Config{
		MaxConcurrentStreams:          maxStreamsPerConn,
		MaxReadFrameSize:              maxFrameBytes,
		MaxReceiveBufferPerStream:     maxUploadBytes,
		MaxReceiveBufferPerConnection: maxUploadBytesOfConn,
	}
	return server
}

// Limits of the bodies that are received on one HTTP/2 connection and that nobody has read yet. One connection carries the requests and the
// heartbeats of another node, so that many requests whose upstream doesn't read must leave room in its window.
const (
	maxFrameBytes        = 16 << 10 // frame of another node; it keeps a buffer of this size for each body that it sends
	maxUploadBytes       = upstream.StreamWindowBytes
	maxUploadBytesOfConn = 4<<20 - 1
)

// pipelined makes the server of callers run pipelined requests in parallel if the settings say so, and returns its listener.
func (n *Node) pipelined(server *http.Server) net.Listener {
	if n.cfg.Limits.Pipeline <= 1 {
		return n.listeners.caller
	}
	p := pipeline.New(n.cfg.Limits.Pipeline, n.repeatable, n.metrics.pipelined.Inc)
	p.Attach(server)
	return p.Listen(n.listeners.caller)
}

// repeatable reports whether a request may run twice, so that it may be run before it is known whether its turn comes. The class of a split route
// is drawn for each request.
func (n *Node) repeatable(r *http.Request) bool {
	target, err := bundle.ParseTarget(r.RequestURI)
	if err != nil {
		return false
	}
	m, ok := n.Bundle().Route(r.Host, r.Method, target.Path())
	return ok && m.Class.Idempotent() && (m.Route == nil || !m.Route.IsSplit())
}

// maxStreamsPerConn is the maximum number of concurrent requests on one HTTP/2 connection.
const maxStreamsPerConn = 1000

// softMemoryLimit is the soft limit of the heap in bytes. It leaves room for stacks and the program within 128 MB.
const softMemoryLimit = 96 << 20

// LimitMemory sets the soft memory limit of the Go runtime for a process that runs one node.
func LimitMemory() { debug.SetMemoryLimit(softMemoryLimit) }

// Run serves requests until ctx ends, then drains the node: requests that end within the drain timeout are not interrupted.
func (n *Node) Run(ctx context.Context) error {
	loopCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	servers := n.newServers()
	serveErrs := make(chan error, 5)
	serve := func(server *http.Server, listener net.Listener) {
		n.running.Add(1)
		go func() {
			defer n.running.Done()
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !n.stopping.Load() {
				serveErrs <- err
			}
		}()
	}
	serve(servers.peer.Server, n.listeners.peer)
	serve(servers.upstream, n.listeners.upstream)
	serve(servers.admin, n.listeners.admin)
	if n.listeners.ready != nil {
		serve(servers.ready, n.listeners.ready)
	}
	serve(servers.caller.Server, n.pipelined(servers.caller.Server))
	n.mu.Lock()
	self := n.members.Self()
	n.mu.Unlock()
	n.applyMemberChanges(membership.Output{Changes: []membership.MemberChange{{New: self}}})
	n.startLoops(loopCtx)
	n.events.Add(event.Event{Kind: event.Start, Text: n.cfg.DataCentre})
	_ = level.Info(n.logger).Log("msg", "started", "caller", n.listeners.caller.Addr(), "peer", n.listeners.peer.Addr())
	var err error
	select {
	case <-ctx.Done():
		n.stop(servers)
	case err = <-serveErrs:
	}
	cancel()
	for _, server := range []*http.Server{servers.caller.Server, servers.peer.Server, servers.upstream, servers.admin, servers.ready} {
		_ = server.Close()
	}
	n.stopGates()
	n.client.Close()
	n.awaitStopped(ctx)
	return errors.Wrap(err, "serve")
}

func (n *Node) startLoops(ctx context.Context) {
	n.runEvery(ctx, membershipTickInterval, n.tickMembership)
	n.runEvery(ctx, gaugeUpdateInterval, n.updateEjectedGauge)
	n.runEvery(ctx, limit.TickInterval, n.tickLimits)
	n.runEvery(ctx, gateSweepInterval, func(ctx context.Context, now time.Time) {
		n.reportStall(now)
		n.sweepGates(ctx, now)
	})
	if n.protocols.hasConfigSource() {
		n.spawn(func() { n.join(ctx) })
		n.spawn(func() { n.recordDepartures(ctx) })
		n.runEvery(ctx, readerTick, n.tickReader)
		n.spawn(func() { n.followVersions(ctx) })
		return
	}
	n.runEvery(ctx, ownershipTickInterval, n.tickOwnership)
	n.runEvery(ctx, snapshotCheckInterval, n.appendDueSnapshots)
	for stream := range n.tailCaches {
		n.spawn(func() { n.tailStream(ctx, stream) })
	}
}

// runEvery calls f in a new goroutine at every interval until ctx ends.
func (n *Node) runEvery(ctx context.Context, interval time.Duration, f func(context.Context, time.Time)) {
	n.spawn(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			f(ctx, time.Now())
		}
	})
}

func (n *Node) spawn(f func()) {
	n.running.Add(1)
	go func() {
		defer n.running.Done()
		f()
	}()
}

func (n *Node) waitUntil(ctx context.Context, cond func() bool) {
	for !cond() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(conditionPollInterval):
		}
	}
}

// firstBundleTimeout is the maximum time that a request waits for the first bundle of a starting node.
const firstBundleTimeout = 2 * time.Second

func (n *Node) waitForBundle(ctx context.Context) {
	if n.Bundle().Len() > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstBundleTimeout)
	defer cancel()
	n.waitUntil(ctx, func() bool { return n.Bundle().Len() > 0 })
}

// callerMiddleware delays requests until the node has its first bundle. While the node stops, it closes the connections
// after their responses, so that callers reconnect to another node.
func (n *Node) callerMiddleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.protocols.hasConfigSource() {
			n.waitForBundle(r.Context())
		}
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
