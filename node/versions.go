package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/pkg/errors"
)

// Timing of reads of the bundle versions that the operator publishes.
const (
	longPollWait   = 2 * time.Second        // how long the log service waits for new records before it returns an empty page
	askTimeout     = 300 * time.Millisecond // maximum time for a reader of the data centre to confirm that it reads
	readerTick     = 100 * time.Millisecond // interval between checks of whether this node is to read
	firstTick      = 20 * time.Millisecond  // the same as long as the node has no version
	batchDelay     = 800 * time.Millisecond // wait after new records, so that versions published in quick succession are read together
	initialBackoff = 200 * time.Millisecond // delay after the first failed call, before jitter
	maxBackoff     = 2 * time.Second        // delay at most, before jitter
)

// publishedStream is the stream name under which nodes exchange the position of their newest published version.
const publishedStream = "published"

// backoff computes the exponential backoff between retries. The zero value starts at initialBackoff.
type backoff struct{ delay time.Duration }

// next returns the delay before the next retry, with jitter so that nodes do not retry at the same time.
func (b *backoff) next() time.Duration {
	b.delay = min(maxBackoff, max(initialBackoff, 2*b.delay))
	return b.delay/2 + rand.N(b.delay)
}

// followVersions reads the published versions whenever this node is to read them, until ctx ends.
func (n *Node) followVersions(ctx context.Context) {
	var b backoff
	var next platform.Offset
	started := false // whether next is known
	for n.awaitReading(ctx) {
		if started {
			started = n.readVersions(ctx, &next, &b)
			continue
		}
		v, offset, found, err := n.protocols.configSource.Newest(ctx)
		if ctx.Err() != nil || !n.callSucceeded(ctx, err, &b) {
			continue
		}
		if found {
			n.acceptVersion(v)
		}
		next, started = offset, true
		n.recordVersionsRead()
	}
}

// awaitReading waits until this node is to read the published versions; it returns false once ctx has ended.
func (n *Node) awaitReading(ctx context.Context) bool {
	for ctx.Err() == nil {
		n.mu.Lock()
		reads := n.versionReader.Reads(time.Now())
		n.mu.Unlock()
		if reads {
			return true
		}
		n.sleep(ctx, n.readerInterval())
	}
	return false
}

// readerInterval returns the interval between checks of whether this node is to read.
func (n *Node) readerInterval() time.Duration {
	if n.Bundle().Len() == 0 {
		return firstTick
	}
	return readerTick
}

// readVersions reads the versions from the offset next on, waits for the first, and moves next. It returns false if the log lacks records there.
func (n *Node) readVersions(ctx context.Context, next *platform.Offset, b *backoff) bool {
	n.mu.Lock()
	wait := n.versionReader.Wait(time.Now())
	n.mu.Unlock()
	versions, after, rejected, err := n.protocols.configSource.Follow(ctx, *next, wait)
	if ctx.Err() != nil {
		return true
	}
	if errors.Is(err, platform.ErrGap) {
		_ = level.Info(n.logger).Log("msg", "versions missed", "after", *next, "err", err)
		n.sleep(ctx, batchDelay/2+rand.N(batchDelay/2))
		return false
	}
	if !n.callSucceeded(ctx, err, b) {
		return true
	}
	*next = after
	for _, e := range rejected {
		_ = level.Warn(n.logger).Log("msg", "version refused", "err", e)
	}
	for _, v := range versions {
		n.acceptVersion(v)
	}
	n.recordVersionsRead()
	if len(versions)+len(rejected) > 0 {
		n.sleep(ctx, batchDelay)
	}
	return true
}

// recordVersionsRead records that this node has applied an answer of the log service.
func (n *Node) recordVersionsRead() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.versionReader.Answered(time.Now())
}

// tickReader asks a reader of the data centre to confirm that it reads, if that is due.
func (n *Node) tickReader(_ context.Context, now time.Time) {
	n.mu.Lock()
	n.versionReader.SetCandidates(n.members.Readers())
	name, due := n.versionReader.Ask(now)
	to, known := n.members.Member(name)
	msg := n.members.Heartbeat()
	n.mu.Unlock()
	switch {
	case due && known:
		n.spawn(func() { n.askReader(to, msg) })
	case due:
		n.mu.Lock()
		n.versionReader.Unanswered(now)
		n.mu.Unlock()
	}
}

// askReader asks a node to confirm that it reads the published versions, and fetches a version that this node lacks.
func (n *Node) askReader(to membership.Member, msg membership.Message) {
	sentAt := time.Now()
	heartbeat := membership.OutgoingHeartbeat{Name: to.Name, Address: to.Address, Message: msg}
	resp, err := n.exchange(heartbeat, askTimeout, true)
	n.logReliance(to.Name, err == nil && resp.Confirmed)
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case err != nil:
		n.versionReader.Unanswered(sentAt)
	case n.behind(resp.Positions):
		n.versionReader.Behind(sentAt)
	default:
		n.versionReader.Confirmed(sentAt, resp.Confirmed)
	}
}

// logReliance logs that this node began or ceased to rely on another one to read the published versions.
func (n *Node) logReliance(reader string, confirmed bool) {
	if !confirmed {
		reader = ""
	}
	if previous := n.reliesOn.Swap(&reader); previous == nil || *previous != reader {
		_ = level.Info(n.logger).Log("msg", "versions read by", "reader", cmp.Or(reader, "self"), "version", n.bundleVersion.Load())
	}
}

// callSucceeded records the result of a call to the log service; after a failed call it waits and returns false.
func (n *Node) callSucceeded(ctx context.Context, err error, b *backoff) bool {
	n.recordLogServiceResult(err)
	if err != nil {
		n.sleep(ctx, b.next())
		return false
	}
	*b = backoff{}
	return true
}

// acceptVersion puts a version in force if it is newer than the current one, and sends a heartbeat to the neighbours.
func (n *Node) acceptVersion(v platform.Version) {
	n.mu.Lock()
	accepted := n.rollout.Publish(v.Number, v.Bundle)
	n.mu.Unlock()
	if accepted {
		n.installVersion(v.Number, "store")
	}
}

// installVersion puts the version that the rollout engine has accepted in force and sends a heartbeat to the neighbours.
func (n *Node) installVersion(number uint64, source string) {
	n.installBundle()
	n.events.Add(event.Event{Kind: event.Bundle, Text: source})
	_ = level.Info(n.logger).Log("msg", "bundle", "version", number, "result", rollout.Accepted, "source", source)
	n.mu.Lock()
	n.versionReader.VersionKnown()
	neighbours := n.members.Neighbours()
	msg := n.members.Heartbeat()
	n.mu.Unlock()
	n.pushToNeighbours(neighbours, msg)
}
