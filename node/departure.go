package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/upstream"
)

// Limits of the waits by which a departure outlives the process that acknowledged it.
const (
	confirmTimeout = 300 * time.Millisecond // maximum time for another node to confirm a departure before it is acknowledged
	recallWait     = 500 * time.Millisecond // time from the start until which an announcement waits for the recall; a later one is deferred
	recallTimeout  = 3 * time.Second        // time from the start after which a node takes announcements whatever it knows
)

// departed returns the departures that the node has acknowledged.
func (s *gateSet) departed(now time.Time) []upstream.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.roster.Departures(now)
}

// departures returns the departures that the node has acknowledged, in the form that the membership announces to the fleet.
func (s *gateSet) departures(now time.Time) []membership.Departure {
	var departures []membership.Departure
	for _, d := range s.departed(now) {
		departures = append(departures, membership.Departure{ID: d.ID, Incarnation: d.Incarnation})
	}
	return departures
}

// awaitDurable waits until the departures of this node are known also if this process ends: until the directory has recorded them, which
// outlives all processes, and another node has received them, which the next process may reach when it can't reach the directory.
func (n *Node) awaitDurable(upstreamID string) {
	start := time.Now()
	if n.protocols.hasConfigSource() {
		version := n.departureLog.set(n.gates.departed(start))
		n.awaitDeparture(upstreamID, start.Add(recordTimeout), "departure not recorded in the directory", func() bool { return n.departureLog.has(version) })
	}
	n.awaitDeparture(upstreamID, start.Add(confirmTimeout), "departure not confirmed by another node", n.confirmed)
}

// awaitDeparture waits until done returns true, and logs the warning if it doesn't by the deadline.
func (n *Node) awaitDeparture(upstreamID string, deadline time.Time, warning string, done func() bool) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.waitUntil(ctx, done)
	if !done() {
		_ = level.Warn(n.logger).Log("msg", warning, "upstream", upstreamID)
	}
}

// confirmed reports whether another node has received the departures of this one.
func (n *Node) confirmed() bool {
	if !n.recall.heardAny() {
		return false // this node doesn't know the others yet
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Confirmed()
}

// awaitRecall waits until the node knows the departures that its earlier processes acknowledged. It reports whether announcements may be taken.
func (n *Node) awaitRecall() bool {
	if !n.recall.complete() {
		ctx, cancel := context.WithDeadline(context.Background(), n.startedAt.Add(recallWait))
		defer cancel()
		n.waitUntil(ctx, n.recall.complete)
	}
	return n.recall.complete() || time.Since(n.startedAt) >= recallTimeout
}

// settled reports whether the node knows all departures that its earlier processes acknowledged, or has run for so long that it will hear of
// no other.
func (n *Node) settled() bool {
	return n.recall.complete() || time.Since(n.startedAt) >= longRunning*time.Millisecond
}

// announceAfterRecall applies an announcement once it may be taken. The roster rejects it if a later one or a departure came meanwhile.
func (n *Node) announceAfterRecall(announcement upstream.Announcement) {
	ctx, cancel := context.WithDeadline(context.Background(), n.startedAt.Add(recallTimeout))
	defer cancel()
	n.waitUntil(ctx, func() bool { return n.recall.complete() || n.stopping.Load() })
	if n.stopping.Load() {
		return
	}
	if _, err := n.Announce(announcement); err != nil {
		_ = level.Warn(n.logger).Log("msg", "deferred announcement refused", "upstream", announcement.ID, "err", err)
	}
}

// recallDepartures applies departures that earlier processes of this node acknowledged; source tells where they were kept.
func (n *Node) recallDepartures(departures []upstream.Departure, source string) {
	if len(departures) == 0 {
		return
	}
	now := time.Now()
	for _, d := range departures {
		gate, err := n.gates.depart(now, d)
		_ = level.Info(n.logger).Log("msg", "departure recalled", "upstream", d.ID, "incarnation", d.Incarnation, "source", source, "err", err)
		if gate != nil {
			n.recordRemoval(gate, "left before this process started")
		}
	}
	if n.protocols.hasConfigSource() && n.protocols.logClient.Era() > 0 {
		n.departureLog.set(n.gates.departed(now)) // a restored directory may lack what other nodes have kept
	}
	n.announceUpstreams()
}

// upstreamDepartures returns departures in the form that the gates take.
func upstreamDepartures(departures []membership.Departure) []upstream.Departure {
	var list []upstream.Departure
	for _, d := range departures {
		list = append(list, upstream.Departure{ID: d.ID, Incarnation: d.Incarnation})
	}
	return list
}
