package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/quota"
	"github.com/pkg/errors"
)

// pruneDelay is how long after joining a node removes stale contacts, which are those of nodes that are unknown, dead or gone.
const pruneDelay = time.Minute

// join reads the contacts of other nodes from the directory, registers the contact of this node and, after pruneDelay, removes
// stale contacts.
func (n *Node) join(ctx context.Context) {
	var b backoff
	for ctx.Err() == nil {
		start := time.Now()
		contacts, err := n.registerContact(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			n.sleep(ctx, pruneDelay)
			n.pruneContacts(ctx, contacts)
			return
		}
		n.recall.failDirectory()
		_ = level.Warn(n.logger).Log("msg", "directory away", "err", err)
		n.sleep(ctx, b.next(time.Since(start)))
	}
}

// registerContact registers the contact of this node and then reads the directory: if two nodes start at the same time, at least one
// of them sees the other.
func (n *Node) registerContact(ctx context.Context) ([]platform.Contact, error) {
	self := platform.Contact{Name: n.cfg.Name, Address: n.listeners.peer.Addr().String()}
	if err := n.protocols.directory.Register(ctx, self); err != nil {
		return nil, errors.Wrap(err, "register contact")
	}
	return n.loadSeeds(ctx, self)
}

// loadSeeds reads the directory, applies the departures that earlier processes of this node recorded there, and sets the contacts of the other
// nodes as seeds.
func (n *Node) loadSeeds(ctx context.Context, self platform.Contact) ([]platform.Contact, error) {
	contacts, rejected, err := n.protocols.directory.List(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "list contacts")
	}
	for _, e := range rejected {
		_ = level.Warn(n.logger).Log("msg", "contact refused", "err", e)
	}
	var seeds []string
	for _, c := range contacts {
		n.limits.Fleet(func(f *quota.Fleet) { f.Learn(time.Now(), c.Name) })
		if c.Name != self.Name {
			seeds = append(seeds, c.Address)
			continue
		}
		n.recallDepartures(c.Departures, "directory")
	}
	n.mu.Lock()
	n.members.SetSeeds(seeds)
	n.mu.Unlock()
	if len(seeds) == 0 {
		n.recall.hearNobody() // there is nobody to hear from
	}
	n.recall.readDirectory()
	_ = level.Info(n.logger).Log("msg", "directory read", "contacts", len(contacts))
	return contacts, nil
}

// pruneContacts removes stale contacts. If more than half of the contacts are stale, it removes none, since this node may then be
// the one that is partitioned from the fleet.
func (n *Node) pruneContacts(ctx context.Context, contacts []platform.Contact) {
	n.mu.Lock()
	var stale []string
	for _, c := range contacts {
		if m, ok := n.members.Member(c.Name); !ok || m.Status == membership.Dead || m.Status == membership.Left {
			stale = append(stale, c.Name)
		}
	}
	n.mu.Unlock()
	if ctx.Err() != nil || 2*len(stale) > len(contacts) {
		return
	}
	for _, name := range stale {
		err := n.protocols.directory.Remove(ctx, name)
		_ = level.Info(n.logger).Log("msg", "contact removed", "member", name, "err", err)
	}
}
