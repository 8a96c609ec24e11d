package node

import (
	"cmp"
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/rollout"
)

// tickReader asks a reader of the data centre to confirm that it reads, if that is due.
func (n *Node) tickReader(context.Context, time.Time) {
	now := n.bootTime()
	n.mu.Lock()
	n.versionReader.SetCandidates(n.members.Readers())
	name, due := n.versionReader.Ask(now)
	to, known := n.members.Member(name)
	msg, timeout := n.members.Heartbeat(), n.versionReader.AskTimeout()
	n.mu.Unlock()
	switch {
	case due && known:
		n.spawn(func() { n.askReader(to, msg, timeout) })
	case due:
		n.mu.Lock()
		n.versionReader.Unanswered(now)
		n.mu.Unlock()
	}
}

// askReader asks a node to confirm that it reads the published versions, and fetches a version that this node lacks.
func (n *Node) askReader(to membership.Member, msg membership.Message, timeout time.Duration) {
	sentAt := n.bootTime()
	heartbeat := membership.OutgoingHeartbeat{Name: to.Name, Address: to.Address, Message: msg}
	resp, err := n.exchange(heartbeat, timeout, true)
	n.logReliance(to.Name, err == nil && resp.Confirmed)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err != nil:
		n.versionReader.Unanswered(sentAt)
	case n.behind(resp.Positions):
		n.versionReader.Behind(sentAt)
	default:
		n.versionReader.Confirmed(sentAt, resp.Confirmed)
	}
}

// logReliance logs that this node began or ceased to rely on another one to read the published versions.
func (n *Node) logReliance(reader string, confirmed bool) {
	if !confirmed {
		reader = ""
	}
	if previous := n.reliesOn.Swap(&reader); previous == nil || *previous != reader {
		_ = level.Info(n.logger).Log("msg", "versions read by", "reader", cmp.Or(reader, "self"), "version", n.bundleVersion.Load())
	}
}

// TrustsKeys implements caller.Fleet.
func (n *Node) TrustsKeys() bool {
	return !n.cfg.Keys.Closed || n.confirmedWithin(n.cfg.Keys.Revoke.Std())
}

// ConfirmedNewest implements caller.Fleet. By the own protocols, in which nodes confirm nothing to each other, a node that can't tell begins
// to read the log.
func (n *Node) ConfirmedNewest() bool {
	if n.confirmedWithin(n.cfg.Platform.Apply.Std()) {
		return true
	}
	if !n.protocols.hasConfigSource() && n.confirming.CompareAndSwap(false, true) {
		n.spawn(func() {
			defer n.confirming.Store(false)
			ctx, cancel := context.WithTimeout(context.Background(), n.cfg.Platform.Timeout.Std())
			defer cancel()
			_, _ = n.readPage(ctx, rollout.Stream, 0) // without an answer, the next request is refused in the same way
		})
	}
	return false
}

// ExpectsNoKeys implements caller.Fleet.
func (n *Node) ExpectsNoKeys() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bundleFreshness().Covers(n.keyWatch.Seen(n.bootTime()))
}

// confirmedWithin reports whether the node has confirmed, at most the given time ago, that its newest version is that of the fleet, and has
// put it in force.
func (n *Node) confirmedWithin(limit time.Duration) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.rollout.InForce() != n.Bundle() {
		return false
	}
	return n.bundleFreshness().Within(n.bootTime(), limit)
}

// bundleFreshness returns the freshness of the accepted bundle; the caller holds n.mu.
func (n *Node) bundleFreshness() rollout.Freshness {
	if n.versionReader != nil {
		return n.versionReader.Freshness()
	}
	return n.freshness
}

// knownAge returns the time since which this node may lack a version, in text for the log.
func (n *Node) knownAge() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	age, known := n.bundleFreshness().Age(n.bootTime())
	if !known {
		return "never"
	}
	return age.String()
}
