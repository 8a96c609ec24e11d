package node

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// maxGates is the maximum number of upstreams that one node admits requests for.
const maxGates = 64

// gateSet holds the gates of the upstreams beside the node.
type gateSet struct {
	mu      sync.Mutex
	byID    map[string]*upstream.Gate
	cancels map[string]context.CancelFunc

	roster           upstream.Roster
	announcedSuspect map[*upstream.Gate]bool // as last announced; only used by sweepGates
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
		n += g.Outstanding()
	}
	return n
}

// memberUpstreams returns the upstreams in the form that membership announces.
func (s *gateSet) memberUpstreams() []membership.Upstream {
	states := map[upstream.State]membership.State{
		upstream.Warming:  membership.Warming,
		upstream.Ready:    membership.Ready,
		upstream.Draining: membership.Draining,
	}
	now := time.Now()
	var out []membership.Upstream
	for _, g := range s.all() {
		a := g.Announcement()
		u := membership.Upstream{ID: a.ID, Service: a.Service, Slots: a.Slots, State: states[a.State], Suspect: g.Suspect(now)}
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b membership.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Announce implements upstream.Registry.
func (n *Node) Announce(a upstream.Announcement) (int, error) {
	now := time.Now()
	id := a.ID
	a, err := n.applyAnnouncement(now, a)
	if err != nil {
		n.logAnnouncement("ignored", id, err.Error())
		return 0, nil // the upstream needs no error for an announcement that was superseded
	}
	n.gates.mu.Lock()
	g := n.gates.byID[a.ID]
	if g == nil && len(n.gates.byID) >= maxGates {
		n.gates.mu.Unlock()
		return 0, errors.Errorf("node already has the maximum of %d upstreams", maxGates)
	}
	changed := g == nil
	if g == nil {
		g = upstream.NewGate(a, n.protocols.upstream, admissionClasses(n.Bundle(), a.Service), now)
		n.addGate(a.ID, g)
	}
	n.gates.mu.Unlock()
	if n.stopping.Load() {
		a.State = upstream.Draining
	}
	changed = g.Renew(a, now) || changed
	if changed {
		kind := event.Announce
		if a.State == upstream.Draining {
			kind = event.Drain
		}
		n.events.Add(event.Event{Kind: kind, Upstream: a.ID, Text: a.Service + " " + string(a.State)})
		n.logAnnouncement(string(a.State), a.ID, a.Service)
		n.announceUpstreams()
	}
	return g.Outstanding(), nil
}

// applyAnnouncement checks an announcement against what the node knows of the upstreams beside it and removes those that it replaces.
func (n *Node) applyAnnouncement(now time.Time, a upstream.Announcement) (upstream.Announcement, error) {
	if want := n.cfg.Listen.AllowedUpstreamAddress; want != "" && a.Address != want {
		return a, errors.Errorf("address %s is not beside this node, want %s", a.Address, want)
	}
	if b := n.Bundle(); n.protocols.hasConfigSource() && b.Len() > 0 && b.Service(a.Service) == nil {
		return a, errors.Errorf("service %q is unknown", a.Service)
	}
	n.gates.mu.Lock()
	replaced, err := n.gates.roster.Apply(now, a)
	a, _ = n.gates.roster.Current(a.ID)
	n.gates.mu.Unlock()
	for _, id := range replaced {
		n.removeGate(id, "replaced by "+a.ID)
	}
	return a, err
}

// addGate adds and starts a gate; n.gates.mu is held.
func (n *Node) addGate(id string, g *upstream.Gate) {
	if n.gates.cancels == nil {
		n.gates.cancels = make(map[string]context.CancelFunc)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.gates.byID[id] = g
	n.gates.cancels[id] = cancel
	n.spawn(func() { g.Run(ctx) })
}

// logAnnouncement logs the result of an announcement.
func (n *Node) logAnnouncement(result, id, reason string) {
	_ = level.Info(n.logger).Log("msg", "announcement", "result", result, "upstream", id, "why", reason)
}

// Withdraw implements upstream.Registry.
func (n *Node) Withdraw(id string) {
	n.gates.mu.Lock()
	n.gates.roster.Remove(time.Now(), id, true)
	n.gates.mu.Unlock()
	n.removeGate(id, "left")
}

// removeGate removes the gate of an upstream; its running requests continue.
func (n *Node) removeGate(id, reason string) {
	n.gates.mu.Lock()
	g, cancel := n.gates.byID[id], n.gates.cancels[id]
	delete(n.gates.byID, id)
	delete(n.gates.cancels, id)
	n.gates.mu.Unlock()
	if g == nil {
		return
	}
	g.Drain()
	cancel()
	n.events.Add(event.Event{Kind: event.Gone, Upstream: id, Text: reason})
	n.logAnnouncement("gone", id, reason)
	n.announceUpstreams()
}

// announceUpstreams announces the node's upstreams to the fleet.
func (n *Node) announceUpstreams() {
	now := time.Now()
	n.mu.Lock()
	n.members.SetUpstreams(now, n.gates.memberUpstreams())
	n.members.Flush(now)
	out := n.members.Take()
	n.mu.Unlock()
	n.handleMembershipOutput(out)
}

// recordHealthChange records that a gate began or ceased to suspect its upstream.
func (n *Node) recordHealthChange(g *upstream.Gate, suspect bool) {
	spec := g.Announcement()
	kind := event.Restore
	if suspect {
		kind = event.Eject
	}
	suspicion := g.Load("").Suspicion
	n.events.Add(event.Event{Kind: kind, Upstream: spec.ID, Text: fmt.Sprintf("%s sick %.2f", spec.Service, suspicion)})
	n.metrics.healthChanges.WithLabelValues(spec.Service, string(kind)).Inc()
	_ = level.Info(n.logger).Log("msg", "health", "upstream", spec.ID, "service", spec.Service, "suspect", suspect, "sick", suspicion)
}

// sweepGates removes upstreams that stopped renewing their announcement and announces changed suspicions.
func (n *Node) sweepGates(ctx context.Context, now time.Time) {
	if ctx.Err() != nil {
		return
	}
	changed := false
	for _, g := range n.gates.all() {
		if g.Expired(now) {
			id := g.Announcement().ID
			n.gates.mu.Lock()
			n.gates.roster.Remove(now, id, false)
			n.gates.mu.Unlock()
			n.removeGate(id, "silent")
			continue
		}
		suspect := g.Suspect(now)
		if suspect != n.gates.announcedSuspect[g] {
			n.recordHealthChange(g, suspect)
		}
		changed = changed || suspect != n.gates.announcedSuspect[g]
		n.gates.announcedSuspect[g] = suspect
	}
	if changed {
		n.announceUpstreams()
	}
}

func (n *Node) stopGates() {
	n.gates.mu.Lock()
	defer n.gates.mu.Unlock()
	for _, cancel := range n.gates.cancels {
		cancel()
	}
}

// admissionClasses returns the admissionClasses of a service in the order that all nodes use.
func admissionClasses(b *bundle.Bundle, service string) []admission.Class {
	s := b.Service(service)
	if s == nil {
		return nil
	}
	var out []admission.Class
	for _, c := range s.Classes() {
		out = append(out, admission.Class{Name: c.Name(), Priority: c.Priority(), Share: c.Share(), Objective: c.Objective(), NonIdempotent: !c.Idempotent()})
	}
	return out
}
