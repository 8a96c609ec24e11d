package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/quota"
)

// Timeouts of control messages and limits of the log.
const (
	heartbeatTimeout = 500 * time.Millisecond
	syncTimeout      = 3 * time.Second // timeout for an exchange that carries many members or log entries
	probeTimeout     = 400 * time.Millisecond
	maxLoggedJoins   = 4 // maximum number of log lines on nodes that joined with one message; their number is logged if there are more
)

func ownershipNode(m membership.Member) ownership.Node {
	return ownership.Node{
		NodeRef:    ownership.NodeRef{Name: m.Name, Incarnation: m.Incarnation},
		DataCentre: m.DataCentre,
		Region:     m.Region,
		Leaving:    m.Status == membership.Leaving,
	}
}

// tickMembership advances the membership engine to now and begins a fetch that is due.
func (n *Node) tickMembership(_ context.Context, now time.Time) {
	n.mu.Lock()
	n.members.Tick(now)
	output := n.members.TakeOutput()
	n.mu.Unlock()
	n.handleMembershipOutput(output)
	n.fetchDue(now)
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
	n.recallDepartures(upstreamDepartures(output.Recalled), "node")
	if len(output.Changes)+len(output.Removed) > 0 {
		n.applyMemberChanges(output)
	}
	for _, s := range output.Heartbeats {
		n.spawn(func() { n.sendHeartbeat(s) })
	}
	for _, p := range output.Probes {
		n.spawn(func() { n.probe(p) })
	}
}

func (n *Node) sendHeartbeat(s membership.OutgoingHeartbeat) {
	timeout := heartbeatTimeout
	if len(s.Message.Members) > 1 || s.Name == "" {
		timeout = syncTimeout
	}
	_, _ = n.exchange(s, timeout, false) // the membership engine has been told of a failure
}

// exchange sends a heartbeat and gives the response, or the failure, to the membership engine. If confirm is true, it asks whether the
// receiver reads the published versions.
func (n *Node) exchange(s membership.OutgoingHeartbeat, timeout time.Duration, confirm bool) (peer.Heartbeat, error) {
	n.mu.Lock()
	hb := n.newHeartbeat(s.Message, s.Name)
	n.mu.Unlock()
	hb.Confirm = confirm
	if len(hb.Entries) > 0 {
		timeout = syncTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := n.client.Exchange(ctx, s.Address, hb)
	now := time.Now()
	n.mu.Lock()
	if err != nil {
		n.members.HeartbeatFailed(now, s)
	} else {
		n.clock.Observe(resp.Stamp)
		n.members.ReceiveResponse(now, s, resp.Message)
	}
	output := n.members.TakeOutput()
	n.mu.Unlock()
	n.handleMembershipOutput(output)
	if err == nil {
		n.recall.hear(resp.Message.Name, resp.Message.Incarnation, uint64(n.startedAt.UnixMilli()))
		n.applyHeartbeatLog(resp, s.Address)
	}
	return resp, err
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
	resp.Confirmed = hb.Confirm && n.versionReader != nil && n.versionReader.Confirms(n.bootTime()) && !n.stopping.Load()
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

// applyMemberChanges records the changes as events and applies the current records of the changed members to the view, the balancers
// and, with the own protocols, to ownership.
func (n *Node) applyMemberChanges(output membership.Output) {
	n.recordMemberChanges(output.Changes)
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	update := upstreamUpdate{}
	liveBefore := n.view.liveCount()
	for _, c := range output.Changes {
		n.mu.Lock()
		m, known := n.members.Member(c.New.Name) // a later change may have been applied already
		n.mu.Unlock()
		if known {
			update.add(n, n.view.replace(m), m)
			n.limits.Fleet(func(f *quota.Fleet) { f.Update(time.Now(), m.Name, quotaStatuses[m.Status]) })
		}
	}
	for _, name := range output.Removed {
		update.add(n, n.view.remove(name), membership.Member{Name: name, Status: membership.Left})
		n.limits.Fleet(func(f *quota.Fleet) { f.Remove(time.Now(), name) })
	}
	if !n.protocols.hasConfigSource() {
		n.updateOwnership()
	}
	live := n.view.liveCount()
	n.metrics.liveMembers.Set(float64(live))
	n.applyUpstreams(update)
	if live != liveBefore {
		n.shareRetryReserve(live)
	}
}

// updateOwnership gives the live members to the ownership engine.
func (n *Node) updateOwnership() {
	var nodes []ownership.Node
	for _, m := range n.view.liveMembers() {
		nodes = append(nodes, ownershipNode(m))
	}
	n.mu.Lock()
	n.owners.SetMembers(nodes)
	n.mu.Unlock()
}

// recordMemberChanges records the nodes that joined, left or died as events and in the log.
func (n *Node) recordMemberChanges(changes []membership.MemberChange) {
	eventKinds := map[membership.Status]event.Kind{
		membership.Alive: event.Join, membership.Leaving: event.Leave, membership.Left: event.Leave, membership.Dead: event.Dead,
	}
	joined := 0
	for _, c := range changes {
		if c.New.Name == n.cfg.Name || c.New.Status == c.Old.Status && c.New.Incarnation == c.Old.Incarnation {
			continue
		}
		n.events.Add(event.Event{Kind: eventKinds[c.New.Status], Text: c.New.Name + " " + c.New.Status.String()})
		if c.New.Status == membership.Alive {
			joined++
			if joined > maxLoggedJoins {
				continue
			}
		}
		_ = level.Info(n.logger).Log("msg", "member", "member", c.New.Name, "status", c.New.Status)
	}
	if joined > maxLoggedJoins {
		_ = level.Info(n.logger).Log("msg", "members", "joined", joined, "live", n.view.liveCount())
	}
}
