package node

import (
	"cmp"
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/membership"
)

// tickReader asks a reader of the data centre to confirm that it reads, if that is due.
func (n *Node) tickReader(_ context.Context, now time.Time) {
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
	sentAt := time.Now()
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
