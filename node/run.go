package node

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/pkg/errors"
)

// Intervals of the node's background tasks and timeouts of its servers and its shutdown.
const (
	membershipTickInterval = 50 * time.Millisecond
	ownershipTickInterval  = 200 * time.Millisecond
	gaugeUpdateInterval    = time.Second
	gateSweepInterval      = 100 * time.Millisecond
	nonStreamingIOTimeout  = 30 * time.Second       // maximum time to read a request or write a response on ports without streaming
	idleTimeout            = 2 * time.Minute        // maximum time that a connection may be idle
	drainHandoverTimeout   = 3 * time.Second        // maximum time to hand over the shards during a drain
	conditionPollInterval  = 10 * time.Millisecond  // interval between checks in waitUntil
	shutdownTimeout        = 200 * time.Millisecond // maximum time for goroutines to end after the servers are closed
)

func (n *Node) newServer(handler http.Handler, streaming bool) *http.Server {
	server := &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: n.cfg.Limits.HeaderTimeout.Std(),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(n.cfg.Limits.Header),
		Protocols:         new(http.Protocols),
		ErrorLog:          nil,
	}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	if !streaming {
		server.ReadTimeout = nonStreamingIOTimeout
		server.WriteTimeout = nonStreamingIOTimeout
	}
	server.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreamsPerConn}
	return server
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
			if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				serveErrs <- err
			}
		}()
	}
	serve(servers.peer, n.listeners.peer)
	serve(servers.upstream, n.listeners.upstream)
	serve(servers.admin, n.listeners.admin)
	if n.listeners.ready != nil {
		serve(servers.ready, n.listeners.ready)
	}
	serve(servers.caller, n.listeners.caller)
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
		n.drain(servers)
	case err = <-serveErrs:
	}
	cancel()
	for _, server := range []*http.Server{servers.caller, servers.peer, servers.upstream, servers.admin, servers.ready} {
		_ = server.Close()
	}
	n.stopGates()
	n.client.Close()
	n.awaitStopped(ctx)
	return errors.Wrap(err, "serve")
}

// awaitStopped waits up to shutdownTimeout for the node's goroutines and logs that the node has stopped.
func (n *Node) awaitStopped(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		n.running.Wait()
		close(done)
	}()
	unfinished := false
	select {
	case <-done:
	case <-time.After(shutdownTimeout):
		unfinished = true
	}
	_ = level.Info(n.logger).Log("msg", "stopped", "signal", ctx.Err() != nil, "unfinished", unfinished, "running", n.gates.runningRequests())
}

func (n *Node) startLoops(ctx context.Context) {
	n.runEvery(ctx, membershipTickInterval, n.tickMembership)
	n.runEvery(ctx, gaugeUpdateInterval, n.updateEjectedGauge)
	n.runEvery(ctx, gateSweepInterval, n.sweepGates)
	if n.protocols.hasConfigSource() {
		n.spawn(func() { n.join(ctx) })
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

// drain stops the node gracefully. It announces that the node is leaving, accepts new requests during the lame-duck period,
// waits for running requests and hands over the shards.
func (n *Node) drain(servers servers) {
	_ = level.Info(n.logger).Log("msg", "stopping")
	n.events.Add(event.Event{Kind: event.Stop})
	n.stopping.Store(true)
	n.gates.drain()
	n.mu.Lock()
	leaveTime := time.Now()
	n.members.SetStatus(leaveTime, membership.Leaving)
	n.members.SetUpstreams(leaveTime, n.gates.memberUpstreams(), n.gates.departures(leaveTime))
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.DrainTimeout())
	defer cancel()
	n.sleep(ctx, n.cfg.Limits.LameDuck.Std())
	_ = servers.caller.Shutdown(ctx)
	if !n.protocols.hasConfigSource() {
		n.handOverShards(ctx)
	}
	n.waitUntil(ctx, func() bool { return n.gates.runningRequests() == 0 })
	n.mu.Lock()
	n.members.SetStatus(time.Now(), membership.Left)
	n.mu.Unlock()
	n.tickMembership(ctx, time.Now())
	_ = servers.upstream.Shutdown(ctx)
	_ = servers.peer.Shutdown(ctx)
	time.Sleep(2 * membershipTickInterval) // lets the last heartbeats be sent
}

// handOverShards waits for pending requests with idempotency keys, then hands over the node's shards to other nodes.
// The node must still respond to its peers meanwhile.
func (n *Node) handOverShards(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainHandoverTimeout)
	defer cancel()
	n.waitUntil(ctx, func() bool { return n.keys.pending() == 0 })
	n.mu.Lock()
	n.owners.Leave()
	n.mu.Unlock()
	n.waitUntil(ctx, func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.owners.OwnedShards() == 0
	})
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

// callerMiddleware delays requests until the node has its first bundle. While the node drains, it closes the connections
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
