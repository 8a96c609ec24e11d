package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
)

// Timing of reads of the bundle versions that the operator publishes.
const (
	readerTick     = 100 * time.Millisecond // interval between checks of whether this node is to read
	firstTick      = 20 * time.Millisecond  // the same as long as the node has no version
	batchDelay     = 400 * time.Millisecond // wait after new records, so that versions published in quick succession are read together
	initialBackoff = 200 * time.Millisecond // delay after the first failed call, before jitter
	shortestDelay  = 100 * time.Millisecond // upper bound of the random delay after a failed call that took longer than its backoff
	maxBackoff     = 800 * time.Millisecond // delay at most, before jitter; a node must read soon after the log service is back
)

// publishedStream is the stream name under which nodes exchange the position of their newest published version.
const publishedStream = "published"

// backoff computes the exponential backoff between retries. The zero value starts at initialBackoff.
type backoff struct{ delay time.Duration }

// next returns the delay before the next retry, with jitter so that nodes do not retry at the same time. It counts from the start of the
// failed call: a call that took long needs little delay after it.
func (b *backoff) next(took time.Duration) time.Duration {
	b.delay = min(maxBackoff, max(initialBackoff, 2*b.delay))
	return max(rand.N(shortestDelay), b.delay/2+rand.N(b.delay)-took)
}

// followVersions reads the published versions whenever this node is to read them, until ctx ends.
func (n *Node) followVersions(ctx context.Context) {
	var b backoff
	var next platform.Cursor
	started := false // whether next is known
	for n.awaitReading(ctx) {
		if started {
			started = n.readVersions(ctx, &next, &b)
			continue
		}
		sentAt, answerTime := n.recordNewestSent()
		readCtx, cancel := context.WithTimeout(ctx, answerTime)
		versions, position, rejected, err := n.protocols.configSource.Newest(readCtx)
		cancel()
		if ctx.Err() != nil {
			continue
		}
		n.recordRead(versionRead{sentAt: sentAt, versions: len(versions) + len(rejected), err: err})
		if !n.callSucceeded(ctx, err, sentAt, &b) {
			continue
		}
		next, started = position, true
		n.applyVersions(versions, rejected)
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

// readVersions reads the versions from next on, waits for the first, and moves next. It returns false if next means nothing in the log.
func (n *Node) readVersions(ctx context.Context, next *platform.Cursor, b *backoff) bool {
	sentAt := time.Now()
	n.mu.Lock()
	hold, answerTime := n.versionReader.Hold(sentAt), n.versionReader.AnswerTime()
	n.versionReader.Sent(sentAt, hold)
	n.mu.Unlock()
	readCtx, cancel := context.WithTimeout(ctx, hold+answerTime)
	defer cancel()
	versions, after, rejected, err := n.protocols.configSource.Follow(readCtx, *next, hold)
	if ctx.Err() != nil {
		return true
	}
	n.recordRead(versionRead{from: next.Offset, hold: hold, sentAt: sentAt, versions: len(versions) + len(rejected), err: err})
	if platform.LostPosition(err) {
		n.recordReadFailed()
		n.sleep(ctx, batchDelay/2+rand.N(batchDelay/2))
		return false
	}
	if !n.callSucceeded(ctx, err, sentAt, b) {
		return true
	}
	*next = after
	n.applyVersions(versions, rejected)
	if len(versions)+len(rejected) > 0 {
		n.sleep(ctx, batchDelay)
	}
	return true
}

// applyVersions applies an answer of the log service and records that it was applied.
func (n *Node) applyVersions(versions []platform.Version, rejected []error) {
	for _, e := range rejected {
		_ = level.Warn(n.logger).Log("msg", "version refused", "err", e)
	}
	for _, v := range versions {
		n.acceptVersion(v)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.versionReader.Answered(time.Now(), len(versions)+len(rejected) > 0)
}

// recordNewestSent records that the newest version is requested, which the log service doesn't hold. It returns the time, and how long the
// answer may take.
func (n *Node) recordNewestSent() (now time.Time, answerTime time.Duration) {
	now = time.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.versionReader.Sent(now, 0)
	return now, n.versionReader.AnswerTime()
}

func (n *Node) recordReadFailed() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.versionReader.Failed()
}

// callSucceeded records the result of a read that was sent at sentAt; after a failed one it waits and returns false.
func (n *Node) callSucceeded(ctx context.Context, err error, sentAt time.Time, b *backoff) bool {
	n.recordLogServiceResult(err)
	if err != nil {
		n.recordReadFailed()
		n.sleep(ctx, b.next(time.Since(sentAt)))
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
	if !accepted {
		return
	}
	for _, what := range v.Adjusted {
		_ = level.Warn(n.logger).Log("msg", "version adjusted", "version", v.Number, "what", what)
	}
	n.installVersion(v.Number, "store")
}

// installVersion puts the version that the rollout engine has accepted in force and sends a heartbeat to the neighbours.
func (n *Node) installVersion(number uint64, source string) {
	start := time.Now()
	n.installBundle()
	n.events.Add(event.Event{Kind: event.Bundle, Text: source})
	_ = level.Info(n.logger).Log("msg", "bundle", "version", number, "result", rollout.Accepted, "source", source, "took", time.Since(start))
	n.mu.Lock()
	n.versionReader.VersionKnown()
	neighbours := n.members.Neighbours()
	msg := n.members.Heartbeat()
	n.mu.Unlock()
	n.pushToNeighbours(neighbours, msg)
}
