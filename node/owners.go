package node

import (
	"context"
	"strconv"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/pkg/errors"
)

// carryOutOwners sends what the ownership engine asks for.
func (n *Node) carryOutOwners(out ownership.Output) {
	for _, l := range out.LateHandovers {
		list := n.parcels(l)
		n.spawn(func() { n.bequeath(l, list) })
	}
	for _, s := range out.Lost {
		n.keys.mu.Lock()
		n.keys.ledger.DropShard(s)
		n.keys.mu.Unlock()
	}
	if len(out.Acquired)+len(out.Lost) > 0 {
		n.mu.Lock()
		held := n.owners.OwnedShards()
		n.mu.Unlock()
		n.events.Add(event.Event{Kind: event.Owner, Text: strconv.Itoa(len(out.Acquired)) + " shards won, " + strconv.Itoa(len(out.Lost)) + " lost, " + strconv.Itoa(held) + " held"})
		n.metrics.shards.Set(float64(held))
	}
	for _, v := range out.Renewals {
		n.spawn(func() { n.vouch(v) })
	}
	for _, f := range out.Fences {
		n.events.Add(event.Event{Kind: event.Fence, Text: strconv.Itoa(len(f.Leases)) + " shards at " + f.To.Name})
		n.spawn(func() { n.fence(f) })
	}
	for _, h := range out.Handovers {
		n.spawn(func() { n.handover(h) })
	}
	for _, c := range out.Claims {
		n.spawn(func() { n.claim(c) })
	}
}

func (n *Node) address(name string) string { return n.view.Load().byName[name].Address }

func (n *Node) vouch(v ownership.LeaseRenewal) {
	inc, refused, err := n.askVouch(v)
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners.HandleRenewalResponse(v, inc, refused)
}

func (n *Node) askVouch(v ownership.LeaseRenewal) (uint64, []int, error) {
	if v.To.Name == n.cfg.Name {
		inc, refused := n.Vouch(v.Leases)
		return inc, refused, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	return n.client.Vouch(ctx, n.address(v.To.Name), v.Leases)
}

// Vouch implements peer.Node.
func (n *Node) Vouch(list []ownership.Lease) (uint64, []int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Self().Incarnation, n.owners.RenewLeases(list)
}

func (n *Node) fence(f ownership.Fence) {
	ans, err := n.askFence(f)
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners.HandleFenceResponse(time.Now(), f, ans.Incarnation, ans.Promised, ans.Moved)
}

func (n *Node) askFence(f ownership.Fence) (peer.FenceResponse, error) {
	if f.To.Name == n.cfg.Name {
		inc, promised, moved := n.Fence(f.Leases)
		return peer.FenceResponse{Incarnation: inc, Promised: promised, Moved: moved}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	return n.client.Fence(ctx, n.address(f.To.Name), f.Leases)
}

// Fence implements peer.Node.
func (n *Node) Fence(list []ownership.Lease) (uint64, []int, []ownership.Lease) {
	n.mu.Lock()
	defer n.mu.Unlock()
	promised, moved := n.owners.Fence(list)
	return n.members.Self().Incarnation, promised, moved
}

// handover sends shards with the records of their keys to the new owner.
func (n *Node) handover(h ownership.Handover) {
	list := n.parcels(h)
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	inc, ok, err := n.client.Handover(ctx, n.address(h.To.Name), list, false)
	if err != nil || inc != h.To.Incarnation {
		return
	}
	n.mu.Lock()
	n.owners.HandleHandoverResponse(h, ok)
	own := n.owners.TakeOutput()
	n.mu.Unlock()
	n.carryOutOwners(own)
}

func (n *Node) parcels(h ownership.Handover) []peer.ShardHandover {
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	var list []peer.ShardHandover
	for _, d := range h.Shards {
		list = append(list, peer.ShardHandover{Shard: d, Records: n.keys.ledger.Export(d.Shard)})
	}
	return list
}

// bequeath sends the records of shards to the owner that took them over, again while that has not read its own claim.
func (n *Node) bequeath(h ownership.Handover, list []peer.ShardHandover) {
	for range legacyTries {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		inc, ok, err := n.client.Handover(ctx, n.address(h.To.Name), list, true)
		cancel()
		if err == nil && (ok || inc != h.To.Incarnation) {
			return
		}
		time.Sleep(legacyEvery)
	}
}

// inherit takes records from an owner that this node replaced; it reports whether any were taken.
func (n *Node) inherit(list []peer.ShardHandover) (uint64, bool) {
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	taken := false
	for _, p := range list {
		if n.owners.AcceptLateHandover(p.Shard) {
			n.keys.ledger.Import(p.Shard.Shard, p.Records)
			taken = true
		}
	}
	return n.members.Self().Incarnation, taken
}

// Handover implements peer.Node.
func (n *Node) Handover(list []peer.ShardHandover, legacy bool) (uint64, bool) {
	if legacy {
		return n.inherit(list)
	}
	n.keys.mu.Lock()
	n.mu.Lock()
	inc := n.members.Self().Incarnation
	var deeds []ownership.ShardHandover
	for _, p := range list {
		deeds = append(deeds, p.Shard)
	}
	ok := n.owners.AcceptHandover(deeds)
	own := n.owners.TakeOutput()
	for _, p := range list {
		if ok {
			n.keys.ledger.Import(p.Shard.Shard, p.Records)
		}
	}
	n.mu.Unlock()
	n.keys.mu.Unlock()
	n.carryOutOwners(own)
	return inc, ok
}

// claim appends a claim; the log tells whether it won.
func (n *Node) claim(c ownership.Claim) {
	n.keys.mu.Lock()
	n.keys.claims++
	id := c.Node.Name + "-" + strconv.FormatUint(c.Node.Incarnation, 36) + "-" + strconv.FormatUint(n.keys.claims, 10)
	n.keys.mu.Unlock()
	rec, err := platform.Encode(id, c)
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "claim", "err", err)
		return
	}
	_, err = n.store.Append(context.Background(), ownership.Stream, rec)
	var unknown *platform.UnknownError
	if err != nil && !errors.As(err, &unknown) {
		return // the engine claims again
	}
	n.readOwners()
}

// readOwners reads the stream of owners at once after a claim.
func (n *Node) readOwners() {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	_, err := n.readPage(ctx, ownership.Stream, 0)
	n.recordStoreResult(err)
}
