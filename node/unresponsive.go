package node

import (
	"context"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/membership"
)

// Timing of the pings to a key's owner that does not respond.
const (
	ownerPingDelay = 200 * time.Millisecond // time without a response to a request after which its owner is pinged
	pingTimeout    = 250 * time.Millisecond // time for the owner to respond
	pingInterval   = 200 * time.Millisecond // interval between pings while it does not respond
)

// unresponsiveNodes is the set of nodes that do not respond to pings. A request with a key is not sent to them,
// so that a first request can still be reported as not-run or sent to a new owner.
type unresponsiveNodes struct {
	mu    sync.Mutex
	names map[string]bool
}

func (s *unresponsiveNodes) has(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names[name]
}

// add adds a node and reports whether it was not in the set.
func (s *unresponsiveNodes) add(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names == nil {
		s.names = make(map[string]bool)
	}
	known := s.names[name]
	s.names[name] = true
	return !known
}

func (s *unresponsiveNodes) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, name)
}

// checkResponsive pings a node that is slow to respond to a request and keeps it in the set until it responds to a ping,
// changes its address or leaves the fleet. A slow upstream does not delay its node's responses to pings.
func (n *Node) checkResponsive(name, address string) {
	if n.unresponsive.has(name) || n.ping(address) || !n.unresponsive.add(name) {
		return
	}
	defer n.unresponsive.remove(name)
	for !n.stopping.Load() {
		time.Sleep(pingInterval)
		m := n.view.Load().byName[name]
		if m.Address != address || m.Status == membership.Dead || m.Status == membership.Left || n.ping(address) {
			return
		}
	}
}

func (n *Node) ping(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	return n.Reach(ctx, address)
}
