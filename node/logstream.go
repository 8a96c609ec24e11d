package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
)

// Timing and limits of reading the log service and of replicating its entries to other nodes.
const (
	relayReadWait     = 3 * time.Second        // maximum time that a long poll by a relay waits for a new record
	logPollInterval   = 30 * time.Second       // mean interval between reads by nodes that are not relays
	claimReadInterval = time.Second            // mean interval between reads by a node that needs to claim a shard
	minLogBackoff     = 500 * time.Millisecond // minimum wait after a failed read
	maxLogBackoff     = 5 * time.Second        // maximum mean wait after a failed read
	maxPushBytes      = 16 << 10               // maximum data size of the log entries in one heartbeat
)

// tailStream reads one stream of the log service until ctx ends. A relay reads by long polling, other nodes at long intervals.
func (n *Node) tailStream(ctx context.Context, stream string) {
	backoff := minLogBackoff
	for ctx.Err() == nil {
		maxWait := time.Duration(0)
		if n.isRelay() {
			maxWait = relayReadWait
		}
		morePages, err := n.readPage(ctx, stream, maxWait)
		if ctx.Err() != nil {
			return
		}
		n.recordLogServiceResult(err)
		if err != nil {
			backoff = min(maxLogBackoff, 2*backoff)
			n.sleep(ctx, backoff/2+rand.N(backoff))
			continue
		}
		backoff = minLogBackoff
		if !morePages && maxWait == 0 {
			n.awaitNextRead(ctx)
		}
	}
}

func (n *Node) sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

// awaitNextRead waits until the next read is due. It returns early if the node becomes a relay or needs to claim a shard.
func (n *Node) awaitNextRead(ctx context.Context) {
	nextRead := time.Now().Add(logPollInterval/2 + rand.N(logPollInterval))
	for time.Now().Before(nextRead) && ctx.Err() == nil {
		n.sleep(ctx, claimReadInterval/2+rand.N(claimReadInterval))
		if n.isRelay() || n.needsClaim() {
			return
		}
	}
}

func (n *Node) isRelay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.IsRelay()
}

func (n *Node) needsClaim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners.NeedsClaim()
}

// readPage reads and applies one page of the stream and reports whether more pages may follow.
func (n *Node) readPage(ctx context.Context, stream string, maxWait time.Duration) (bool, error) {
	sentAt := n.bootTime()
	n.mu.Lock()
	offset, era := n.tailCaches[stream].Next(), n.logEra
	n.mu.Unlock()
	page, err := n.logService.Read(ctx, stream, offset, maxWait)
	usable, err := n.checkPage(stream, offset, era, page, err)
	if !usable {
		return err == nil, err
	}
	n.mu.Lock()
	if page.FirstOffset > n.tailCaches[stream].Next() {
		n.skipExpiredRecords(stream, page)
	}
	n.mu.Unlock()
	n.applyEntries(stream, page.Era, page.Entries)
	n.mu.Lock()
	defer n.mu.Unlock()
	morePages := n.tailCaches[stream].Next() < page.Next
	if !morePages && stream == ownership.Stream {
		n.owners.MarkCaughtUp(time.Now())
	}
	if !morePages && stream == rollout.Stream {
		n.freshness.Advance(sentAt)
	}
	return morePages, nil
}

// skipExpiredRecords moves the read position past records that the log service has deleted; the caller holds n.mu.
func (n *Node) skipExpiredRecords(stream string, page platform.Page) {
	nextOffset := page.FirstOffset
	if stream == ownership.Stream {
		if table := newestTableSnapshot(page.Entries); n.owners.Adopt(time.Now(), table) {
			nextOffset = max(nextOffset, table.Next)
		}
	}
	n.tailCaches[stream].Reset(nextOffset)
}

func newestTableSnapshot(entries []platform.Entry) *ownership.Table {
	var newest *ownership.Table
	for _, entry := range entries {
		if claim, err := platform.Decode[ownership.Claim](entry.Record); err == nil && claim.Kind == ownership.TableSnapshot {
			newest = claim.Table
		}
	}
	return newest
}

// applyEntries applies the entries of a stream that are new to this node, unless they are of another era, and pushes them to the neighbours.
func (n *Node) applyEntries(stream string, era uint64, entries []platform.Entry) {
	if len(entries) == 0 {
		return
	}
	n.mu.Lock()
	cache := n.tailCaches[stream]
	if cache == nil || era != n.logEra {
		n.mu.Unlock()
		return
	}
	newEntries := cache.Add(entries)
	n.recordSnapshots(stream, newEntries)
	var events []rollout.Event
	for _, entry := range newEntries {
		if stream == ownership.Stream {
			n.owners.Apply(time.Now(), entry)
			continue
		}
		events = append(events, n.rollout.Apply(entry)...)
		if nextOffset := n.rollout.Next(); nextOffset != entry.Offset+1 {
			cache.Reset(nextOffset) // a snapshot entry moved the rollout engine to another offset
			break
		}
	}
	output := n.owners.TakeOutput()
	neighbours := n.members.Neighbours()
	message := n.members.Heartbeat()
	n.mu.Unlock()
	n.handleOwnershipOutput(output)
	n.handleRolloutEvents(events)
	if len(newEntries) == 0 {
		return
	}
	n.push(neighbours, message)
}

// push sends the nodes a heartbeat with the new log entries, without waiting for the next regular one.
func (n *Node) push(targets []membership.Member, message membership.Message) {
	for _, to := range targets {
		n.spawn(func() { n.pushTo(to.Name, to.Address, message) })
	}
}

// pushTo sends a heartbeat with the new log entries to one node.
func (n *Node) pushTo(name, address string, message membership.Message) {
	n.mu.Lock()
	heartbeat := n.newHeartbeat(message, name)
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	if resp, err := n.client.Exchange(ctx, address, heartbeat); err == nil {
		n.applyHeartbeatLog(resp, address)
	}
}

// handleRolloutEvents records the results of bundle proposals and puts a newly accepted bundle in force.
func (n *Node) handleRolloutEvents(events []rollout.Event) {
	for _, e := range events {
		eventKind := event.Bundle
		if e.Result != rollout.Accepted && e.Result != rollout.Waiting {
			eventKind = event.Reject
		}
		n.events.Add(event.Event{Kind: eventKind, Text: fmt.Sprintf("%s %s version %d %s", e.ID, e.Result, e.Version, e.Text)})
		_ = level.Info(n.logger).Log("msg", "bundle", "change", e.ID, "version", e.Version, "result", e.Result, "text", e.Text)
	}
	n.installBundle()
}

// installBundle puts the rollout engine's current bundle in force at this node. Of two calls at the same time, the second one waits, so that
// all tables are of one version.
func (n *Node) installBundle() {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	n.mu.Lock()
	newBundle, version := n.rollout.InForce(), n.rollout.Version()
	n.mu.Unlock()
	n.bundleVersion.Store(version)
	n.metrics.bundleVersion.Set(float64(version))
	if newBundle == n.bundle.Load() {
		return
	}
	n.bundle.Store(newBundle)
	n.updateServiceStates(newBundle)
	n.keys.setRetention(newBundle.Policy().KeyRetention())
	n.limits.SetCallers(time.Now(), newBundle.LimitedCallers())
	n.setLinkLimit(newBundle.Policy().MaxLinkBytesPerSecond())
	for _, gate := range n.gates.all() {
		n.configureGate(gate, newBundle)
	}
	n.updateAllServices()
}

// logPositions returns the node's next read position in each stream, and the era of these; the caller holds n.mu.
func (n *Node) logPositions() []peer.Position {
	if n.protocols.hasConfigSource() {
		return n.withEra([]peer.Position{{Stream: publishedStream, Next: platform.Offset(n.rollout.Version())}})
	}
	return n.withEra([]peer.Position{
		{Stream: rollout.Stream, Next: n.tailCaches[rollout.Stream].Next()},
		{Stream: ownership.Stream, Next: n.tailCaches[ownership.Stream].Next()},
	})
}

// entriesAfter returns the entries from the given positions on, limited to maxPushBytes of data; the caller holds n.mu.
func (n *Node) entriesAfter(positions []peer.Position) []peer.LogEntry {
	var missing []peer.LogEntry
	totalBytes := 0
	for _, position := range positions {
		cache := n.tailCaches[position.Stream]
		if cache == nil {
			continue
		}
		entries, _ := cache.Since(position.Next)
		for _, entry := range entries {
			if totalBytes += len(entry.Data); totalBytes > maxPushBytes {
				return missing // the receiver fetches the rest
			}
			missing = append(missing, peer.LogEntry{Stream: position.Stream, Entry: entry})
		}
	}
	return missing
}

// applyHeartbeatLog applies the log entries of a heartbeat from another node.
// If the other node has read further in a stream, the missing entries are fetched from it.
func (n *Node) applyHeartbeatLog(heartbeat peer.Heartbeat, address string) {
	if !n.observeEra(heartbeat.Positions) {
		return
	}
	for _, stream := range []string{rollout.Stream, ownership.Stream} {
		var entries []platform.Entry
		for _, entry := range heartbeat.Entries {
			if entry.Stream == stream {
				entries = append(entries, entry.Entry)
			}
		}
		n.applyEntries(stream, eraOf(heartbeat.Positions), entries)
	}
	name := heartbeat.Message.Name
	n.mu.Lock()
	if len(heartbeat.Positions) > 0 {
		n.peerPositions[name] = heartbeat.Positions
	}
	if sender, ok := n.members.Member(name); ok && address == "" {
		address = sender.Address
	}
	behind := address != "" && n.behind(heartbeat.Positions)
	if behind {
		n.catchUp.Heard(name, address)
	}
	n.mu.Unlock()
	if behind {
		n.fetchDue(time.Now())
	}
}

// recordLogServiceResult records that the log service became unavailable or available again, given the result of a call to it.
func (n *Node) recordLogServiceResult(err error) {
	n.mu.Lock()
	wasDown := n.logServiceDown
	n.logServiceDown = err != nil
	n.mu.Unlock()
	switch {
	case err != nil && !wasDown:
		n.events.Add(event.Event{Kind: event.StoreDown, Text: err.Error()})
		_ = level.Warn(n.logger).Log("msg", "log service away", "err", err)
		n.metrics.logServiceUp.Set(0)
	case err == nil && wasDown:
		n.events.Add(event.Event{Kind: event.StoreUp})
		_ = level.Info(n.logger).Log("msg", "log service back")
		n.metrics.logServiceUp.Set(1)
	}
}
