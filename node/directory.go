package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/quota"
	"github.com/pkg/errors"
)

// Timing of the writes to the directory.
const (
	pruneDelay = time.Minute // time after joining until a node removes stale contacts, which are those of nodes that are unknown, dead or gone

	// After the directory was restored from a copy, the nodes spread their writes over renewSpread, or in large fleets over renewInterval for
	// each live node, since the store takes 1,200 writing calls a second of all.
	renewSpread   = time.Second
	renewInterval = 5 * time.Millisecond
)

// join registers the contact of this node, reads the contacts of other nodes from the directory and, after pruneDelay, removes stale
// contacts. In each later era of the directory it registers the contact again.
func (n *Node) join(ctx context.Context) {
	contacts, era, ok := n.registerUntilDone(ctx)
	if !ok {
		return
	}
	n.spawn(func() { n.renewRecords(ctx, era) })
	n.sleep(ctx, pruneDelay)
	n.pruneContacts(ctx, contacts)
}

// registerUntilDone registers the contact of this node and reads the directory, until both succeed; ok is false if ctx ends before.
func (n *Node) registerUntilDone(ctx context.Context) (contacts []platform.Contact, era uint64, ok bool) {
	var b backoff
	for ctx.Err() == nil {
		start := time.Now()
		contacts, era, err := n.registerContact(ctx)
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			return contacts, era, true
		}
		n.recall.failDirectory()
		_ = level.Warn(n.logger).Log("msg", "directory away", "err", err)
		n.sleep(ctx, b.next(time.Since(start)))
	}
	return nil, 0, false
}

// renewRecords writes what the directory is to have of this node again in each era after the given one, until ctx ends.
func (n *Node) renewRecords(ctx context.Context, era uint64) {
	for {
		n.spawnRenewDepartures(ctx, era)
		newest, ok := n.protocols.logClient.AwaitEra(ctx, era)
		if !ok {
			return
		}
		n.recordEra(era, newest)
		n.sleep(ctx, rand.N(max(renewSpread, time.Duration(n.view.liveCount())*renewInterval)))
		if _, era, ok = n.registerUntilDone(ctx); !ok {
			return
		}
	}
}

// spawnRenewDepartures records the departures of this node in the era, and once more when the node knows those of its earlier processes.
func (n *Node) spawnRenewDepartures(ctx context.Context, era uint64) {
	if era == 0 {
		return
	}
	n.spawn(func() {
		n.departureLog.renew(era, n.gates.departed(time.Now()), n.settled())
		n.waitUntil(ctx, n.settled)
		if ctx.Err() == nil {
			n.departureLog.renew(era, n.gates.departed(time.Now()), true)
		}
	})
}

// registerContact registers the contact of this node and then reads the directory: if two nodes start at the same time, at least one
// of them sees the other. It returns the era that holds the contact.
func (n *Node) registerContact(ctx context.Context) ([]platform.Contact, uint64, error) {
	self := platform.Contact{Name: n.cfg.Name, Address: n.listeners.peer.Addr().String()}
	era, err := n.protocols.directory.Register(ctx, self)
	if err != nil {
		return nil, 0, errors.Wrap(err, "register contact")
	}
	contacts, err := n.loadSeeds(ctx, self)
	return contacts, era, err
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
	complete := n.protocols.logClient.Era() == 0 // whether the directory has all departures of this node
	for _, c := range contacts {
		n.limits.Fleet(func(f *quota.Fleet) { f.Learn(time.Now(), c.Name) })
		if c.Name != self.Name {
			seeds = append(seeds, c.Address)
			continue
		}
		complete = !c.Incomplete
		n.departureLog.nextEpoch(c.Epoch)
		n.recallDepartures(c.Departures, "directory")
	}
	n.mu.Lock()
	n.members.SetSeeds(seeds)
	n.mu.Unlock()
	if len(seeds) == 0 {
		n.recall.hearNobody() // there is nobody to hear from
	}
	if complete {
		n.recall.readDirectory()
	} else {
		n.recall.failDirectory()
	}
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
