package node

import (
	"context"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/membership"
)

// Timing of the pings to the owner of an idempotency key that is slow to respond.
const (
	ownerPingDelay = 200 * time.Millisecond // time without a response to a request after which the owner is pinged
	pingTimeout    = 250 * time.Millisecond // maximum time for a response to a ping
	pingInterval   = 200 * time.Millisecond // interval between pings to an unresponsive node
)

// unresponsiveNodes is the set of nodes that do not respond to pings. No request with an idempotency key is sent to them,
// so that the first request with a key can still be reported as not-run or sent to a new owner.
type unresponsiveNodes struct {
	mu     sync.Mutex
	byName map[string]bool // true for each unresponsive node, by node name
}

func (s *unresponsiveNodes) has(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byName[name]
}

// add adds a node and reports whether it was not in the set.
func (s *unresponsiveNodes) add(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = make(map[string]bool)
	}
	wasPresent := s.byName[name]
	s.byName[name] = true
	return !wasPresent
}

func (s *unresponsiveNodes) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byName, name)
}

// checkResponsive pings a node that is slow to respond to a request. If there is no response, the node stays in the set
// until it responds to a ping, changes its address or leaves the fleet.
// A slow upstream does not delay its node's responses to pings.
func (n *Node) checkResponsive(name, address string) {
	if n.unresponsive.has(name) || n.ping(address) || !n.unresponsive.add(name) {
		return
	}
	defer n.unresponsive.remove(name)
	for !n.stopping.Load() {
		time.Sleep(pingInterval)
		member, _ := n.view.member(name)
		if member.Address != address || member.Status == membership.Dead || member.Status == membership.Left || n.ping(address) {
			return
		}
	}
}

func (n *Node) ping(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	return n.Reach(ctx, address)
}
