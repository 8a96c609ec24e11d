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

// Timing of the reading of the log.
const (
	relayReadWait     = 3 * time.Second        // time for which a relay waits for the next record
	logPollInterval   = 30 * time.Second       // interval at which other nodes read the log
	claimReadInterval = time.Second            // interval at which a node reads that wants to claim a shard
	minLogBackoff     = 500 * time.Millisecond // least time after a failed reading
	maxLogBackoff     = 5 * time.Second
	fetchTimeout      = 20 * time.Second // a whole state over the link between regions
	maxPushBytes      = 16 << 10         // bytes of log entries in one heartbeat
)

// tail reads one stream: a relay follows it closely, any other node now and then.
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

// awaitNextRead waits until the next reading is due, which is sooner for a node that wants to claim a shard or became a relay.
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

// readPage takes one page of the stream and reports whether there may be more.
func (n *Node) readPage(ctx context.Context, stream string, wait time.Duration) (bool, error) {
	n.mu.Lock()
	from := n.mirrors[stream].Next()
	n.mu.Unlock()
	page, err := n.store.Read(ctx, stream, from, wait)
	if err != nil {
		return false, err
	}
	n.mu.Lock()
	if page.First > n.mirrors[stream].Next() {
		n.skipExpired(stream, page)
	}
	n.mu.Unlock()
	n.applyEntries(stream, page.Entries)
	n.mu.Lock()
	defer n.mu.Unlock()
	more := n.mirrors[stream].Next() < page.Next
	if !more && stream == ownership.Stream {
		n.owners.MarkCaughtUp(time.Now())
	}
	return more, nil
}

// skipExpired goes on after records that the log no longer keeps; the engines are locked.
func (n *Node) skipExpired(stream string, page platform.Page) {
	next := page.First
	if stream == ownership.Stream {
		if t := newestTableSnapshot(page.Entries); n.owners.Adopt(time.Now(), t) {
			next = max(next, t.Next)
		}
	}
	n.mirrors[stream].Reset(next)
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

// applyEntries takes entries of a stream and passes new ones on.
func (n *Node) applyEntries(stream string, entries []platform.Entry) {
	if len(entries) == 0 {
		return
	}
	n.mu.Lock()
	m := n.mirrors[stream]
	if m == nil {
		n.mu.Unlock()
		return
	}
	fresh := m.Add(entries)
	n.noteSnapshots(stream, fresh)
	var events []rollout.Event
	for _, e := range fresh {
		if stream == ownership.Stream {
			n.owners.Apply(time.Now(), e)
			continue
		}
		events = append(events, n.rollout.Apply(e)...)
		if next := n.rollout.Next(); next != e.Offset+1 {
			m.Reset(next) // a snapshot was adopted
			break
		}
	}
	own := n.owners.TakeOutput()
	near := n.members.Neighbours()
	msg := n.members.Heartbeat()
	n.mu.Unlock()
	n.carryOutOwners(own)
	n.handleRolloutEvents(events)
	if len(fresh) == 0 {
		return
	}
	n.pushAll(near, msg)
}

// pushAll sends news to the neighbours at once.
func (n *Node) pushAll(near []membership.Member, msg membership.Message) {
	for _, to := range near {
		n.spawn(func() { n.push(to.Name, to.Address, msg) })
	}
}

// push sends new log entries to a neighbour at once.
func (n *Node) push(name, address string, msg membership.Message) {
	n.mu.Lock()
	b := n.beat(msg, name)
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	if ans, err := n.client.Exchange(ctx, address, b); err == nil {
		n.handleHeartbeatLog(ans, address)
	}
}

// handleRolloutEvents puts a newly accepted bundle in force.
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
	n.laneMu.Lock()
	n.mu.Lock()
	b, version := n.rollout.InForce(), n.rollout.Version()
	n.mu.Unlock()
	changed := b != n.bundle.Load()
	if changed {
		n.bundle.Store(b)
		n.rebuildServices(b)
	}
	n.laneMu.Unlock()
	n.version.Store(version)
	n.metrics.version.Set(float64(version))
	if !changed {
		return
	}
	n.keys.setRetention(b.Policy().KeyRetention())
	n.setLinkLimit(b.Policy().LinkBytes())
	for _, g := range n.gates.all() {
		g.SetClasses(admissionClasses(b, g.Announcement().Service))
	}
	n.updateLanes(n.view.Load())
}

// logPositions returns how far the node has read; the engines are locked.
func (n *Node) logPositions() []peer.Position {
	if n.contract.published() {
		return []peer.Position{{Stream: publishedStream, Next: platform.Offset(n.rollout.Version())}}
	}
	return []peer.Position{
		{Stream: rollout.Stream, Next: n.mirrors[rollout.Stream].Next()},
		{Stream: ownership.Stream, Next: n.mirrors[ownership.Stream].Next()},
	}
}

// entriesAfter returns the entries that a node at the positions lacks, up to a bound; the engines are locked.
func (n *Node) entriesAfter(at []peer.Position) []peer.LogEntry {
	var out []peer.LogEntry
	size := 0
	for _, p := range at {
		m := n.mirrors[p.Stream]
		if m == nil {
			continue
		}
		list, _ := m.Since(p.Next)
		for _, e := range list {
			if size += len(e.Data); size > maxPushBytes {
				return out // the other node fetches the rest from one place
			}
			out = append(out, peer.LogEntry{Stream: p.Stream, Entry: e})
		}
	}
	return out
}

// handleHeartbeatLog takes the log's news of another node and fetches what is missing.
func (n *Node) handleHeartbeatLog(b peer.Heartbeat, address string) {
	for _, stream := range []string{rollout.Stream, ownership.Stream} {
		var list []platform.Entry
		for _, e := range b.Entries {
			if e.Stream == stream {
				list = append(list, e.Entry)
			}
		}
		n.applyEntries(stream, list)
	}
	n.mu.Lock()
	if len(b.Positions) > 0 {
		n.positions[b.Message.Name] = b.Positions
	}
	behind := false
	for _, p := range b.Positions {
		m := n.mirrors[p.Stream]
		behind = behind || m != nil && m.Next() < p.Next
		behind = behind || p.Stream == publishedStream && n.contract.published() && n.rollout.Version() < uint64(p.Next)
	}
	if m, ok := n.members.Member(b.Message.Name); ok && address == "" {
		address = m.Address
	}
	start := behind && !n.fetching && address != ""
	n.fetching = n.fetching || start
	n.mu.Unlock()
	if start {
		n.spawn(func() { n.fetchMissing(address) })
	}
}

// fetchMissing asks another node for all that this one lacks of the log.
func (n *Node) fetchMissing(address string) {
	defer func() {
		n.mu.Lock()
		n.fetching = false
		n.mu.Unlock()
	}()
	n.mu.Lock()
	at := n.logPositions()
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	lack, err := n.client.Fetch(ctx, address, at)
	if err != nil {
		return
	}
	n.adoptState(lack)
	for _, e := range lack.Entries {
		n.applyEntries(e.Stream, []platform.Entry{e.Entry})
	}
}

// adoptState takes the whole state of another node where it is newer.
func (n *Node) adoptState(lack peer.FetchResponse) {
	n.mu.Lock()
	if lack.Bundle != nil {
		ok, err := n.rollout.Adopt(*lack.Bundle)
		if ok && lack.Bundle.Published {
			version := n.rollout.Version()
			defer func() { n.published(version, "peer") }()
		}
		if ok {
			n.mirrors[rollout.Stream].Reset(n.rollout.Next())
		}
		if err != nil {
			_ = level.Warn(n.logger).Log("msg", "state refused", "err", err)
		}
	}
	if n.owners.Adopt(time.Now(), lack.Owners) {
		n.mirrors[ownership.Stream].Reset(n.owners.Next())
	}
	own := n.owners.TakeOutput()
	n.mu.Unlock()
	n.carryOutOwners(own)
	n.installBundle()
}

// Fetch implements peer.Node.
func (n *Node) Fetch(at []peer.Position) peer.FetchResponse {
	n.mu.Lock()
	defer n.mu.Unlock()
	var lack peer.FetchResponse
	for _, p := range at {
		if p.Stream == publishedStream && n.rollout.Version() > uint64(p.Next) {
			n.addState(&lack, p.Stream)
		}
		m := n.mirrors[p.Stream]
		if m == nil {
			continue
		}
		list, ok := m.Since(p.Next)
		if !ok {
			n.addState(&lack, p.Stream)
			continue
		}
		for _, e := range list {
			lack.Entries = append(lack.Entries, peer.LogEntry{Stream: p.Stream, Entry: e})
		}
	}
	return lack
}

func (n *Node) addState(lack *peer.FetchResponse, stream string) {
	if stream == ownership.Stream {
		lack.Owners = n.owners.Table()
		return
	}
	st := n.rollout.State()
	lack.Bundle = &st
}

// recordStoreResult records when the log service goes away and returns.
func (n *Node) recordStoreResult(err error) {
	n.mu.Lock()
	was := n.storeDown
	n.storeDown = err != nil
	n.mu.Unlock()
	switch {
	case err != nil && !was:
		n.events.Add(event.Event{Kind: event.StoreDown, Text: err.Error()})
		_ = level.Warn(n.logger).Log("msg", "log service away", "err", err)
		n.metrics.logUp.Set(0)
	case err == nil && was:
		n.events.Add(event.Event{Kind: event.StoreUp})
		_ = level.Info(n.logger).Log("msg", "log service back")
		n.metrics.logUp.Set(1)
	}
}
