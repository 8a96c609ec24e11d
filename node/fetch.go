package node

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
)

// Timing of fetches of missing state from other nodes.
const (
	fetchTimeout = 20 * time.Second       // enough to transfer the whole state over the link between regions
	slowFetch    = 500 * time.Millisecond // time after which a fetch is logged as slow
)

// behind reports whether a node with the given positions has read further than this one; the caller holds n.mu.
func (n *Node) behind(positions []peer.Position) bool {
	for _, position := range positions {
		cache := n.tailCaches[position.Stream]
		if cache != nil && cache.Next() < position.Next {
			return true
		}
		if position.Stream == publishedStream && n.protocols.hasConfigSource() && n.rollout.Version() < uint64(position.Next) {
			return true
		}
	}
	return false
}

// fetchDue begins a fetch of missing state if one is due.
func (n *Node) fetchDue(now time.Time) {
	n.mu.Lock()
	begin, canceled := n.catchUp.Next(now, func(name string) bool { return n.behind(n.peerPositions[name]) })
	if canceled != nil {
		n.fetchCancels[canceled]()
		delete(n.fetchCancels, canceled)
	}
	if begin == nil {
		n.mu.Unlock()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	n.fetchCancels[begin] = cancel
	n.mu.Unlock()
	n.spawn(func() {
		defer cancel()
		n.fetchMissing(ctx, begin)
	})
}

// fetchMissing fetches the log entries or the state that this node is missing from another node.
func (n *Node) fetchMissing(ctx context.Context, f *rollout.Fetch) {
	n.mu.Lock()
	positions, version := n.logPositions(), n.rollout.Version()
	n.mu.Unlock()
	start := time.Now()
	_ = level.Info(n.logger).Log("msg", "fetch", "from", f.Name, "version", version)
	missing, err := n.client.Fetch(ctx, f.Address, positions)
	if took := time.Since(start); err != nil || took > slowFetch {
		_ = level.Warn(n.logger).Log("msg", "fetch slow or failed", "from", f.Name, "took", took, "err", err)
	}
	if err == nil && n.observeEra(positions) {
		n.adoptState(missing)
		for _, e := range missing.Entries {
			n.applyEntries(e.Stream, eraOf(positions), []platform.Entry{e.Entry})
		}
	}
	n.mu.Lock()
	n.catchUp.Ended(f)
	delete(n.fetchCancels, f)
	n.mu.Unlock()
	n.fetchDue(time.Now())
}

// adoptState adopts the bundle state and the ownership table of another node if they are newer than this node's.
func (n *Node) adoptState(peerState peer.FetchResponse) {
	n.mu.Lock()
	if peerState.Bundle != nil {
		adopted, err := n.rollout.Adopt(*peerState.Bundle)
		if adopted && peerState.Bundle.Published {
			version := n.rollout.Version()
			defer func() { n.installVersion(version, "peer") }()
		}
		if adopted {
			n.tailCaches[rollout.Stream].Reset(n.rollout.Next())
		}
		if err != nil {
			_ = level.Warn(n.logger).Log("msg", "peer state rejected", "err", err)
		}
	}
	if n.owners.Adopt(time.Now(), peerState.Owners) {
		n.tailCaches[ownership.Stream].Reset(n.owners.Next())
	}
	output := n.owners.TakeOutput()
	n.mu.Unlock()
	n.handleOwnershipOutput(output)
	n.installBundle()
}

// Fetch implements peer.Node. It returns the entries from the given positions on, or the whole state if they are no longer cached.
func (n *Node) Fetch(positions []peer.Position) peer.FetchResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	var missing peer.FetchResponse
	if !n.protocols.hasConfigSource() && eraOf(positions) != n.logEra {
		return missing // offsets of another era mean nothing here
	}
	for _, position := range positions {
		if position.Stream == publishedStream && n.rollout.Version() > uint64(position.Next) {
			n.addWholeState(&missing, position.Stream)
		}
		cache := n.tailCaches[position.Stream]
		if cache == nil {
			continue
		}
		entries, ok := cache.Since(position.Next)
		if !ok {
			n.addWholeState(&missing, position.Stream)
			continue
		}
		for _, e := range entries {
			missing.Entries = append(missing.Entries, peer.LogEntry{Stream: position.Stream, Entry: e})
		}
	}
	return missing
}

func (n *Node) addWholeState(missing *peer.FetchResponse, stream string) {
	if stream == ownership.Stream {
		missing.Owners = n.owners.Table()
		return
	}
	state := n.rollout.State()
	missing.Bundle = &state
}
