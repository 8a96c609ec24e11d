package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/retry"
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

// readPosition is the position from which a node reads on in the log of the published versions. The zero value is unknown.
type readPosition struct {
	cursor platform.Cursor
	known  bool
	since  time.Time // when it became known
}

// newVersions is the answer to a read: the versions, an error for each invalid one, and the position after them.
type newVersions struct {
	versions []platform.Version
	rejected []error
	next     platform.Cursor
}

func (v newVersions) count() int { return len(v.versions) + len(v.rejected) }

// followVersions reads the published versions whenever this node is to read them, until ctx ends.
func (n *Node) followVersions(ctx context.Context) {
	var b backoff
	var position readPosition
	for n.awaitReading(ctx) {
		if position.known {
			n.readVersions(ctx, &position, &b)
		} else {
			n.readNewest(ctx, &position, &b)
		}
	}
}

// awaitReading waits until this node is to read the published versions; it returns false once ctx has ended.
func (n *Node) awaitReading(ctx context.Context) bool {
	for ctx.Err() == nil {
		now := n.bootTime()
		n.mu.Lock()
		reads, wait := n.versionReader.Reads(now), n.versionReader.ReadsIn(now, n.readerInterval())
		n.mu.Unlock()
		if reads {
			return true
		}
		n.sleep(ctx, wait)
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

// readNewest reads the newest version, and sets the position after it.
func (n *Node) readNewest(ctx context.Context, position *readPosition, b *backoff) {
	sentAt := n.bootTime()
	answer, err := n.read(ctx, versionRead{sentAt: sentAt}, func(ctx context.Context, s *platform.ConfigSource) (v newVersions, err error) {
		v.versions, v.next, v.rejected, err = s.Newest(ctx)
		return v, err
	})
	if ctx.Err() != nil || !n.callSucceeded(ctx, err, sentAt, b) {
		return
	}
	*position = readPosition{cursor: answer.next, known: true, since: time.Now()}
	n.applyVersions(answer)
}

// readVersions reads the versions from the position on, waits for the first, and moves the position, which becomes unknown if it means
// nothing in the log.
func (n *Node) readVersions(ctx context.Context, position *readPosition, b *backoff) {
	sentAt := n.bootTime()
	n.mu.Lock()
	hold := n.versionReader.Hold(sentAt)
	n.mu.Unlock()
	from := position.cursor
	answer, err := n.read(ctx, versionRead{from: from.Offset, hold: hold, sentAt: sentAt}, func(ctx context.Context, s *platform.ConfigSource) (v newVersions, err error) {
		v.versions, v.next, v.rejected, err = s.Follow(ctx, from, hold)
		return v, err
	})
	switch {
	case ctx.Err() != nil:
	case platform.LostPosition(err):
		n.recordReadFailed()
		n.sleep(ctx, lostPositionDelay(time.Since(position.since)))
		position.known = false
	case n.callSucceeded(ctx, err, sentAt, b):
		position.cursor = answer.next
		n.applyVersions(answer)
		if answer.count() > 0 {
			n.sleep(ctx, batchDelay)
		}
	}
}

// lostPositionDelay returns the delay until a node asks for the newest version whose position, known for the given time, means nothing in
// the log any more. It is short, since a version may be missing, unless the log service has just given out that position.
func lostPositionDelay(known time.Duration) time.Duration {
	if known < batchDelay {
		return batchDelay/2 + rand.N(batchDelay/2)
	}
	return rand.N(shortestDelay)
}

// read makes a read, and makes it once more over a new connection if it isn't answered soon: the connection may have gone silent.
func (n *Node) read(ctx context.Context, r versionRead, call func(context.Context, *platform.ConfigSource) (newVersions, error)) (newVersions, error) {
	n.mu.Lock()
	n.versionReader.Sent(r.sentAt, r.hold)
	answerTime, repeatTime := n.versionReader.AnswerTime(), n.versionReader.RepeatTime()
	n.mu.Unlock()
	readCtx, cancel := context.WithTimeout(ctx, r.hold+answerTime)
	defer cancel()
	answer, err := retry.Race(readCtx, r.hold+repeatTime, func(ctx context.Context) (newVersions, error) {
		return call(ctx, n.protocols.configSource)
	}, func(ctx context.Context) (newVersions, error) {
		n.recordReadRepeated(r)
		return call(ctx, n.protocols.spareSource)
	})
	if ctx.Err() == nil {
		done := r // the repeated read may still begin, and record r
		done.versions, done.err = answer.count(), err
		n.recordRead(done)
	}
	return answer, err
}

// applyVersions applies an answer of the log service and records that it was applied.
func (n *Node) applyVersions(answer newVersions) {
	n.metrics.configProblems.WithLabelValues("version").Add(float64(len(answer.rejected)))
	for _, e := range answer.rejected {
		_ = level.Warn(n.logger).Log("msg", "version refused", "err", e)
	}
	for _, v := range answer.versions {
		n.acceptVersion(v)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.versionReader.Answered(n.bootTime(), answer.count() > 0)
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
		n.sleep(ctx, b.next(n.bootTime().Sub(sentAt)))
		return false
	}
	*b = backoff{}
	return true
}

// acceptVersion puts a version in force if it is newer than the current one.
func (n *Node) acceptVersion(v platform.Version) {
	n.mu.Lock()
	accepted := n.rollout.Publish(v.Number, v.Bundle)
	n.mu.Unlock()
	if !accepted {
		return
	}
	n.logConfigProblems("entry refused", "entry", v.Number, v.Refused)
	n.logConfigProblems("version adjusted", "value", v.Number, v.Adjusted)
	n.installVersion(v.Number, "store")
}

// maxLoggedProblems is the maximum number of lines on the problems of one kind with a version.
const maxLoggedProblems = 32

// logConfigProblems writes a line for each problem of a kind with a version that is in force all the same, up to maxLoggedProblems, and counts them
// all.
func (n *Node) logConfigProblems(msg, kind string, version uint64, problems []string) {
	n.metrics.configProblems.WithLabelValues(kind).Add(float64(len(problems)))
	for _, what := range problems[:min(len(problems), maxLoggedProblems)] {
		_ = level.Warn(n.logger).Log("msg", msg, "version", version, "what", what, "of", len(problems))
	}
}

// installVersion puts the version that the rollout engine has accepted in force and tells other nodes, which pass it on.
func (n *Node) installVersion(number uint64, source string) {
	start := time.Now()
	n.installBundle()
	n.events.Add(event.Event{Kind: event.Bundle, Text: source})
	_ = level.Info(n.logger).Log("msg", "bundle", "version", number, "digest", n.Bundle().Digest(), "result", rollout.Accepted, "source", source, "took", time.Since(start))
	n.mu.Lock()
	n.versionReader.VersionKnown()
	targets := n.members.PushTargets()
	msg := n.members.Heartbeat()
	n.mu.Unlock()
	n.push(targets, msg)
}
