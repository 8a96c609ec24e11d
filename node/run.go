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

// Intervals of the node's loops and timeouts of its servers and of its shutdown.
const (
	tickInterval         = 50 * time.Millisecond
	ownersInterval       = 200 * time.Millisecond
	gaugeInterval        = time.Second
	sweepInterval        = 100 * time.Millisecond
	nonStreamingTimeout  = 30 * time.Second // time to read a request or write a response on ports without streaming
	idleTimeout          = 2 * time.Minute
	drainHandoverTimeout = 3 * time.Second // time to hand over the shards during a drain
	waitPollInterval     = 10 * time.Millisecond
	shutdownTimeout      = 200 * time.Millisecond // time for loops and calls to end after the servers are closed
)

func (n *Node) newServer(h http.Handler, streaming bool) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: n.cfg.Limits.HeaderTimeout.Std(),
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    int(n.cfg.Limits.Header),
		Protocols:         new(http.Protocols),
		ErrorLog:          nil,
	}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	if !streaming {
		s.ReadTimeout = nonStreamingTimeout
		s.WriteTimeout = nonStreamingTimeout
	}
	s.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams}
	return s
}

// maxStreams limits the concurrent requests on one HTTP/2 connection.
const maxStreams = 1000

// memoryLimit is the soft limit of the heap, which leaves room for stacks and the program within 128 MB.
const memoryLimit = 96 << 20

// LimitMemory sets the soft memory limit of the Go runtime for a process that runs one node.
func LimitMemory() { debug.SetMemoryLimit(memoryLimit) }

// Run serves until ctx ends and then stops gracefully: no request is cut off within the drain timeout.
func (n *Node) Run(ctx context.Context) error {
	base, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s := n.newServers()
	failed := make(chan error, 5)
	serve := func(srv *http.Server, ln net.Listener) {
		n.running.Add(1)
		go func() {
			defer n.running.Done()
			if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	serve(s.peer, n.listeners.peer)
	serve(s.upstream, n.listeners.upstream)
	serve(s.admin, n.listeners.admin)
	if n.listeners.ready != nil {
		serve(s.ready, n.listeners.ready)
	}
	serve(s.caller, n.listeners.caller)
	n.applyMemberChanges(nil)
	n.startLoops(base)
	n.events.Add(event.Event{Kind: event.Start, Text: n.cfg.DataCentre})
	_ = level.Info(n.logger).Log("msg", "started", "caller", n.listeners.caller.Addr(), "peer", n.listeners.peer.Addr())
	var err error
	select {
	case <-ctx.Done():
		n.drain(s)
	case err = <-failed:
	}
	cancel()
	for _, srv := range []*http.Server{s.caller, s.peer, s.upstream, s.admin, s.ready} {
		_ = srv.Close()
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
	_ = level.Info(n.logger).Log("msg", "stopped", "signal", ctx.Err() != nil, "unfinished", unfinished, "running", n.gates.running())
}

func (n *Node) startLoops(ctx context.Context) {
	n.loop(ctx, tickInterval, n.tickMembership)
	n.loop(ctx, gaugeInterval, n.updateEjectedGauge)
	n.loop(ctx, sweepInterval, n.sweepGates)
	if n.protocols.hasConfigSource() {
		n.spawn(func() { n.join(ctx) })
		n.spawn(func() { n.followVersions(ctx) })
		return
	}
	n.loop(ctx, ownersInterval, n.tickOwnership)
	n.loop(ctx, snapshotCheckInterval, n.appendDueSnapshots)
	for stream := range n.tailCaches {
		n.spawn(func() { n.tail(ctx, stream) })
	}
}

// loop calls f at every interval until ctx ends.
func (n *Node) loop(ctx context.Context, every time.Duration, f func(context.Context, time.Time)) {
	n.spawn(func() {
		t := time.NewTicker(every)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
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

// drain stops the node's service: it announces that the node leaves, takes new requests for the lame-duck period,
// finishes the running ones and hands over its shards.
func (n *Node) drain(s servers) {
	_ = level.Info(n.logger).Log("msg", "stopping")
	n.events.Add(event.Event{Kind: event.Stop})
	n.stopping.Store(true)
	n.gates.drain()
	n.mu.Lock()
	now := time.Now()
	n.members.SetStatus(now, membership.Leaving)
	n.members.SetUpstreams(now, n.gates.memberUpstreams())
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), n.cfg.Limits.Drain.Std())
	defer cancel()
	n.sleep(ctx, n.cfg.Limits.LameDuck.Std())
	_ = s.caller.Shutdown(ctx)
	if !n.protocols.hasConfigSource() {
		n.handOverShards(ctx)
	}
	n.waitUntil(ctx, func() bool { return n.gates.running() == 0 })
	n.mu.Lock()
	n.members.SetStatus(time.Now(), membership.Left)
	n.mu.Unlock()
	n.tickMembership(ctx, time.Now())
	_ = s.upstream.Shutdown(ctx)
	_ = s.peer.Shutdown(ctx)
	time.Sleep(2 * tickInterval) // time to send the last heartbeats
}

// handOverShards waits for the pending requests with keys and hands the shards over while the node still responds to its peers.
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

func (n *Node) waitUntil(ctx context.Context, done func() bool) {
	for !done() {
		select {
		case <-ctx.Done():
			return
		case <-time.After(waitPollInterval):
		}
	}
}

// firstBundleTimeout is how long a request to a starting node waits for the node's first bundle.
const firstBundleTimeout = 2 * time.Second

func (n *Node) waitForBundle(ctx context.Context) {
	if n.Bundle().Len() > 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, firstBundleTimeout)
	defer cancel()
	n.waitUntil(ctx, func() bool { return n.Bundle().Len() > 0 })
}

// callerMiddleware delays requests until the node has a bundle, and closes their connections while the node stops,
// so that callers reconnect to another node.
func (n *Node) callerMiddleware(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !n.protocols.hasConfigSource() {
			n.waitForBundle(r.Context())
		}
		if n.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}
