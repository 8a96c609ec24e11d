package node

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/pkg/errors"
)

// pruneAfter is the time after which a node removes contacts of which it has seen no node.
const pruneAfter = time.Minute

// join learns the contacts of other nodes from the directory and adds the node's own.
func (n *Node) join(ctx context.Context) {
	var b backoff
	for ctx.Err() == nil {
		list, err := n.enrol(ctx)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			n.sleep(ctx, pruneAfter)
			n.prune(ctx, list)
			return
		}
		_ = level.Warn(n.logger).Log("msg", "directory away", "err", err)
		n.sleep(ctx, b.wait())
	}
}

// enrol reads the directory; where the node's own contact is not there it is written and the directory read again, so that of two nodes that start together one sees the other.
func (n *Node) enrol(ctx context.Context) ([]platform.Contact, error) {
	self := platform.Contact{Name: n.cfg.Name, Address: n.lns.peer.Addr().String()}
	list, err := n.learnContacts(ctx, self)
	if err != nil || slices.Contains(list, self) {
		return list, err
	}
	if err := n.contract.directory.Register(ctx, self); err != nil {
		return nil, errors.Wrap(err, "register")
	}
	return n.learnContacts(ctx, self)
}

// learnContacts takes the contacts as seeds.
func (n *Node) learnContacts(ctx context.Context, self platform.Contact) ([]platform.Contact, error) {
	list, bad, err := n.contract.directory.List(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "list")
	}
	for _, e := range bad {
		_ = level.Warn(n.logger).Log("msg", "contact refused", "err", e)
	}
	var seeds []string
	for _, c := range list {
		if c.Name != self.Name {
			seeds = append(seeds, c.Address)
		}
	}
	n.mu.Lock()
	n.members.SetSeeds(seeds)
	n.mu.Unlock()
	_ = level.Info(n.logger).Log("msg", "directory", "contacts", len(list))
	return list, nil
}

// prune removes the contacts of which no node was seen; a node that sees under half of the fleet judges none.
func (n *Node) prune(ctx context.Context, list []platform.Contact) {
	n.mu.Lock()
	var lost []string
	for _, c := range list {
		if m, ok := n.members.Member(c.Name); !ok || m.Status == membership.Dead || m.Status == membership.Left {
			lost = append(lost, c.Name)
		}
	}
	n.mu.Unlock()
	if ctx.Err() != nil || 2*len(lost) > len(list) {
		return
	}
	for _, name := range lost {
		err := n.contract.directory.Remove(ctx, name)
		_ = level.Info(n.logger).Log("msg", "contact removed", "member", name, "err", err)
	}
}
