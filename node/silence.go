package node

import (
	"context"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/membership"
)

// Timing of the doubt about a node that owns keys.
const (
	ownerPingDelay = 200 * time.Millisecond // silence on a request after which its owner is tried
	pingTimeout    = 250 * time.Millisecond // time for the owner to answer
	pingInterval   = 200 * time.Millisecond // interval between tries while it is silent
)

// unresponsiveNodes holds the nodes that do not answer: a first request with a key is not sent to them, so that it can still be told as not run or sent to a new owner.
type unresponsiveNodes struct {
	mu    sync.Mutex
	names map[string]bool
}

func (s *unresponsiveNodes) has(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.names[name]
}

// add notes a silent node and reports whether it was not known as one.
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

// checkResponsive tries a node that is slow to answer; a slow upstream leaves the node itself quick.
func (n *Node) checkResponsive(name, address string) {
	if n.silent.has(name) || n.ping(address) || !n.silent.add(name) {
		return
	}
	defer n.silent.remove(name)
	for !n.stop.Load() {
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
