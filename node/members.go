package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/routing"
)

// Retry reserve window and timeouts of control messages.
const (
	retryReserveWindow = 10 * time.Second // time over which a retry reserve may be spent
	heartbeatTimeout   = 500 * time.Millisecond
	syncTimeout        = 3 * time.Second // timeout for an exchange that carries many members or log entries
	probeTimeout       = 400 * time.Millisecond
)

// fleetView is an immutable snapshot of the members. Requests read it without locking.
type fleetView struct {
	byName map[string]membership.Member
	live   []membership.Member
}

func newFleetView(members []membership.Member) *fleetView {
	view := &fleetView{byName: make(map[string]membership.Member, len(members))}
	for _, m := range members {
		view.byName[m.Name] = m
		if m.Status == membership.Alive || m.Status == membership.Leaving {
			view.live = append(view.live, m)
		}
	}
	return view
}

func ownershipNode(m membership.Member) ownership.Node {
	return ownership.Node{
		NodeRef:    ownership.NodeRef{Name: m.Name, Incarnation: m.Incarnation},
		DataCentre: m.DataCentre,
		Region:     m.Region,
		Leaving:    m.Status == membership.Leaving,
	}
}

// tickMembership advances the membership engine to now.
func (n *Node) tickMembership(_ context.Context, now time.Time) {
	n.mu.Lock()
	n.members.Tick(now)
	output := n.members.TakeOutput()
	n.mu.Unlock()
	n.handleMembershipOutput(output)
}

// tickOwnership advances the ownership engine to now.
func (n *Node) tickOwnership(_ context.Context, now time.Time) {
	n.mu.Lock()
	n.owners.Tick(now)
	output := n.owners.TakeOutput()
	n.mu.Unlock()
	n.handleOwnershipOutput(output)
}

// handleMembershipOutput applies the member changes of the membership engine and sends its heartbeats and probes.
func (n *Node) handleMembershipOutput(output membership.Output) {
	if len(output.Changes) > 0 {
		n.applyMemberChanges(output.Changes)
	}
	for _, s := range output.Heartbeats {
		n.spawn(func() { n.sendHeartbeat(s) })
	}
	for _, p := range output.Probes {
		n.spawn(func() { n.probe(p) })
	}
}

func (n *Node) sendHeartbeat(s membership.OutgoingHeartbeat) {
	n.mu.Lock()
	hb := n.newHeartbeat(s.Message, s.Name)
	n.mu.Unlock()
	timeout := heartbeatTimeout
	if len(hb.Message.Members) > 1 || len(hb.Entries) > 0 || s.Name == "" {
		timeout = syncTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := n.client.Exchange(ctx, s.Address, hb)
	now := time.Now()
	if err != nil {
		n.mu.Lock()
		n.members.HeartbeatFailed(now, s)
		output := n.members.TakeOutput()
		n.mu.Unlock()
		n.handleMembershipOutput(output)
		return
	}
	n.clock.Observe(resp.Stamp)
	n.mu.Lock()
	n.members.ReceiveResponse(now, s, resp.Message)
	output := n.members.TakeOutput()
	n.mu.Unlock()
	n.handleMembershipOutput(output)
	n.applyHeartbeatLog(resp, s.Address)
}

// newHeartbeat returns a heartbeat with the membership message m, this node's log positions and the log entries that the
// node named to is missing. The caller holds n.mu.
func (n *Node) newHeartbeat(m membership.Message, to string) peer.Heartbeat {
	return peer.Heartbeat{
		Stamp:     n.clock.Now(time.Now()),
		Message:   m,
		Positions: n.logPositions(),
		Entries:   n.entriesAfter(n.peerPositions[to]),
	}
}

// Exchange implements peer.Node.
func (n *Node) Exchange(hb peer.Heartbeat) peer.Heartbeat {
	n.clock.Observe(hb.Stamp)
	now := time.Now()
	n.applyHeartbeatLog(hb, "")
	n.mu.Lock()
	msg := n.members.ReceiveHeartbeat(now, hb.Message)
	n.members.Flush(now)
	output := n.members.TakeOutput()
	resp := n.newHeartbeat(msg, hb.Message.Name)
	n.mu.Unlock()
	n.handleMembershipOutput(output)
	return resp
}

func (n *Node) probe(p membership.IndirectProbe) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*probeTimeout)
	defer cancel()
	ok, err := n.client.Probe(ctx, p.ViaAddress, p.Address)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members.ReceiveProbeResult(time.Now(), p, err == nil && ok)
}

// Reach implements peer.Node.
func (n *Node) Reach(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	n.mu.Lock()
	hb := n.newHeartbeat(membership.Message{Name: n.cfg.Name, Digest: n.members.Digest()}, "")
	n.mu.Unlock()
	_, err := n.client.Exchange(ctx, address, hb)
	return err == nil
}

// applyMemberChanges records the changes as events and gives the current members to routing and ownership.
func (n *Node) applyMemberChanges(changes []membership.MemberChange) {
	for _, c := range changes {
		n.recordMemberChange(c)
	}
	n.mu.Lock()
	members := n.members.Members()
	view := newFleetView(members)
	nodes := make([]ownership.Node, 0, len(view.live))
	for _, m := range view.live {
		nodes = append(nodes, ownershipNode(m))
	}
	n.owners.SetMembers(nodes)
	n.view.Store(view)
	n.mu.Unlock()
	n.metrics.liveMembers.Set(float64(len(view.live)))
	n.updateServices(view)
}

func (n *Node) recordMemberChange(c membership.MemberChange) {
	if c.New.Name == n.cfg.Name || c.New.Status == c.Old.Status && c.New.Incarnation == c.Old.Incarnation {
		return
	}
	eventKinds := map[membership.Status]event.Kind{
		membership.Alive: event.Join, membership.Leaving: event.Leave, membership.Left: event.Leave, membership.Dead: event.Dead,
	}
	n.events.Add(event.Event{Kind: eventKinds[c.New.Status], Text: c.New.Name + " " + c.New.Status.String()})
	_ = level.Info(n.logger).Log("msg", "member", "member", c.New.Name, "status", c.New.Status)
}

// updateServices updates the upstreams and the retry reserve of every service.
func (n *Node) updateServices(view *fleetView) {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	byService := make(map[string][]routing.Upstream)
	for _, m := range view.byName {
		if m.Status == membership.Left {
			continue
		}
		for _, u := range m.Upstreams {
			routed := routing.Upstream{
				ID:      m.Name + "/" + u.ID,
				Node:    m.Name,
				Tier:    n.tierOf(m),
				Slots:   u.Slots,
				Ready:   m.Status == membership.Alive && u.State != membership.Draining,
				Suspect: u.Suspect,
			}
			byService[u.Service] = append(byService[u.Service], routed)
		}
	}
	now := time.Now()
	reservePerNode := n.Bundle().Policy().RetryReserve() / float64(max(1, len(view.live)))
	for name, svc := range *n.services.Load() {
		svc.mu.Lock()
		svc.retryBudget.SetReserve(reservePerNode, retryReserveWindow)
		svc.balancer.Update(now, byService[name])
		svc.mu.Unlock()
	}
}

func (n *Node) tierOf(m membership.Member) routing.Tier {
	switch {
	case m.DataCentre == n.cfg.DataCentre:
		return routing.SameDataCentre
	case m.Region == n.cfg.Region:
		return routing.SameRegion
	}
	return routing.OtherRegion
}
