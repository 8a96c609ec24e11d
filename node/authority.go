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
	followWait    = 20 * time.Second       // time for which the store holds a reading without news
	gather        = 800 * time.Millisecond // wait after news, so that versions in quick succession are read together
	retryStore    = 200 * time.Millisecond // first wait after a failed call
	maxRetryStore = 2 * time.Second
)

// publishedStream names published versions in the positions that nodes exchange.
const publishedStream = "published"

// backoff is the wait after failed calls in a row; the zero value starts anew.
type backoff struct{ next time.Duration }

// wait returns the next wait, which is jittered so that nodes do not return at the same time.
func (b *backoff) wait() time.Duration {
	b.next = min(maxRetryStore, max(retryStore, 2*b.next))
	return b.next/2 + rand.N(b.next)
}

// follow reads published versions until ctx ends: the newest first, then each one after it.
func (n *Node) follow(ctx context.Context) {
	var b backoff
	for ctx.Err() == nil {
		v, next, ok, err := n.contract.authority.Newest(ctx)
		if ctx.Err() != nil {
			return
		}
		if !n.storeAnswered(ctx, err, &b) {
			continue
		}
		if ok {
			n.publish(v)
		}
		n.followFrom(ctx, next)
	}
}

// followFrom reads versions from an offset until records were missed or ctx ends.
func (n *Node) followFrom(ctx context.Context, next platform.Offset) {
	var b backoff
	for ctx.Err() == nil {
		list, after, bad, err := n.contract.authority.Follow(ctx, next, followWait)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, platform.ErrGap) {
			_ = level.Info(n.logger).Log("msg", "versions missed", "after", next, "err", err)
			n.sleep(ctx, gather/2+rand.N(gather/2))
			return
		}
		if !n.storeAnswered(ctx, err, &b) {
			continue
		}
		next = after
		for _, e := range bad {
			_ = level.Warn(n.logger).Log("msg", "version refused", "err", e)
		}
		for _, v := range list {
			n.publish(v)
		}
		if len(list)+len(bad) > 0 {
			n.sleep(ctx, gather)
		}
	}
}

// storeAnswered notes how a call of the store ended; after a failed one it waits and returns false.
func (n *Node) storeAnswered(ctx context.Context, err error, b *backoff) bool {
	n.recordStoreResult(err)
	if err != nil {
		n.sleep(ctx, b.wait())
		return false
	}
	*b = backoff{}
	return true
}

// publish puts a version in force where it is newer and tells the neighbours.
func (n *Node) publish(v platform.Version) {
	n.mu.Lock()
	fresh := n.rollout.Publish(v.Number, v.Bundle)
	n.mu.Unlock()
	if fresh {
		n.published(v.Number, "store")
	}
}

// published installs a version that the rollout engine has taken and passes the news on.
func (n *Node) published(number uint64, source string) {
	n.installBundle()
	n.events.Add(event.Event{Kind: event.Bundle, Text: source})
	_ = level.Info(n.logger).Log("msg", "bundle", "version", number, "result", rollout.Accepted, "source", source)
	n.mu.Lock()
	near := n.members.Neighbours()
	msg := n.members.Heartbeat()
	n.mu.Unlock()
	n.pushAll(near, msg)
}
