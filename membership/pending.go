package membership

import (
	"slices"
	"time"
)

// Limits of the records that wait to be sent.
const (
	maxRecordsPerMessage = 64                     // maximum number of pending records in one message; full comparisons of views have no limit
	batchTimePerNode     = 250 * time.Microsecond // part of the minimum time between two batches to one node, for each node of the fleet
	maxBatchTime         = 200 * time.Millisecond // upper bound on the minimum time between two batches to one node
	maxWideHealthNodes   = 100                    // in a larger fleet only the data centre is told of health changes, since few other nodes route to an upstream
)

// healthAudience returns the nodes that are told of a change of the health of this node's upstreams. The others learn it from the
// responses of this node.
func (e *Engine) healthAudience() []*memberState {
	if e.index.live > maxWideHealthNodes {
		return e.index.ring(e.self.DataCentre).nodes
	}
	var audience []*memberState
	for _, m := range e.index.sorted {
		if m.live() && !e.inOtherRegion(m) {
			audience = append(audience, m)
		}
	}
	return audience
}

// enqueue queues the record of the named node for the given nodes except from, the node that sent it.
func (e *Engine) enqueue(name, from string, to []*memberState) {
	for _, m := range to {
		if m != e.self && m.Name != from && m.Name != name {
			e.addPending(m, name)
		}
	}
}

// addPending adds the name of a node to those whose records are to be sent to m.
func (e *Engine) addPending(m *memberState, name string) {
	if slices.Contains(m.pendingRecords, name) {
		return
	}
	if len(m.pendingRecords) == 0 {
		e.waiting = append(e.waiting, m)
	}
	m.pendingRecords = append(m.pendingRecords, name)
}

// takePendingRecords removes and returns the records that are next to be sent to m.
func (e *Engine) takePendingRecords(m *memberState) []Member {
	n := min(maxRecordsPerMessage, len(m.pendingRecords))
	var records []Member
	for _, name := range m.pendingRecords[:n] {
		if r := e.index.byName[name]; r != nil {
			records = append(records, r.Member)
		}
	}
	m.pendingRecords = slices.Clone(m.pendingRecords[n:])
	return records
}

// Flush sends pending records without waiting for the next heartbeat. The first change is sent at once; those that follow it closely
// are sent together, after a time that grows with the fleet, so that a start of all nodes costs each of them a bounded number of messages.
func (e *Engine) Flush(now time.Time) {
	batchTime := min(maxBatchTime, time.Duration(e.index.live)*batchTimePerNode)
	waiting := e.waiting
	e.waiting = nil
	for _, m := range waiting {
		if !m.live() {
			m.pendingRecords = nil
		}
		if len(m.pendingRecords) == 0 {
			continue
		}
		if m.failedHeartbeats == 0 && now.Sub(m.sentAt) >= batchTime {
			e.send(now, m)
		}
		if len(m.pendingRecords) > 0 {
			e.waiting = append(e.waiting, m)
		}
	}
}
