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

// Timing of control messages.
const (
	retryWindow  = 10 * time.Second // span in which the reserve of retries may be spent
	beatTimeout  = 500 * time.Millisecond
	syncTimeout  = 3 * time.Second // time for an exchange that carries many records
	probeTimeout = 400 * time.Millisecond
)

// fleetView is what requests need to know of the members.
type fleetView struct {
	byName map[string]membership.Member
	live   []membership.Member
}

func newFleetView(list []membership.Member) *fleetView {
	v := &fleetView{byName: make(map[string]membership.Member, len(list))}
	for _, m := range list {
		v.byName[m.Name] = m
		if m.Status == membership.Alive || m.Status == membership.Leaving {
			v.live = append(v.live, m)
		}
	}
	return v
}

func ownerNode(m membership.Member) ownership.Node {
	return ownership.Node{
		Ref:        ownership.Ref{Name: m.Name, Incarnation: m.Incarnation},
		DataCentre: m.DataCentre,
		Region:     m.Region,
		Leaving:    m.Status == membership.Leaving,
	}
}

// tick drives the engine of members.
func (n *Node) tick(_ context.Context, now time.Time) {
	n.mu.Lock()
	n.members.Tick(now)
	out := n.members.Take()
	n.mu.Unlock()
	n.carryOut(out)
}

// tickOwners drives the engine of owners.
func (n *Node) tickOwners(_ context.Context, now time.Time) {
	n.mu.Lock()
	n.owners.Tick(now)
	own := n.owners.TakeOutput()
	n.mu.Unlock()
	n.carryOutOwners(own)
}

// carryOut sends what the membership engine asks for.
func (n *Node) carryOut(out membership.Output) {
	if len(out.Changes) > 0 {
		n.membersChanged(out.Changes)
	}
	for _, s := range out.Sends {
		n.spawn(func() { n.exchange(s) })
	}
	for _, p := range out.Probes {
		n.spawn(func() { n.probe(p) })
	}
}

func (n *Node) exchange(s membership.Send) {
	n.mu.Lock()
	b := n.beat(s.Message, s.Name)
	n.mu.Unlock()
	timeout := beatTimeout
	if len(b.Message.Members) > 1 || len(b.Entries) > 0 || s.Name == "" {
		timeout = syncTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	ans, err := n.client.Exchange(ctx, s.Address, b)
	now := time.Now()
	if err != nil {
		n.mu.Lock()
		n.members.HeartbeatFailed(now, s)
		out := n.members.Take()
		n.mu.Unlock()
		n.carryOut(out)
		return
	}
	n.clock.Observe(ans.Stamp)
	n.mu.Lock()
	n.members.ReceiveResponse(now, s, ans.Message)
	out := n.members.Take()
	n.mu.Unlock()
	n.carryOut(out)
	n.handleHeartbeatLog(ans, s.Address)
}

// beat adds the log's news for the named node to a message; the engines are locked.
func (n *Node) beat(m membership.Message, to string) peer.Heartbeat {
	return peer.Heartbeat{
		Stamp:     n.clock.Now(time.Now()),
		Message:   m,
		Positions: n.logPositions(),
		Entries:   n.entriesAfter(n.positions[to]),
	}
}

// Exchange implements peer.Node.
func (n *Node) Exchange(b peer.Heartbeat) peer.Heartbeat {
	n.clock.Observe(b.Stamp)
	now := time.Now()
	n.handleHeartbeatLog(b, "")
	n.mu.Lock()
	ans := n.members.Receive(now, b.Message)
	n.members.Flush(now)
	out := n.members.Take()
	reply := n.beat(ans, b.Message.Name)
	n.mu.Unlock()
	n.carryOut(out)
	return reply
}

func (n *Node) probe(p membership.Probe) {
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
	b := n.beat(membership.Message{Name: n.cfg.Name, Digest: n.members.Digest()}, "")
	n.mu.Unlock()
	_, err := n.client.Exchange(ctx, address, b)
	return err == nil
}

// membersChanged brings routes and owners in line with the members.
func (n *Node) membersChanged(changes []membership.Change) {
	for _, c := range changes {
		n.noteMember(c)
	}
	n.mu.Lock()
	list := n.members.Members()
	v := newFleetView(list)
	nodes := make([]ownership.Node, 0, len(v.live))
	for _, m := range v.live {
		nodes = append(nodes, ownerNode(m))
	}
	n.owners.SetMembers(nodes)
	n.view.Store(v)
	n.mu.Unlock()
	n.metrics.members.Set(float64(len(v.live)))
	n.updateLanes(v)
}

func (n *Node) noteMember(c membership.Change) {
	if c.New.Name == n.cfg.Name || c.New.Status == c.Old.Status && c.New.Incarnation == c.Old.Incarnation {
		return
	}
	kinds := map[membership.Status]event.Kind{
		membership.Alive: event.Join, membership.Leaving: event.Leave, membership.Left: event.Leave, membership.Dead: event.Dead,
	}
	n.events.Add(event.Event{Kind: kinds[c.New.Status], Text: c.New.Name + " " + c.New.Status.String()})
	_ = level.Info(n.logger).Log("msg", "member", "member", c.New.Name, "status", c.New.Status)
}

// updateLanes gives every lane the upstreams of its service.
func (n *Node) updateLanes(v *fleetView) {
	n.laneMu.Lock()
	defer n.laneMu.Unlock()
	byService := make(map[string][]routing.Upstream)
	for _, m := range v.byName {
		if m.Status == membership.Left {
			continue
		}
		for _, u := range m.Upstreams {
			r := routing.Upstream{
				ID:      m.Name + "/" + u.ID,
				Node:    m.Name,
				Tier:    n.tier(m),
				Slots:   u.Slots,
				Ready:   m.Status == membership.Alive && u.State != membership.Draining,
				Suspect: u.Suspect,
			}
			byService[u.Service] = append(byService[u.Service], r)
		}
	}
	now := time.Now()
	share := n.Bundle().Policy().RetryReserve() / float64(max(1, len(v.live)))
	for name, l := range *n.lanes.Load() {
		l.mu.Lock()
		l.budget.SetReserve(share, retryWindow)
		l.balancer.Update(now, byService[name])
		l.mu.Unlock()
	}
}

func (n *Node) tier(m membership.Member) routing.Tier {
	switch {
	case m.DataCentre == n.cfg.DataCentre:
		return routing.SameDataCentre
	case m.Region == n.cfg.Region:
		return routing.SameRegion
	}
	return routing.OtherRegion
}
