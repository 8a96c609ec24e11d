package membership

import (
	"slices"
	"time"
)

// HeartbeatFailed handles a heartbeat that got no response. It asks other nodes to probe the node that did not respond.
func (e *Engine) HeartbeatFailed(now time.Time, heartbeat OutgoingHeartbeat) {
	m := e.index.byName[heartbeat.Name]
	if m == nil || !m.live() || m == e.self {
		return
	}
	for _, record := range heartbeat.Message.Members {
		e.addPending(m, record.Name)
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
	m := e.index.byName[p.Name]
	if m == nil || !reached {
		return
	}
	m.probeDeadline = time.Time{}
	m.reachableUntil = now.Add(probeValidity)
}

// declareUnreachable declares nodes dead that neither heartbeats nor indirect probes could reach.
func (e *Engine) declareUnreachable(now time.Time) {
	for _, m := range e.index.sorted {
		if m.probeDeadline.IsZero() || now.Before(m.probeDeadline) || !m.live() {
			continue
		}
		m.probeDeadline = time.Time{}
		if m.failedHeartbeats >= minFailedHeartbeats && !now.Before(m.reachableUntil) {
			e.declareDead(now, m)
		}
	}
}

func (e *Engine) declareDead(now time.Time, m *memberState) {
	if !m.live() {
		return
	}
	next := m.Member
	next.Status = Dead
	e.storeRecord(now, next, "")
}

// removeExpired removes the records of nodes that have been dead or gone for deadRecordRetention.
func (e *Engine) removeExpired(now time.Time) {
	if now.Before(e.nextExpiry) {
		return
	}
	e.nextExpiry = now.Add(expiryInterval)
	for _, m := range slices.Clone(e.index.sorted) {
		if m != e.self && !m.live() && now.Sub(m.changedAt) > deadRecordRetention {
			e.index.remove(m)
			e.output.Removed = append(e.output.Removed, m.Name)
		}
	}
}
