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

// maxUpstreams is the maximum number of upstreams beside one node. Each has its own gate.
const maxUpstreams = 64

// gateSet holds one gate for each upstream beside the node. A gate admits requests to its upstream.
type gateSet struct {
	mu         sync.Mutex
	byID       map[string]*upstream.Gate     // gates by upstream ID
	cancelByID map[string]context.CancelFunc // functions that stop the gates, by upstream ID

	roster           upstream.Roster         // current announcements of the upstreams
	announcedSuspect map[*upstream.Gate]bool // whether the upstream was last announced as suspect; used by sweepGates only
}

func (s *gateSet) get(id string) *upstream.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

func (s *gateSet) all() []*upstream.Gate {
	s.mu.Lock()
	defer s.mu.Unlock()
	gates := make([]*upstream.Gate, 0, len(s.byID))
	for _, gate := range s.byID {
		gates = append(gates, gate)
	}
	return gates
}

func (s *gateSet) drain() {
	for _, gate := range s.all() {
		gate.Drain()
	}
}

func (s *gateSet) runningRequests() int {
	total := 0
	for _, gate := range s.all() {
		total += gate.Outstanding()
	}
	return total
}

// memberUpstreams returns the upstreams beside the node, in the form that the membership announces to the fleet.
func (s *gateSet) memberUpstreams() []membership.Upstream {
	memberStates := map[upstream.State]membership.State{
		upstream.Warming:  membership.Warming,
		upstream.Ready:    membership.Ready,
		upstream.Draining: membership.Draining,
	}
	now := time.Now()
	var members []membership.Upstream
	for _, gate := range s.all() {
		announcement := gate.Announcement()
		member := membership.Upstream{ID: announcement.ID, Service: announcement.Service, Slots: announcement.Slots, State: memberStates[announcement.State], Suspect: gate.Suspect(now)}
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b membership.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// Announce implements upstream.Registry. It adds or renews an upstream and returns the number of its unfinished requests.
func (n *Node) Announce(announcement upstream.Announcement) (int, error) {
	now := time.Now()
	received := announcement
	announcement, err := n.applyAnnouncement(now, announcement)
	if err != nil {
		n.logAnnouncement("ignored", received, err.Error())
		return 0, nil // a superseded announcement is no error for the upstream
	}
	n.gates.mu.Lock()
	gate := n.gates.byID[announcement.ID]
	if gate == nil && len(n.gates.byID) >= maxUpstreams {
		n.gates.mu.Unlock()
		return 0, errors.Errorf("node already has the maximum of %d upstreams", maxUpstreams)
	}
	changed := gate == nil
	if gate == nil {
		gate = upstream.NewGate(announcement, n.protocols.upstream, admissionClasses(n.Bundle(), announcement.Service), now)
		n.addGate(announcement.ID, gate)
	}
	n.gates.mu.Unlock()
	if n.stopping.Load() {
		announcement.State = upstream.Draining
	}
	changed = gate.Renew(announcement, now) || changed
	if changed {
		eventKind := event.Announce
		if announcement.State == upstream.Draining {
			eventKind = event.Drain
		}
		n.events.Add(event.Event{Kind: eventKind, Upstream: announcement.ID, Text: announcement.Service + " " + string(announcement.State)})
		n.logAnnouncement(string(announcement.State), announcement, announcement.Service)
		n.announceUpstreams()
	}
	return gate.Outstanding(), nil
}

// applyAnnouncement validates an announcement, applies it to the roster and removes the upstreams that it replaces.
// It returns the current announcement of the upstream.
func (n *Node) applyAnnouncement(now time.Time, announcement upstream.Announcement) (upstream.Announcement, error) {
	if allowed := n.cfg.Listen.AllowedUpstreamAddress; allowed != "" && announcement.Address != allowed {
		return announcement, errors.Errorf("address %s is not beside this node, want %s", announcement.Address, allowed)
	}
	if bundleInForce := n.Bundle(); n.protocols.hasConfigSource() && bundleInForce.Len() > 0 && bundleInForce.Service(announcement.Service) == nil {
		return announcement, errors.Errorf("service %q is unknown", announcement.Service)
	}
	n.gates.mu.Lock()
	replaced, err := n.gates.roster.Apply(now, announcement)
	announcement, _ = n.gates.roster.Current(announcement.ID)
	n.gates.mu.Unlock()
	for _, id := range replaced {
		n.removeGate(id, "replaced by "+announcement.ID)
	}
	return announcement, err
}

// addGate adds and starts a gate; the caller holds n.gates.mu.
func (n *Node) addGate(id string, gate *upstream.Gate) {
	if n.gates.cancelByID == nil {
		n.gates.cancelByID = make(map[string]context.CancelFunc)
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.gates.byID[id] = gate
	n.gates.cancelByID[id] = cancel
	n.spawn(func() { gate.Run(ctx) })
}

// logAnnouncement logs the result of an announcement.
func (n *Node) logAnnouncement(result string, a upstream.Announcement, reason string) {
	_ = level.Info(n.logger).Log("msg", "announcement", "result", result, "upstream", a.ID, "incarnation", a.Incarnation, "seq", a.Seq, "state", a.State, "why", reason)
}

// Withdraw implements upstream.Registry. It removes an upstream that leaves.
func (n *Node) Withdraw(id string) {
	n.gates.mu.Lock()
	_, known := n.gates.roster.Current(id)
	n.gates.roster.Remove(time.Now(), id, true)
	n.gates.mu.Unlock()
	_ = level.Info(n.logger).Log("msg", "withdrawn", "upstream", id, "known", known)
	n.removeGate(id, "left")
}

// removeGate removes the gate of an upstream. Requests that are running at the upstream continue.
func (n *Node) removeGate(id, reason string) {
	n.gates.mu.Lock()
	gate, cancel := n.gates.byID[id], n.gates.cancelByID[id]
	delete(n.gates.byID, id)
	delete(n.gates.cancelByID, id)
	n.gates.mu.Unlock()
	if gate == nil {
		return
	}
	gate.Drain()
	cancel()
	n.events.Add(event.Event{Kind: event.Gone, Upstream: id, Text: reason})
	n.logAnnouncement("gone", gate.Announcement(), reason)
	n.announceUpstreams()
}

// announceUpstreams announces the node's upstreams to the fleet.
func (n *Node) announceUpstreams() {
	now := time.Now()
	n.mu.Lock()
	n.members.SetUpstreams(now, n.gates.memberUpstreams())
	n.members.Flush(now)
	output := n.members.TakeOutput()
	n.mu.Unlock()
	n.handleMembershipOutput(output)
}

// recordHealthChange records that a gate began or stopped suspecting its upstream of being unhealthy.
func (n *Node) recordHealthChange(gate *upstream.Gate, suspect bool) {
	announcement := gate.Announcement()
	eventKind := event.Restore
	if suspect {
		eventKind = event.Eject
	}
	suspicion := gate.Load("").Suspicion
	n.events.Add(event.Event{Kind: eventKind, Upstream: announcement.ID, Text: fmt.Sprintf("%s sick %.2f", announcement.Service, suspicion)})
	n.metrics.healthChanges.WithLabelValues(announcement.Service, string(eventKind)).Inc()
	_ = level.Info(n.logger).Log("msg", "health", "upstream", announcement.ID, "service", announcement.Service, "suspect", suspect, "sick", suspicion)
}

// sweepGates removes upstreams that stopped renewing their announcements, and announces changes of suspect upstreams to the fleet.
func (n *Node) sweepGates(ctx context.Context, now time.Time) {
	if ctx.Err() != nil {
		return
	}
	suspectsChanged := false
	for _, gate := range n.gates.all() {
		if gate.Expired(now) {
			id := gate.Announcement().ID
			n.gates.mu.Lock()
			n.gates.roster.Remove(now, id, false)
			n.gates.mu.Unlock()
			n.removeGate(id, "silent")
			continue
		}
		suspect := gate.Suspect(now)
		if suspect != n.gates.announcedSuspect[gate] {
			n.recordHealthChange(gate, suspect)
		}
		suspectsChanged = suspectsChanged || suspect != n.gates.announcedSuspect[gate]
		n.gates.announcedSuspect[gate] = suspect
	}
	if suspectsChanged {
		n.announceUpstreams()
	}
}

func (n *Node) stopGates() {
	n.gates.mu.Lock()
	defer n.gates.mu.Unlock()
	for _, cancel := range n.gates.cancelByID {
		cancel()
	}
}

// admissionClasses returns the classes of a service for admission control, in the same order at every node.
func admissionClasses(bundleInForce *bundle.Bundle, service string) []admission.Class {
	serviceConfig := bundleInForce.Service(service)
	if serviceConfig == nil {
		return nil
	}
	var classes []admission.Class
	for _, class := range serviceConfig.Classes() {
		classes = append(classes, admission.Class{Name: class.Name(), Priority: class.Priority(), Share: class.Share(), Objective: class.Objective(), NonIdempotent: !class.Idempotent()})
	}
	return classes
}
