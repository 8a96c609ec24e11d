package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/pkg/errors"
)

// removeTimeout bounds the removal of the node's contact at a stop.
const removeTimeout = 500 * time.Millisecond

// join learns the contacts of other nodes from the directory and adds the node's own.
func (n *Node) join(ctx context.Context) {
	var b backoff
	for ctx.Err() == nil {
		err := n.enrol(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		_ = level.Warn(n.logger).Log("msg", "directory away", "err", err)
		n.sleep(ctx, b.wait())
	}
}

// enrol reads the directory; where the node's own contact is not there it is written and the directory read again, so that of two nodes that start together one sees the other.
func (n *Node) enrol(ctx context.Context) error {
	self := platform.Contact{Name: n.cfg.Name, Address: n.lns.peer.Addr().String()}
	known, err := n.learnContacts(ctx, self)
	if err != nil || known {
		return err
	}
	if err := n.contract.directory.Register(ctx, self); err != nil {
		return errors.Wrap(err, "register")
	}
	_, err = n.learnContacts(ctx, self)
	return err
}

// learnContacts takes the contacts as seeds and reports whether the node's own is among them.
func (n *Node) learnContacts(ctx context.Context, self platform.Contact) (known bool, err error) {
	list, bad, err := n.contract.directory.List(ctx)
	if err != nil {
		return false, errors.Wrap(err, "list")
	}
	for _, e := range bad {
		_ = level.Warn(n.logger).Log("msg", "contact refused", "err", e)
	}
	var seeds []string
	for _, c := range list {
		if c == self {
			known = true
		} else if c.Name != self.Name {
			seeds = append(seeds, c.Address)
		}
	}
	n.mu.Lock()
	n.members.SetSeeds(seeds)
	n.mu.Unlock()
	_ = level.Info(n.logger).Log("msg", "directory", "contacts", len(list), "known", known)
	return known, nil
}

// leaveDirectory removes the node's contact.
func (n *Node) leaveDirectory(ctx context.Context) {
	if n.contract.directory == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, removeTimeout)
	defer cancel()
	if err := n.contract.directory.Remove(ctx, n.cfg.Name); err != nil {
		_ = level.Warn(n.logger).Log("msg", "contact not removed", "err", err)
	}
}
