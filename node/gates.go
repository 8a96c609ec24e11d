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

	noticed bool // the upstreams are announced as draining, since the node stops
	drained bool // the gates refuse requests, since the node stops

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

// giveNotice makes the node announce all its upstreams as draining, while the gates still take requests.
func (s *gateSet) giveNotice() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noticed = true
}

// drain drains all gates, also those of later announcements.
func (s *gateSet) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = true
	for _, gate := range s.byID {
		gate.Drain()
	}
}

// newestService returns the service of the upstream with the highest incarnation, one that doesn't drain before one that does; it is empty if
// there is none.
func (s *gateSet) newestService() string {
	var newest upstream.Announcement
	for _, gate := range s.all() {
		if a := gate.Announcement(); newest.ID == "" || supersedes(a, newest) {
			newest = a
		}
	}
	return newest.Service
}

// supersedes reports whether an announcement tells better than another one which upstream is beside the node.
func supersedes(a, other upstream.Announcement) bool {
	if draining := a.State == upstream.Draining; draining != (other.State == upstream.Draining) {
		return !draining
	}
	return cmp.Or(cmp.Compare(a.Incarnation, other.Incarnation), cmp.Compare(a.ID, other.ID)) > 0
}

// dueTrial returns the ID by which routing knows an upstream of the service beside this node whose gate waits for a trial request, or an
// empty string if there is none.
func (n *Node) dueTrial(now time.Time, service string) string {
	for _, gate := range n.gates.all() {
		if a := gate.Announcement(); a.Service == service && gate.AwaitsTrial(now) {
			return n.cfg.Name + "/" + a.ID
		}
	}
	return ""
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
	s.mu.Lock()
	noticed := s.noticed
	s.mu.Unlock()
	var members []membership.Upstream
	for _, gate := range s.all() {
		announcement := gate.Announcement()
		if noticed {
			announcement.State = upstream.Draining
		}
		member := membership.Upstream{ID: announcement.ID, Service: announcement.Service, Slots: announcement.Slots, State: memberStates[announcement.State], Suspect: gate.Suspect(now)}
		members = append(members, member)
	}
	slices.SortFunc(members, func(a, b membership.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return members
}

// appliedAnnouncement is the effect of an announcement on the gates.
type appliedAnnouncement struct {
	gate     *upstream.Gate
	changed  bool // the gate is new, or what other nodes know of it changed
	replaced []*upstream.Gate
}

// apply applies an announcement to the roster and to the gate of its upstream in one step, so that no departure comes between.
func (s *gateSet) apply(n *Node, now time.Time, announcement upstream.Announcement) (appliedAnnouncement, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gate := s.byID[announcement.ID]
	if gate == nil && len(s.byID) >= maxUpstreams {
		return appliedAnnouncement{}, errors.Errorf("node already has the maximum of %d upstreams", maxUpstreams)
	}
	replaced, err := s.roster.Apply(now, announcement)
	if err != nil {
		return appliedAnnouncement{}, err
	}
	applied := appliedAnnouncement{}
	for _, id := range replaced {
		if removed := s.remove(id); removed != nil {
			applied.replaced = append(applied.replaced, removed)
		}
	}
	announcement, _ = s.roster.Current(announcement.ID)
	if s.drained {
		announcement.State = upstream.Draining
	}
	applied.gate = s.byID[announcement.ID]
	if applied.gate == nil {
		applied.changed = true
		applied.gate = upstream.NewGate(announcement, n.protocols.upstream, nil, now)
		n.configureGate(applied.gate, n.Bundle())
		s.add(n, announcement.ID, applied.gate)
	}
	applied.changed = applied.gate.Renew(announcement, now) || applied.changed
	return applied, nil
}

// add adds and starts a gate; the caller holds s.mu.
func (s *gateSet) add(n *Node, id string, gate *upstream.Gate) {
	if s.cancelByID == nil {
		s.cancelByID = make(map[string]context.CancelFunc)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.byID[id] = gate
	s.cancelByID[id] = cancel
	n.spawn(func() { gate.Run(ctx) })
}

// remove removes the gate of an upstream and returns it, or nil if there is none; the caller holds s.mu. Requests that are
// running at the upstream continue.
func (s *gateSet) remove(id string) *upstream.Gate {
	gate, cancel := s.byID[id], s.cancelByID[id]
	delete(s.byID, id)
	delete(s.cancelByID, id)
	if gate == nil {
		return nil
	}
	gate.Drain()
	cancel()
	return gate
}

// isCurrent reports whether an announcement comes from an upstream that has a gate, in its current incarnation.
func (s *gateSet) isCurrent(announcement upstream.Announcement) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.IsCurrent(announcement)
}

// recordDraining records that an upstream without a gate drains.
func (s *gateSet) recordDraining(now time.Time, announcement upstream.Announcement) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.RecordDraining(now, announcement)
}

// depart records a departure and removes the gate of its upstream, which it returns unless there is none.
func (s *gateSet) depart(now time.Time, d upstream.Departure) (*upstream.Gate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.roster.Depart(now, d); err != nil {
		return nil, err
	}
	return s.remove(d.ID), nil
}

// expire removes the gate of an upstream that stopped renewing its announcement, and reports whether it did.
func (s *gateSet) expire(now time.Time, gate *upstream.Gate) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := gate.Announcement().ID
	if !gate.Expired(now) || s.byID[id] != gate {
		return false
	}
	s.roster.Expire(now, id)
	s.remove(id)
	return true
}

// announceUpstreams announces the node's upstreams to the fleet.
func (n *Node) announceUpstreams() {
	now := time.Now()
	n.mu.Lock()
	n.members.SetUpstreams(now, n.gates.memberUpstreams(), n.gates.departures(now))
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
	changed := false
	for _, gate := range n.gates.all() {
		if n.gates.expire(now, gate) {
			n.recordRemoval(gate, "silent")
			delete(n.gates.announcedSuspect, gate)
			changed = true
			continue
		}
		gate.RecordRunning(now)
		gate.CloseIdle(now)
		suspect := gate.Suspect(now)
		if suspect == n.gates.announcedSuspect[gate] {
			continue
		}
		n.recordHealthChange(gate, suspect)
		n.gates.announcedSuspect[gate] = suspect
		changed = true
	}
	if changed {
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
		classes = append(classes, admission.Class{Name: class.Name(), Priority: class.Priority(), Share: class.Share(), Objective: class.Objective(), NonIdempotent: !class.Idempotent(), Nested: nestedClass(bundleInForce, class)})
	}
	return classes
}
