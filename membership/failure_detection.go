package membership

import (
	"slices"
	"time"
)

// HeartbeatFailed handles a heartbeat that got no response. It asks other nodes to probe the node that did not respond.
func (e *Engine) HeartbeatFailed(now time.Time, heartbeat OutgoingHeartbeat) {
	m := e.members[heartbeat.Name]
	if m == nil || !m.live() || m == e.self {
		return
	}
	for _, record := range heartbeat.Message.Members {
		if !slices.Contains(m.pendingRecords, record.Name) {
			m.pendingRecords = append(m.pendingRecords, record.Name)
		}
	}
	m.failedHeartbeats++
	m.nextHeartbeat = now
	if !m.probeDeadline.IsZero() || now.Before(m.reachableUntil) {
		m.nextHeartbeat = now.Add(heartbeatInterval / 2)
		return
	}
	m.probeDeadline = now.Add(probeTimeout)
	for _, via := range e.randomResponsiveNodes(indirectProbeCount, m) {
		p := IndirectProbe{Via: via.Name, ViaAddress: via.Address, Name: m.Name, Address: m.Address}
		e.output.Probes = append(e.output.Probes, p)
	}
}

// ReceiveProbeResult handles the result of the indirect probe p; reached reports whether the probed node responded.
func (e *Engine) ReceiveProbeResult(now time.Time, p IndirectProbe, reached bool) {
	m := e.members[p.Name]
	if m == nil || !reached {
		return
	}
	m.probeDeadline = time.Time{}
	m.reachableUntil = now.Add(probeValidity)
}

// declareUnreachable declares nodes dead that neither heartbeats nor indirect probes could reach.
func (e *Engine) declareUnreachable(now time.Time) {
	for _, m := range e.probedMembers() {
		if m.probeDeadline.IsZero() || now.Before(m.probeDeadline) || !m.live() {
			continue
		}
		m.probeDeadline = time.Time{}
		if m.failedHeartbeats >= minFailedHeartbeats && !now.Before(m.reachableUntil) {
			e.declareDead(now, m)
		}
	}
}

// probedMembers returns the members with pending indirect probes, sorted by name.
func (e *Engine) probedMembers() []*memberState {
	var probed []*memberState
	for _, m := range e.members {
		if !m.probeDeadline.IsZero() {
			probed = append(probed, m)
		}
	}
	slices.SortFunc(probed, func(a, b *memberState) int { return compareNames(a.Name, b.Name) })
	return probed
}

func (e *Engine) declareDead(now time.Time, m *memberState) {
	if !m.live() {
		return
	}
	next := m.Member
	next.Status = Dead
	e.storeRecord(now, next, "")
}

func (e *Engine) removeExpired(now time.Time) {
	for name, m := range e.members {
		if m != e.self && !m.live() && now.Sub(m.changedAt) > deadRecordRetention {
			delete(e.members, name)
		}
	}
}
