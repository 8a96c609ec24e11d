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

// Timing of the reading of published versions.
const (
	longPollWait = 20 * time.Second       // time for which the store holds a reading without news
	batchDelay   = 800 * time.Millisecond // wait after news, so that versions in quick succession are read together
	minBackoff   = 200 * time.Millisecond // first wait after a failed call
	maxBackoff   = 2 * time.Second
)

// publishedStream names published versions in the positions that nodes exchange.
const publishedStream = "published"

// backoff is the wait after failed calls in a row; the zero value starts anew.
type backoff struct{ delay time.Duration }

// next returns the next next, which is jittered so that nodes do not return at the same time.
func (b *backoff) next() time.Duration {
	b.delay = min(maxBackoff, max(minBackoff, 2*b.delay))
	return b.delay/2 + rand.N(b.delay)
}

// follow reads published versions until ctx ends: the newest first, then each one after it.
func (n *Node) follow(ctx context.Context) {
	var b backoff
	for ctx.Err() == nil {
		v, next, ok, err := n.contract.configSource.Newest(ctx)
		if ctx.Err() != nil {
			return
		}
		if !n.callSucceeded(ctx, err, &b) {
			continue
		}
		if ok {
			n.acceptVersion(v)
		}
		n.followFrom(ctx, next)
	}
}

// followFrom reads versions from an offset until records were missed or ctx ends.
func (n *Node) followFrom(ctx context.Context, next platform.Offset) {
	var b backoff
	for ctx.Err() == nil {
		versions, after, rejected, err := n.contract.configSource.Follow(ctx, next, longPollWait)
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

// callSucceeded notes how a call of the store ended; after a failed one it waits and returns false.
func (n *Node) callSucceeded(ctx context.Context, err error, b *backoff) bool {
	n.noteStore(err)
	if err != nil {
		n.sleep(ctx, b.next())
		return false
	}
	*b = backoff{}
	return true
}

// acceptVersion puts a version in force where it is newer and tells the neighbours.
func (n *Node) acceptVersion(v platform.Version) {
	n.mu.Lock()
	accepted := n.rollout.Publish(v.Number, v.Bundle)
	n.mu.Unlock()
	if accepted {
		n.installVersion(v.Number, "store")
	}
}

// installVersion installs a version that the rollout engine has taken and passes the news on.
func (n *Node) installVersion(number uint64, source string) {
	n.install()
	n.events.Add(event.Event{Kind: event.Bundle, Text: source})
	_ = level.Info(n.logger).Log("msg", "bundle", "version", number, "result", rollout.Accepted, "source", source)
	n.mu.Lock()
	neighbours := n.members.Neighbours()
	msg := n.members.Heartbeat()
	n.mu.Unlock()
	n.pushAll(neighbours, msg)
}
