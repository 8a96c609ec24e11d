package membership

import (
	"slices"
	"time"
)

// HeartbeatFailed handles a heartbeat that got no response: it asks other nodes to probe the same node.
func (e *Engine) HeartbeatFailed(now time.Time, to OutgoingHeartbeat) {
	m := e.members[to.Name]
	if m == nil || !m.live() || m == e.self {
		return
	}
	for _, r := range to.Message.Members {
		if !slices.Contains(m.pending, r.Name) {
			m.pending = append(m.pending, r.Name)
		}
	}
	m.failures++
	m.nextHeartbeat = now
	if !m.probeDeadline.IsZero() || now.Before(m.reachableUntil) {
		m.nextHeartbeat = now.Add(heartbeatInterval / 2)
		return
	}
	m.probeDeadline = now.Add(probeTimeout)
	for _, via := range e.randomAlive(indirectProbes, m) {
		p := Probe{Via: via.Name, ViaAddress: via.Address, Name: m.Name, Address: m.Address}
		e.out.Probes = append(e.out.Probes, p)
	}
}

// ReceiveProbeResult handles the result of an indirect probe.
func (e *Engine) ReceiveProbeResult(now time.Time, p Probe, reached bool) {
	m := e.members[p.Name]
	if m == nil || !reached {
		return
	}
	m.probeDeadline = time.Time{}
	m.reachableUntil = now.Add(probeValidity)
}

// declareUnreachable declares dead the nodes that neither this node nor an indirect probe could reach.
func (e *Engine) declareUnreachable(now time.Time) {
	for _, m := range e.probedMembers() {
		if m.probeDeadline.IsZero() || now.Before(m.probeDeadline) || !m.live() {
			continue
		}
		m.probeDeadline = time.Time{}
		if m.failures >= minFailures && !now.Before(m.reachableUntil) {
			e.declareDead(now, m)
		}
	}
}

// probedMembers returns the entries with pending indirect probes, sorted by name.
func (e *Engine) probedMembers() []*entry {
	var list []*entry
	for _, m := range e.members {
		if !m.probeDeadline.IsZero() {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int { return compareNames(a.Name, b.Name) })
	return list
}

func (e *Engine) declareDead(now time.Time, m *entry) {
	if !m.live() {
		return
	}
	next := m.Member
	next.Status = Dead
	e.put(now, next, "")
}

func (e *Engine) removeExpired(now time.Time) {
	for name, m := range e.members {
		if m != e.self && !m.live() && now.Sub(m.changedAt) > forgetAfter {
			delete(e.members, name)
		}
	}
}
