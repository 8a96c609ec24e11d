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

// handleOwnershipOutput sends the messages and claims of the ownership engine and deletes the idempotency records of lost shards.
func (n *Node) handleOwnershipOutput(output ownership.Output) {
	for _, h := range output.LateHandovers {
		shards := n.exportShards(h)
		n.spawn(func() { n.sendLateHandover(h, shards) })
	}
	for _, shard := range output.Lost {
		n.keys.mu.Lock()
		n.keys.ledger.DropShard(shard)
		n.keys.mu.Unlock()
	}
	if len(output.Acquired)+len(output.Lost) > 0 {
		n.mu.Lock()
		owned := n.owners.OwnedShards()
		n.mu.Unlock()
		n.events.Add(event.Event{Kind: event.Owner, Text: strconv.Itoa(len(output.Acquired)) + " shards won, " + strconv.Itoa(len(output.Lost)) + " lost, " + strconv.Itoa(owned) + " held"})
		n.metrics.ownedShards.Set(float64(owned))
	}
	for _, r := range output.Renewals {
		n.spawn(func() { n.renewLeases(r) })
	}
	for _, f := range output.Fences {
		n.events.Add(event.Event{Kind: event.Fence, Text: strconv.Itoa(len(f.Leases)) + " shards at " + f.To.Name})
		n.spawn(func() { n.fenceLeases(f) })
	}
	for _, h := range output.Handovers {
		n.spawn(func() { n.sendHandover(h) })
	}
	for _, c := range output.Claims {
		n.spawn(func() { n.appendClaim(c) })
	}
}

func (n *Node) memberAddress(name string) string {
	m, _ := n.view.member(name)
	return m.Address
}

func (n *Node) renewLeases(r ownership.LeaseRenewal) {
	incarnation, refused, err := n.requestRenewal(r)
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners.HandleRenewalResponse(r, incarnation, refused)
}

func (n *Node) requestRenewal(r ownership.LeaseRenewal) (uint64, []int, error) {
	if r.To.Name == n.cfg.Name {
		incarnation, refused := n.RenewLeases(r.Leases)
		return incarnation, refused, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	return n.client.RenewLeases(ctx, n.memberAddress(r.To.Name), r.Leases)
}

// RenewLeases implements peer.Node.
func (n *Node) RenewLeases(leases []ownership.Lease) (uint64, []int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Self().Incarnation, n.owners.RenewLeases(leases)
}

func (n *Node) fenceLeases(f ownership.Fence) {
	resp, err := n.requestFence(f)
	if err != nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.owners.HandleFenceResponse(time.Now(), f, resp.WitnessIncarnation, resp.Fenced, resp.Moved)
}

func (n *Node) requestFence(f ownership.Fence) (peer.FenceResponse, error) {
	if f.To.Name == n.cfg.Name {
		incarnation, promised, moved := n.Fence(f.Leases)
		return peer.FenceResponse{WitnessIncarnation: incarnation, Fenced: promised, Moved: moved}, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), ownerTimeout)
	defer cancel()
	return n.client.Fence(ctx, n.memberAddress(f.To.Name), f.Leases)
}

// Fence implements peer.Node.
func (n *Node) Fence(leases []ownership.Lease) (uint64, []int, []ownership.Lease) {
	n.mu.Lock()
	defer n.mu.Unlock()
	promised, moved := n.owners.Fence(leases)
	return n.members.Self().Incarnation, promised, moved
}

// sendHandover sends shards with their idempotency records to the new owner.
func (n *Node) sendHandover(h ownership.Handover) {
	shards := n.exportShards(h)
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	incarnation, ok, err := n.client.Handover(ctx, n.memberAddress(h.To.Name), shards, false)
	if err != nil || incarnation != h.To.Incarnation {
		return
	}
	n.mu.Lock()
	n.owners.HandleHandoverResponse(h, ok)
	output := n.owners.TakeOutput()
	n.mu.Unlock()
	n.handleOwnershipOutput(output)
}

func (n *Node) exportShards(h ownership.Handover) []peer.ShardHandover {
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	var shards []peer.ShardHandover
	for _, s := range h.Shards {
		shards = append(shards, peer.ShardHandover{Shard: s, Records: n.keys.ledger.Export(s.Shard)})
	}
	return shards
}

// sendLateHandover sends the idempotency records of lost shards to their new owner. It retries, because the new owner refuses the
// records until it has read its own claim in the log.
func (n *Node) sendLateHandover(h ownership.Handover, shards []peer.ShardHandover) {
	for range lateHandoverAttempts {
		ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
		incarnation, ok, err := n.client.Handover(ctx, n.memberAddress(h.To.Name), shards, true)
		cancel()
		if err == nil && (ok || incarnation != h.To.Incarnation) {
			return
		}
		time.Sleep(lateHandoverInterval)
	}
}

// acceptLateHandover imports the idempotency records that the previous owner of the shards sends. It returns the node's incarnation
// and whether any records were imported.
func (n *Node) acceptLateHandover(shards []peer.ShardHandover) (uint64, bool) {
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	accepted := false
	for _, s := range shards {
		if n.owners.AcceptLateHandover(s.Shard) {
			n.keys.ledger.Import(s.Shard.Shard, s.Records)
			accepted = true
		}
	}
	return n.members.Self().Incarnation, accepted
}

// Handover implements peer.Node.
func (n *Node) Handover(shards []peer.ShardHandover, recordsOnly bool) (uint64, bool) {
	if recordsOnly {
		return n.acceptLateHandover(shards)
	}
	n.keys.mu.Lock()
	n.mu.Lock()
	incarnation := n.members.Self().Incarnation
	var offered []ownership.ShardHandover
	for _, s := range shards {
		offered = append(offered, s.Shard)
	}
	ok := n.owners.AcceptHandover(offered)
	output := n.owners.TakeOutput()
	for _, s := range shards {
		if ok {
			n.keys.ledger.Import(s.Shard.Shard, s.Records)
		}
	}
	n.mu.Unlock()
	n.keys.mu.Unlock()
	n.handleOwnershipOutput(output)
	return incarnation, ok
}

// appendClaim appends a claim to the log and reads the log: of competing claims, the order of the log decides which one wins.
func (n *Node) appendClaim(c ownership.Claim) {
	n.keys.mu.Lock()
	n.keys.claimSeq++
	id := c.Node.Name + "-" + strconv.FormatUint(c.Node.Incarnation, 36) + "-" + strconv.FormatUint(n.keys.claimSeq, 10)
	n.keys.mu.Unlock()
	record, err := platform.Encode(id, c)
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "cannot encode claim", "err", err)
		return
	}
	_, err = n.logService.Append(context.Background(), ownership.Stream, record)
	var unknown *platform.UnknownError
	if err != nil && !errors.As(err, &unknown) {
		return // the ownership engine will claim the shards again
	}
	n.readOwnershipStream()
}

// readOwnershipStream reads the ownership stream at once instead of at the next poll.
func (n *Node) readOwnershipStream() {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	_, err := n.readPage(ctx, ownership.Stream, 0)
	n.recordLogServiceResult(err)
}
