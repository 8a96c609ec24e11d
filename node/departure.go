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
	recallWait     = 500 * time.Millisecond // maximum time for which an announcement waits until the node has heard of earlier departures
	recallTimeout  = 3 * time.Second        // time from the start after which a node takes announcements although it has heard from nobody
)

// departures returns the departures that the node has acknowledged, in the form that the membership announces to the fleet.
func (s *gateSet) departures(now time.Time) []membership.Departure {
	s.mu.Lock()
	defer s.mu.Unlock()
	var departures []membership.Departure
	for _, d := range s.roster.Departures(now) {
		departures = append(departures, membership.Departure{ID: d.ID, Incarnation: d.Incarnation})
	}
	return departures
}

// awaitConfirmation waits until another node has received the departures of this one, so that they are known also if this process ends.
func (n *Node) awaitConfirmation(upstreamID string) {
	ctx, cancel := context.WithTimeout(context.Background(), confirmTimeout)
	defer cancel()
	confirmed := func() bool {
		if !n.recalled.Load() {
			return false // this node doesn't know the others yet
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.members.Confirmed()
	}
	n.waitUntil(ctx, confirmed)
	if ctx.Err() != nil {
		_ = level.Warn(n.logger).Log("msg", "departure not confirmed by another node", "upstream", upstreamID)
	}
}

// awaitRecall waits until the node has heard from another one, which tells it of the departures that its earlier processes acknowledged. It
// reports whether announcements may be taken.
func (n *Node) awaitRecall() bool {
	if !n.recalled.Load() {
		ctx, cancel := context.WithDeadline(context.Background(), n.startedAt.Add(recallWait))
		defer cancel()
		n.waitUntil(ctx, n.recalled.Load)
	}
	return n.recalled.Load() || time.Since(n.startedAt) >= recallTimeout
}

// announceAfterRecall applies an announcement once it may be taken. The roster rejects it if a later one or a departure came meanwhile.
func (n *Node) announceAfterRecall(announcement upstream.Announcement) {
	ctx, cancel := context.WithDeadline(context.Background(), n.startedAt.Add(recallTimeout))
	defer cancel()
	n.waitUntil(ctx, func() bool { return n.recalled.Load() || n.stopping.Load() })
	if n.stopping.Load() {
		return
	}
	if _, err := n.Announce(announcement); err != nil {
		_ = level.Warn(n.logger).Log("msg", "deferred announcement refused", "upstream", announcement.ID, "err", err)
	}
}

// recallDepartures applies departures that earlier processes of this node acknowledged.
func (n *Node) recallDepartures(departures []membership.Departure) {
	now := time.Now()
	for _, d := range departures {
		gate, err := n.gates.depart(now, upstream.Departure{ID: d.ID, Incarnation: d.Incarnation})
		_ = level.Info(n.logger).Log("msg", "departure recalled", "upstream", d.ID, "incarnation", d.Incarnation, "err", err)
		if gate != nil {
			n.recordRemoval(gate, "left before this process started")
		}
	}
	n.announceUpstreams()
}
