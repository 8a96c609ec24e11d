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

// Timing and limits of reading and replicating the log.
const (
	relayReadWait     = 3 * time.Second        // how long a relay's read waits for the next record
	logPollInterval   = 30 * time.Second       // mean interval at which other nodes read the log
	claimReadInterval = time.Second            // mean interval at which a node that needs to claim a shard reads it
	minLogBackoff     = 500 * time.Millisecond // minimum wait after a failed read
	maxLogBackoff     = 5 * time.Second
	fetchTimeout      = 20 * time.Second // enough for a whole state over the link between regions
	maxPushBytes      = 16 << 10         // maximum size of the log entries in one heartbeat
)

// tail reads one stream until ctx ends: a relay by long polling, any other node at long intervals.
func (n *Node) tail(ctx context.Context, stream string) {
	backoff := minLogBackoff
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if n.isRelay() {
			wait = relayReadWait
		}
		more, err := n.readPage(ctx, stream, wait)
		if ctx.Err() != nil {
			return
		}
		n.recordStoreResult(err)
		if err != nil {
			backoff = min(maxLogBackoff, 2*backoff)
			n.sleep(ctx, backoff/2+rand.N(backoff))
			continue
		}
		backoff = minLogBackoff
		if !more && wait == 0 {
			n.awaitNextRead(ctx)
		}
	}
}

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// awaitNextRead waits until the next read is due, which is sooner for a node that needs to claim a shard or became a relay.
func (n *Node) awaitNextRead(ctx context.Context) {
	end := time.Now().Add(logPollInterval/2 + rand.N(logPollInterval))
	for time.Now().Before(end) && ctx.Err() == nil {
		n.sleep(ctx, claimReadInterval/2+rand.N(claimReadInterval))
		if n.isRelay() || n.needsClaim() {
			return
		}
	}
}

func (n *Node) isRelay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Relay()
}

func (n *Node) needsClaim() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners.NeedsClaim()
}

// readPage reads one page of the stream and reports whether there may be more.
func (n *Node) readPage(ctx context.Context, stream string, wait time.Duration) (bool, error) {
	n.mu.Lock()
	from := n.tailCaches[stream].Next()
	n.mu.Unlock()
	page, err := n.logService.Read(ctx, stream, from, wait)
	if err != nil {
		return false, err
	}
	n.mu.Lock()
	if page.First > n.tailCaches[stream].Next() {
		n.skipExpired(stream, page)
	}
	n.mu.Unlock()
	n.applyEntries(stream, page.Entries)
	n.mu.Lock()
	defer n.mu.Unlock()
	more := n.tailCaches[stream].Next() < page.Next
	if !more && stream == ownership.Stream {
		n.owners.MarkCaughtUp(time.Now())
	}
	return more, nil
}

// skipExpired continues after records that the log no longer keeps; n.mu is held.
func (n *Node) skipExpired(stream string, page platform.Page) {
	next := page.First
	if stream == ownership.Stream {
		if t := newestTableSnapshot(page.Entries); n.owners.Adopt(time.Now(), t) {
			next = max(next, t.Next)
		}
	}
	n.tailCaches[stream].Reset(next)
}

func newestTableSnapshot(list []platform.Entry) *ownership.Table {
	var newest *ownership.Table
	for _, e := range list {
		if c, err := platform.Decode[ownership.Claim](e.Record); err == nil && c.Kind == ownership.TableSnapshot {
			newest = c.Table
		}
	}
	return newest
}

// applyEntries applies entries of a stream and pushes new ones to the neighbours.
func (n *Node) applyEntries(stream string, entries []platform.Entry) {
	if len(entries) == 0 {
		return
	}
	n.mu.Lock()
	cache := n.tailCaches[stream]
	if cache == nil {
		n.mu.Unlock()
		return
	}
	fresh := cache.Add(entries)
	n.recordSnapshots(stream, fresh)
	var events []rollout.Event
	for _, e := range fresh {
		if stream == ownership.Stream {
			n.owners.Apply(time.Now(), e)
			continue
		}
		events = append(events, n.rollout.Apply(e)...)
		if next := n.rollout.Next(); next != e.Offset+1 {
			cache.Reset(next) // a snapshot was adopted
			break
		}
	}
	output := n.owners.TakeOutput()
	neighbours := n.members.Neighbours()
	msg := n.members.Heartbeat()
	n.mu.Unlock()
	n.handleOwnershipOutput(output)
	n.handleRolloutEvents(events)
	if len(fresh) == 0 {
		return
	}
	n.pushAll(neighbours, msg)
}

// pushAll sends a heartbeat with the new log entries to the neighbours at once.
func (n *Node) pushAll(neighbours []membership.Member, msg membership.Message) {
	for _, to := range neighbours {
		n.spawn(func() { n.push(to.Name, to.Address, msg) })
	}
}

// push sends a heartbeat with the new log entries to one neighbour.
func (n *Node) push(name, address string, msg membership.Message) {
	n.mu.Lock()
	hb := n.newHeartbeat(msg, name)
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	if resp, err := n.client.Exchange(ctx, address, hb); err == nil {
		n.handleHeartbeatLog(resp, address)
	}
}

// handleRolloutEvents records the results of proposals and puts a newly accepted bundle in force.
func (n *Node) handleRolloutEvents(events []rollout.Event) {
	for _, e := range events {
		kind := event.Bundle
		if e.Result != rollout.Accepted && e.Result != rollout.Waiting {
			kind = event.Reject
		}
		n.events.Add(event.Event{Kind: kind, Text: fmt.Sprintf("%s %s version %d %s", e.ID, e.Result, e.Version, e.Text)})
		_ = level.Info(n.logger).Log("msg", "bundle", "change", e.ID, "version", e.Version, "result", e.Result, "text", e.Text)
	}
	n.installBundle()
}

// installBundle puts the bundle that the rollout engine holds in force.
func (n *Node) installBundle() {
	n.servicesMu.Lock()
	n.mu.Lock()
	b, version := n.rollout.InForce(), n.rollout.Version()
	n.mu.Unlock()
	changed := b != n.bundle.Load()
	if changed {
		n.bundle.Store(b)
		n.rebuildServices(b)
	}
	n.servicesMu.Unlock()
	n.bundleVersion.Store(version)
	n.metrics.version.Set(float64(version))
	if !changed {
		return
	}
	n.keys.setRetention(b.Policy().KeyRetention())
	n.setLinkLimit(b.Policy().LinkBytes())
	for _, g := range n.gates.all() {
		g.SetClasses(admissionClasses(b, g.Announcement().Service))
	}
	n.updateServices(n.view.Load())
}

// logPositions returns the positions up to which the node has read the streams; n.mu is held.
func (n *Node) logPositions() []peer.Position {
	if n.protocols.hasConfigSource() {
		return []peer.Position{{Stream: publishedStream, Next: platform.Offset(n.rollout.Version())}}
	}
	return []peer.Position{
		{Stream: rollout.Stream, Next: n.tailCaches[rollout.Stream].Next()},
		{Stream: ownership.Stream, Next: n.tailCaches[ownership.Stream].Next()},
	}
}

// entriesAfter returns the entries that a node at the positions is missing, up to maxPushBytes; n.mu is held.
func (n *Node) entriesAfter(positions []peer.Position) []peer.LogEntry {
	var out []peer.LogEntry
	size := 0
	for _, p := range positions {
		cache := n.tailCaches[p.Stream]
		if cache == nil {
			continue
		}
		list, _ := cache.Since(p.Next)
		for _, e := range list {
			if size += len(e.Data); size > maxPushBytes {
				return out // the other node fetches the rest from one node
			}
			out = append(out, peer.LogEntry{Stream: p.Stream, Entry: e})
		}
	}
	return out
}

// handleHeartbeatLog applies the log entries in a heartbeat of another node and, if this node is behind the other one,
// fetches the rest.
func (n *Node) handleHeartbeatLog(hb peer.Heartbeat, address string) {
	for _, stream := range []string{rollout.Stream, ownership.Stream} {
		var list []platform.Entry
		for _, e := range hb.Entries {
			if e.Stream == stream {
				list = append(list, e.Entry)
			}
		}
		n.applyEntries(stream, list)
	}
	n.mu.Lock()
	if len(hb.Positions) > 0 {
		n.peerPositions[hb.Message.Name] = hb.Positions
	}
	behind := false
	for _, p := range hb.Positions {
		m := n.tailCaches[p.Stream]
		behind = behind || m != nil && m.Next() < p.Next
		behind = behind || p.Stream == publishedStream && n.protocols.hasConfigSource() && n.rollout.Version() < uint64(p.Next)
	}
	if m, ok := n.members.Member(hb.Message.Name); ok && address == "" {
		address = m.Address
	}
	startFetch := behind && !n.catchingUp && address != ""
	n.catchingUp = n.catchingUp || startFetch
	n.mu.Unlock()
	if startFetch {
		n.spawn(func() { n.fetchMissing(address) })
	}
}

// fetchMissing fetches from another node the log entries or state that this node is missing.
func (n *Node) fetchMissing(address string) {
	defer func() {
		n.mu.Lock()
		n.catchingUp = false
		n.mu.Unlock()
	}()
	n.mu.Lock()
	positions := n.logPositions()
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	missing, err := n.client.Fetch(ctx, address, positions)
	if err != nil {
		return
	}
	n.adoptState(missing)
	for _, e := range missing.Entries {
		n.applyEntries(e.Stream, []platform.Entry{e.Entry})
	}
}

// adoptState adopts the whole state of another node where it is newer.
func (n *Node) adoptState(missing peer.FetchResponse) {
	n.mu.Lock()
	if missing.Bundle != nil {
		ok, err := n.rollout.Adopt(*missing.Bundle)
		if ok && missing.Bundle.Published {
			version := n.rollout.Version()
			defer func() { n.installVersion(version, "peer") }()
		}
		if ok {
			n.tailCaches[rollout.Stream].Reset(n.rollout.Next())
		}
		if err != nil {
			_ = level.Warn(n.logger).Log("msg", "peer state rejected", "err", err)
		}
	}
	if n.owners.Adopt(time.Now(), missing.Owners) {
		n.tailCaches[ownership.Stream].Reset(n.owners.Next())
	}
	output := n.owners.TakeOutput()
	n.mu.Unlock()
	n.handleOwnershipOutput(output)
	n.installBundle()
}

// Fetch implements peer.Node.
func (n *Node) Fetch(positions []peer.Position) peer.FetchResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	var missing peer.FetchResponse
	for _, p := range positions {
		if p.Stream == publishedStream && n.rollout.Version() > uint64(p.Next) {
			n.addState(&missing, p.Stream)
		}
		cache := n.tailCaches[p.Stream]
		if cache == nil {
			continue
		}
		list, ok := cache.Since(p.Next)
		if !ok {
			n.addState(&missing, p.Stream)
			continue
		}
		for _, e := range list {
			missing.Entries = append(missing.Entries, peer.LogEntry{Stream: p.Stream, Entry: e})
		}
	}
	return missing
}

func (n *Node) addState(missing *peer.FetchResponse, stream string) {
	if stream == ownership.Stream {
		missing.Owners = n.owners.Table()
		return
	}
	st := n.rollout.State()
	missing.Bundle = &st
}

// recordStoreResult records when the log service becomes unavailable and when it is available again.
func (n *Node) recordStoreResult(err error) {
	n.mu.Lock()
	wasDown := n.logServiceDown
	n.logServiceDown = err != nil
	n.mu.Unlock()
	switch {
	case err != nil && !wasDown:
		n.events.Add(event.Event{Kind: event.StoreDown, Text: err.Error()})
		_ = level.Warn(n.logger).Log("msg", "log service away", "err", err)
		n.metrics.logUp.Set(0)
	case err == nil && wasDown:
		n.events.Add(event.Event{Kind: event.StoreUp})
		_ = level.Info(n.logger).Log("msg", "log service back")
		n.metrics.logUp.Set(1)
	}
}
