package membership

import (
	"slices"
	"time"
)

// HeartbeatFailed takes a heartbeat without an answer and asks other nodes to try the same node.
func (e *Engine) HeartbeatFailed(now time.Time, to Send) {
	m := e.members[to.Name]
	if m == nil || !m.live() || m == e.self {
		return
	}
	for _, r := range to.Message.Members {
		if !slices.Contains(m.outbox, r.Name) {
			m.outbox = append(m.outbox, r.Name)
		}
	}
	m.misses++
	m.due = now
	if !m.probing.IsZero() || now.Before(m.spared) {
		m.due = now.Add(heartbeat / 2)
		return
	}
	m.probing = now.Add(probeWait)
	for _, via := range e.pick(probers, m) {
		p := Probe{Via: via.Name, ViaAddress: via.Address, Name: m.Name, Address: m.Address}
		e.out.Probes = append(e.out.Probes, p)
	}
}

// ReceiveProbeResult takes the word of another node on whether it reached the named one.
func (e *Engine) ReceiveProbeResult(now time.Time, p Probe, reached bool) {
	m := e.members[p.Name]
	if m == nil || !reached {
		return
	}
	m.probing = time.Time{}
	m.spared = now.Add(pathHold)
}

// judge declares dead the nodes that neither this node nor the ones asked could reach.
func (e *Engine) judge(now time.Time) {
	for _, m := range e.watched() {
		if m.probing.IsZero() || now.Before(m.probing) || !m.live() {
			continue
		}
		m.probing = time.Time{}
		if m.misses >= misses && !now.Before(m.spared) {
			e.declare(now, m)
		}
	}
}

// watched returns the entries that wait for the answers of other nodes, in order of their names.
func (e *Engine) watched() []*entry {
	var list []*entry
	for _, m := range e.members {
		if !m.probing.IsZero() {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *entry) int { return compareNames(a.Name, b.Name) })
	return list
}

func (e *Engine) declare(now time.Time, m *entry) {
	if !m.live() {
		return
	}
	next := m.Member
	next.Status = Dead
	e.put(now, next, "")
}

func (e *Engine) forget(now time.Time) {
	for name, m := range e.members {
		if m != e.self && !m.live() && now.Sub(m.since) > forgetAfter {
			delete(e.members, name)
		}
	}
}
