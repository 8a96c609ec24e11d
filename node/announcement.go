package node

import (
	"fmt"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// Announce implements upstream.Registry. It adds or renews an upstream and returns the number of its unfinished requests.
func (n *Node) Announce(announcement upstream.Announcement) (int, error) {
	if announcement.State != upstream.Draining && !n.awaitRecall() {
		n.logAnnouncement("deferred", announcement, "this node doesn't know yet which upstreams have left it")
		n.spawn(func() { n.announceAfterRecall(announcement) })
		return 0, nil
	}
	if err := n.checkAnnouncement(announcement); err != nil {
		n.ignoreAnnouncement(announcement, err)
		return 0, nil // no requests are sent to it, so its announcement changes nothing
	}
	applied, err := n.gates.apply(n, time.Now(), announcement)
	var stale *upstream.StaleError
	if errors.As(err, &stale) {
		n.logAnnouncement("ignored", announcement, err.Error())
		return 0, nil // a superseded announcement is no error for the upstream
	}
	if err != nil {
		return 0, err
	}
	for _, gate := range applied.replaced {
		n.recordRemoval(gate, "replaced by "+announcement.ID)
	}
	if applied.changed {
		n.recordAnnouncement(applied.gate.Announcement())
	}
	draining := announcement.State == upstream.Draining // it is recorded also if the gate drains already, since the node stops
	if applied.changed || draining || len(applied.replaced) > 0 {
		n.announceUpstreams()
	}
	if draining {
		n.awaitDurable(announcement.ID)
	}
	return applied.gate.Outstanding(), nil
}

// checkAnnouncement rejects announcements of upstreams to which the node sends no requests. Any writer may send one. That an upstream drains
// which gets requests is always taken, also if its service is gone.
func (n *Node) checkAnnouncement(announcement upstream.Announcement) error {
	if announcement.State == upstream.Draining && n.gates.isCurrent(announcement) {
		return nil
	}
	if allowed := n.cfg.Listen.AllowedUpstreamAddress; allowed != "" && announcement.Address != allowed {
		return &misplacedError{address: announcement.Address, want: allowed}
	}
	if !n.protocols.hasConfigSource() {
		return nil
	}
	bundleInForce, beside := n.Bundle(), *n.upstreamService.Load()
	switch {
	case bundleInForce.Len() > 0 && bundleInForce.Service(announcement.Service) == nil:
		return errors.Errorf("service %q is unknown", announcement.Service)
	case bundleInForce.Len() == 0 && beside != "" && announcement.Service != beside:
		return errors.Errorf("service %q is not known yet, and %q is beside this node", announcement.Service, beside)
	}
	return nil
}

// misplacedError reports an announcement of an upstream that isn't beside the node, so that the node never sends requests to it.
type misplacedError struct{ address, want string }

// Error implements error.
func (e *misplacedError) Error() string {
	return fmt.Sprintf("address %s is not beside this node, want %s", e.address, e.want)
}

// ignoreAnnouncement logs an announcement that changes nothing. If it says that an upstream drains whose service may become known, that
// is recorded, since it is acknowledged.
func (n *Node) ignoreAnnouncement(announcement upstream.Announcement, reason error) {
	n.logAnnouncement("ignored", announcement, reason.Error())
	var misplaced *misplacedError
	if announcement.State != upstream.Draining || errors.As(reason, &misplaced) {
		return
	}
	if err := n.gates.recordDraining(time.Now(), announcement); err != nil {
		n.logAnnouncement("ignored", announcement, err.Error())
	}
}

// recordAnnouncement records that an upstream was added or changed.
func (n *Node) recordAnnouncement(announcement upstream.Announcement) {
	eventKind := event.Announce
	if announcement.State == upstream.Draining {
		eventKind = event.Drain
	}
	n.events.Add(event.Event{Kind: eventKind, Upstream: announcement.ID, Text: announcement.Service + " " + string(announcement.State)})
	n.logAnnouncement(string(announcement.State), announcement, announcement.Service)
}

// recordRemoval records that the gate of an upstream was removed.
func (n *Node) recordRemoval(gate *upstream.Gate, reason string) {
	n.events.Add(event.Event{Kind: event.Gone, Upstream: gate.Announcement().ID, Text: reason})
	n.logAnnouncement("gone", gate.Announcement(), reason)
}

// logAnnouncement logs the result of an announcement.
func (n *Node) logAnnouncement(result string, a upstream.Announcement, reason string) {
	_ = level.Info(n.logger).Log("msg", "announcement", "result", result, "upstream", a.ID, "incarnation", a.Incarnation, "seq", a.Seq, "state", a.State, "why", reason)
}

// Withdraw implements upstream.Registry. It removes an upstream that leaves; the departure is recorded also if the upstream is unknown.
func (n *Node) Withdraw(d upstream.Departure) error {
	gate, err := n.gates.depart(time.Now(), d)
	_ = level.Info(n.logger).Log("msg", "withdrawn", "upstream", d.ID, "incarnation", d.Incarnation, "known", gate != nil, "err", err)
	var stale *upstream.StaleError
	if errors.As(err, &stale) {
		return nil // the incarnation that leaves has been replaced, so it gets no work
	}
	if err != nil {
		return err
	}
	if gate != nil {
		n.recordRemoval(gate, "left")
	}
	n.announceUpstreams()
	n.awaitDurable(d.ID)
	return nil
}
