package node

import (
	"slices"
	"time"

	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/routing"
)

// upstreamUpdate holds the changes of upstreams by service.
type upstreamUpdate map[string]*serviceUpdate

// serviceUpdate holds the changes of the upstreams of one service.
type serviceUpdate struct {
	changed []routing.Upstream
	removed []string
}

// add adds the changes of the upstreams of one member.
func (up upstreamUpdate) add(n *Node, before, m membership.Member) {
	for _, u := range before.Upstreams {
		if m.Status == membership.Left || !slices.ContainsFunc(m.Upstreams, func(x membership.Upstream) bool { return x.ID == u.ID && x.Service == u.Service }) {
			s := up.service(u.Service)
			s.removed = append(s.removed, upstreamID(m, u))
		}
	}
	if m.Status == membership.Left {
		return
	}
	for _, u := range m.Upstreams {
		s := up.service(u.Service)
		s.changed = append(s.changed, n.routedUpstream(m, u))
	}
}

func (up upstreamUpdate) service(name string) *serviceUpdate {
	if up[name] == nil {
		up[name] = &serviceUpdate{}
	}
	return up[name]
}

// upstreamID returns the ID of an upstream in the fleet.
func upstreamID(m membership.Member, u membership.Upstream) string { return m.Name + "/" + u.ID }

// routedUpstream returns the upstream of a member in the form that the balancer takes.
func (n *Node) routedUpstream(m membership.Member, u membership.Upstream) routing.Upstream {
	return routing.Upstream{
		ID:      upstreamID(m, u),
		Node:    m.Name,
		Tier:    n.tierOf(m),
		Slots:   u.Slots,
		Ready:   isLive(m) && u.State != membership.Draining,
		Suspect: u.Suspect,
	}
}

// applyUpstreams applies the changes of upstreams to the balancers; the caller holds n.servicesMu.
func (n *Node) applyUpstreams(update upstreamUpdate) {
	now := time.Now()
	services := *n.services.Load()
	for name, u := range update {
		if svc := services[name]; svc != nil {
			svc.mu.Lock()
			svc.balancer.Apply(now, u.changed, u.removed)
			svc.mu.Unlock()
		}
	}
}

// shareRetryReserve gives this node its share of the retry reserve of each service.
func (n *Node) shareRetryReserve(live int) {
	reservePerNode := n.Bundle().Policy().RetryReserve() / float64(max(1, live))
	now := time.Now()
	for _, svc := range *n.services.Load() {
		svc.mu.Lock()
		svc.retryBudget.SetReserve(now, reservePerNode)
		svc.mu.Unlock()
	}
}

// updateAllServices gives all upstreams to the balancers, of which some may be new, and shares the retry reserve; the caller holds
// n.servicesMu.
func (n *Node) updateAllServices() {
	update := upstreamUpdate{}
	for _, m := range n.view.members() {
		update.add(n, membership.Member{}, m)
	}
	now := time.Now()
	for name, svc := range *n.services.Load() {
		svc.mu.Lock()
		svc.balancer.Update(now, update.service(name).changed)
		svc.mu.Unlock()
	}
	n.shareRetryReserve(n.view.liveCount())
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
