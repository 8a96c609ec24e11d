package node

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// maxGates bounds the upstreams that one node admits work for.
const maxGates = 64

// gateSet holds the gates of the upstreams beside the node.
type gateSet struct {
	mu   sync.Mutex
	byID map[string]*upstream.Gate
	stop map[string]context.CancelFunc

	suspect map[*upstream.Gate]bool // as last announced; used by the sweep alone
}

func (s *gateSet) get(id string) *upstream.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

func (s *gateSet) all() []*upstream.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*upstream.Gate, 0, len(s.byID))
	for _, g := range s.byID {
		out = append(out, g)
	}
	return out
}

func (s *gateSet) drain() {
	for _, g := range s.all() {
		g.Drain()
	}
}

func (s *gateSet) running() int {
	n := 0
	for _, g := range s.all() {
		n += g.Running()
	}
	return n
}

// list returns the upstreams as membership announces them.
func (s *gateSet) list() []membership.Upstream {
	states := map[upstream.State]membership.State{
		upstream.Warming:  membership.Warming,
		upstream.Ready:    membership.Ready,
		upstream.Draining: membership.Draining,
	}
	now := time.Now()
	var out []membership.Upstream
	for _, g := range s.all() {
		a := g.Spec()
		u := membership.Upstream{ID: a.ID, Service: a.Service, Slots: a.Slots, State: states[a.State], Suspect: g.Suspect(now)}
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b membership.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Announce implements upstream.Registry.
func (n *Node) Announce(a upstream.Announcement) (int, error) {
	now := time.Now()
	if err := n.accept(a); err != nil {
		return 0, err
	}
	n.gates.mu.Lock()
	g := n.gates.byID[a.ID]
	if g == nil && len(n.gates.byID) >= maxGates {
		n.gates.mu.Unlock()
		return 0, errors.Errorf("this node has %d upstreams, which is its limit", maxGates)
	}
	changed := g == nil
	if g == nil {
		g = upstream.NewGate(a, n.contract.upstream, classes(n.Bundle(), a.Service), now)
		n.addGate(a.ID, g)
	}
	n.gates.mu.Unlock()
	if n.stop.Load() {
		a.State = upstream.Draining
	}
	changed = g.Renew(a, now) || changed
	if changed {
		kind := event.Announce
		if a.State == upstream.Draining {
			kind = event.Drain
		}
		n.events.Add(event.Event{Kind: kind, Upstream: a.ID, Text: a.Service + " " + string(a.State)})
		n.announce()
	}
	return g.Running(), nil
}

// accept checks an announcement against what the node knows of the upstreams beside it, and withdraws an upstream that another has replaced at its address.
func (n *Node) accept(a upstream.Announcement) error {
	if want := n.cfg.Listen.Beside; want != "" && a.Address != want {
		return errors.Errorf("address %s is not beside this node, want %s", a.Address, want)
	}
	if b := n.Bundle(); n.contract.published() && b.Len() > 0 && b.Service(a.Service) == nil {
		return errors.Errorf("service %q is unknown", a.Service)
	}
	for _, g := range n.gates.all() {
		old := g.Spec()
		if old.ID == a.ID || old.Address != a.Address {
			continue
		}
		if a.Incarnation < old.Incarnation {
			return errors.Errorf("upstream %s has replaced %s at %s", old.ID, a.ID, a.Address)
		}
		n.Withdraw(old.ID)
	}
	return nil
}

// addGate starts a gate; the set is locked.
func (n *Node) addGate(id string, g *upstream.Gate) {
	if n.gates.stop == nil {
		n.gates.stop = make(map[string]context.CancelFunc)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.gates.byID[id] = g
	n.gates.stop[id] = cancel
	n.spawn(func() { g.Run(ctx) })
}

// Withdraw implements upstream.Registry.
func (n *Node) Withdraw(id string) {
	n.gates.mu.Lock()
	g, cancel := n.gates.byID[id], n.gates.stop[id]
	delete(n.gates.byID, id)
	delete(n.gates.stop, id)
	n.gates.mu.Unlock()
	if g == nil {
		return
	}
	g.Drain()
	cancel()
	n.events.Add(event.Event{Kind: event.Gone, Upstream: id})
	n.announce()
}

// announce tells the fleet which upstreams the node serves.
func (n *Node) announce() {
	now := time.Now()
	n.mu.Lock()
	n.members.SetUpstreams(now, n.gates.list())
	n.members.Flush(now)
	out := n.members.Take()
	n.mu.Unlock()
	n.carryOut(out)
}

// sweepGates withdraws upstreams that stopped renewing their announcement and announces suspicions.
func (n *Node) sweepGates(ctx context.Context, now time.Time) {
	if ctx.Err() != nil {
		return
	}
	changed := false
	for _, g := range n.gates.all() {
		if g.Expired(now) {
			n.Withdraw(g.Spec().ID)
			continue
		}
		suspect := g.Suspect(now)
		changed = changed || suspect != n.gates.suspect[g]
		n.gates.suspect[g] = suspect
	}
	if changed {
		n.announce()
	}
}

func (n *Node) stopGates() {
	n.gates.mu.Lock()
	defer n.gates.mu.Unlock()
	for _, cancel := range n.gates.stop {
		cancel()
	}
}

// classes returns the classes of a service in the order that all nodes use.
func classes(b *bundle.Bundle, service string) []admission.Class {
	s := b.Service(service)
	if s == nil {
		return nil
	}
	var out []admission.Class
	for _, c := range s.Classes() {
		out = append(out, admission.Class{Name: c.Name(), Priority: c.Priority(), Share: c.Share()})
	}
	return out
}
