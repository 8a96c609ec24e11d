package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/pkg/errors"
)

// Timing of reads of the bundle versions that the operator publishes.
const (
	longPollWait   = 20 * time.Second       // how long the log service waits for new records before it returns an empty page
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

// followVersions reads the newest published version and then each later one until ctx ends.
func (n *Node) followVersions(ctx context.Context) {
	var b backoff
	for ctx.Err() == nil {
		v, next, found, err := n.protocols.configSource.Newest(ctx)
		if ctx.Err() != nil {
			return
		}
		if !n.callSucceeded(ctx, err, &b) {
			continue
		}
		if found {
			n.acceptVersion(v)
		}
		n.followVersionsFrom(ctx, next)
	}
}

// followVersionsFrom reads versions from the offset next onwards until the log lacks records there or ctx ends.
func (n *Node) followVersionsFrom(ctx context.Context, next platform.Offset) {
	var b backoff
	for ctx.Err() == nil {
		versions, after, rejected, err := n.protocols.configSource.Follow(ctx, next, longPollWait)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrGap) {
			_ = level.Info(n.logger).Log("msg", "versions missed", "after", next, "err", err)
			n.sleep(ctx, batchDelay/2+rand.N(batchDelay/2))
			return
		}
		if !n.callSucceeded(ctx, err, &b) {
			continue
		}
		next = after
		for _, e := range rejected {
			_ = level.Warn(n.logger).Log("msg", "version refused", "err", e)
		}
		for _, v := range versions {
			n.acceptVersion(v)
		}
		if len(versions)+len(rejected) > 0 {
			n.sleep(ctx, batchDelay)
		}
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
	neighbours := n.members.Neighbours()
	msg := n.members.Heartbeat()
	n.mu.Unlock()
	n.pushToNeighbours(neighbours, msg)
}
