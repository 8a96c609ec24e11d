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
	tailWait     = 3 * time.Second        // time for which a relay waits for the next record
	pollInterval = 30 * time.Second       // interval at which other nodes read the log
	wantInterval = time.Second            // interval at which a node reads that wants to claim a shard
	retryLog     = 500 * time.Millisecond // least time after a failed reading
	maxRetryLog  = 5 * time.Second
	fetchTimeout = 20 * time.Second // a whole state over the link between regions
	maxPush      = 16 << 10         // bytes of log entries in one heartbeat
)

// tail reads one stream: a relay follows it closely, any other node now and then.
func (n *Node) tail(ctx context.Context, stream string) {
	backoff := retryLog
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if n.relay() {
			wait = tailWait
		}
		more, err := n.read(ctx, stream, wait)
		if ctx.Err() != nil {
			return
		}
		n.noteStore(err)
		if err != nil {
			backoff = min(maxRetryLog, 2*backoff)
			n.sleep(ctx, backoff/2+rand.N(backoff))
			continue
		}
		backoff = retryLog
		if !more && wait == 0 {
			n.idle(ctx)
		}
	}
}

func (n *Node) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// idle waits until the next reading is due, which is sooner for a node that wants to claim a shard or became a relay.
func (n *Node) idle(ctx context.Context) {
	end := time.Now().Add(pollInterval/2 + rand.N(pollInterval))
	for time.Now().Before(end) && ctx.Err() == nil {
		n.sleep(ctx, wantInterval/2+rand.N(wantInterval))
		if n.relay() || n.wanting() {
			return
		}
	}
}

func (n *Node) relay() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.members.Relay()
}

func (n *Node) wanting() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.owners.NeedsClaim()
}

// read takes one page of the stream and reports whether there may be more.
func (n *Node) read(ctx context.Context, stream string, wait time.Duration) (bool, error) {
	n.mu.Lock()
	from := n.tails[stream].Next()
	n.mu.Unlock()
	page, err := n.logService.Read(ctx, stream, from, wait)
	if err != nil {
		return false, err
	}
	n.mu.Lock()
	if page.FirstOffset > n.tails[stream].Next() {
		n.skip(stream, page)
	}
	n.mu.Unlock()
	n.feed(stream, page.Entries)
	n.mu.Lock()
	defer n.mu.Unlock()
	more := n.tails[stream].Next() < page.Next
	if !more && stream == ownership.Stream {
		n.owners.MarkCaughtUp(time.Now())
	}
	return more, nil
}

// skip goes on after records that the log no longer keeps; the engines are locked.
func (n *Node) skip(stream string, page platform.Page) {
	next := page.FirstOffset
	if stream == ownership.Stream {
		if t := newestImage(page.Entries); n.owners.Adopt(time.Now(), t) {
			next = max(next, t.Next)
		}
	}
	n.tails[stream].Reset(next)
}

func newestImage(list []platform.Entry) *ownership.Table {
	var newest *ownership.Table
	for _, e := range list {
		if c, err := platform.Decode[ownership.Claim](e.Record); err == nil && c.Kind == ownership.TableSnapshot {
			newest = c.Table
		}
	}
	return newest
}

// feed takes entries of a stream and passes new ones on.
func (n *Node) feed(stream string, entries []platform.Entry) {
	if len(entries) == 0 {
		return
	}
	n.mu.Lock()
	m := n.tails[stream]
	if m == nil {
		n.mu.Unlock()
		return
	}
	fresh := m.Add(entries)
	n.recordSnapshots(stream, fresh)
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
	n.handleOwnershipOutput(own)
	n.bundleEvents(events)
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
	b := n.newHeartbeat(msg, name)
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	if ans, err := n.client.Exchange(ctx, address, b); err == nil {
		n.takeBeat(ans, address)
	}
}

// bundleEvents puts a newly accepted bundle in force.
func (n *Node) bundleEvents(events []rollout.Event) {
	for _, e := range events {
		kind := event.Bundle
		if e.Result != rollout.Accepted && e.Result != rollout.Waiting {
			kind = event.Reject
		}
		n.events.Add(event.Event{Kind: kind, Text: fmt.Sprintf("%s %s version %d %s", e.ID, e.Result, e.Version, e.Text)})
		_ = level.Info(n.logger).Log("msg", "bundle", "change", e.ID, "version", e.Version, "result", e.Result, "text", e.Text)
	}
	n.install()
}

// install puts the bundle that the rollout engine holds in force.
func (n *Node) install() {
	n.laneMu.Lock()
	n.mu.Lock()
	b, version := n.rollout.InForce(), n.rollout.Version()
	n.mu.Unlock()
	changed := b != n.bundle.Load()
	if changed {
		n.bundle.Store(b)
		n.rebuildLanes(b)
	}
	n.laneMu.Unlock()
	n.version.Store(version)
	n.metrics.version.Set(float64(version))
	if !changed {
		return
	}
	n.keys.setRetention(b.Policy().KeyRetention())
	n.setLink(b.Policy().LinkBytes())
	for _, g := range n.gates.all() {
		g.SetClasses(classes(b, g.Announcement().Service))
	}
	n.updateLanes(n.view.Load())
}

// logPositions returns how far the node has read; the engines are locked.
func (n *Node) logPositions() []peer.Position {
	if n.contract.hasConfigSource() {
		return []peer.Position{{Stream: publishedStream, Next: platform.Offset(n.rollout.Version())}}
	}
	return []peer.Position{
		{Stream: rollout.Stream, Next: n.tails[rollout.Stream].Next()},
		{Stream: ownership.Stream, Next: n.tails[ownership.Stream].Next()},
	}
}

// entriesFor returns the entries that a node at the positions lacks, up to a bound; the engines are locked.
func (n *Node) entriesFor(at []peer.Position) []peer.LogEntry {
	var out []peer.LogEntry
	size := 0
	for _, p := range at {
		m := n.tails[p.Stream]
		if m == nil {
			continue
		}
		list, _ := m.Since(p.Next)
		for _, e := range list {
			if size += len(e.Data); size > maxPush {
				return out // the other node fetches the rest from one place
			}
			out = append(out, peer.LogEntry{Stream: p.Stream, Entry: e})
		}
	}
	return out
}

// takeBeat takes the log's news of another node and fetches what is missing.
func (n *Node) takeBeat(b peer.Heartbeat, address string) {
	for _, stream := range []string{rollout.Stream, ownership.Stream} {
		var list []platform.Entry
		for _, e := range b.Entries {
			if e.Stream == stream {
				list = append(list, e.Entry)
			}
		}
		n.feed(stream, list)
	}
	n.mu.Lock()
	if len(b.Positions) > 0 {
		n.peerPositions[b.Message.Name] = b.Positions
	}
	behind := false
	for _, p := range b.Positions {
		m := n.tails[p.Stream]
		behind = behind || m != nil && m.Next() < p.Next
		behind = behind || p.Stream == publishedStream && n.contract.hasConfigSource() && n.rollout.Version() < uint64(p.Next)
	}
	if m, ok := n.members.Member(b.Message.Name); ok && address == "" {
		address = m.Address
	}
	start := behind && !n.fetching && address != ""
	n.fetching = n.fetching || start
	n.mu.Unlock()
	if start {
		n.spawn(func() { n.fetch(address) })
	}
}

// fetch asks another node for all that this one lacks of the log.
func (n *Node) fetch(address string) {
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
	n.adopt(lack)
	for _, e := range lack.Entries {
		n.feed(e.Stream, []platform.Entry{e.Entry})
	}
}

// adopt takes the whole state of another node where it is newer.
func (n *Node) adopt(lack peer.FetchResponse) {
	n.mu.Lock()
	if lack.Bundle != nil {
		ok, err := n.rollout.Adopt(*lack.Bundle)
		if ok && lack.Bundle.Published {
			version := n.rollout.Version()
			defer func() { n.installVersion(version, "peer") }()
		}
		if ok {
			n.tails[rollout.Stream].Reset(n.rollout.Next())
		}
		if err != nil {
			_ = level.Warn(n.logger).Log("msg", "state refused", "err", err)
		}
	}
	if n.owners.Adopt(time.Now(), lack.Owners) {
		n.tails[ownership.Stream].Reset(n.owners.Next())
	}
	own := n.owners.TakeOutput()
	n.mu.Unlock()
	n.handleOwnershipOutput(own)
	n.install()
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
		m := n.tails[p.Stream]
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

// noteStore records when the log service goes away and returns.
func (n *Node) noteStore(err error) {
	n.mu.Lock()
	was := n.logServiceDown
	n.logServiceDown = err != nil
	n.mu.Unlock()
	switch {
	case err != nil && !was:
		n.events.Add(event.Event{Kind: event.StoreDown, Text: err.Error()})
		_ = level.Warn(n.logger).Log("msg", "log service away", "err", err)
		n.metrics.store.Set(0)
	case err == nil && was:
		n.events.Add(event.Event{Kind: event.StoreUp})
		_ = level.Info(n.logger).Log("msg", "log service back")
		n.metrics.store.Set(1)
	}
}
