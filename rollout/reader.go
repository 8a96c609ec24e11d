package rollout

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of the confirmations that nodes get from the readers of their data centre.
const (
	retryInterval = 100 * time.Millisecond // interval between requests after one that got no confirmation
	demandTime    = 3 * time.Second        // time for which a node reads because another node asked it for confirmation
	maxFirstDelay = 300 * time.Millisecond // maximum time after the start until a node without a version reads it
	leaderStart   = 700 * time.Millisecond // time after the start until the first candidate begins to follow
	otherStart    = 2 * time.Second        // time after the start until other nodes begin to follow without a confirmation
	returnTime    = 5 * time.Second        // time after which a node that relies on another candidate asks the first one again
	maxDenials    = 2                      // number of answers without confirmation in a row after which another candidate is asked
)

// Shares of the time within which a version must be in force. A reader that loses the log service without a sign confirms for
// proofShare, and what it confirmed holds for leaseShare after it; the rest is for the nodes that relied on it to read for themselves.
const (
	holdShare   = 0.33 // how long the log service may hold a read
	answerShare = 0.50 // how long an answer may take beyond that: nothing but time tells that a connection has gone silent
	repeatShare = 0.06 // how long an answer may take beyond the hold until the read is made once more, over another connection
	proofShare  = 0.48 // age of what a candidate knows up to which it confirms
	leaseShare  = 0.40 // time after a request for confirmation during which its answer holds
	askShare    = 0.20 // interval between requests while they are answered
	waitShare   = 0.10 // time to wait for the answer to a request
)

// Reader decides whether a node reads the published versions from the log service itself. The first candidate of each data centre does;
// the others ask it at short intervals to confirm that it does, and get the versions from it and from other
// nodes. A node without a confirmation reads by itself. A node that is the only candidate relies on nobody.
type Reader struct {
	self       string
	startedAt  time.Time
	firstRead  time.Time // a node that got no version from another node reads from then on
	known      bool      // a version is known
	candidates []string  // nodes that read for the data centre, by preference
	preferred  int       // index of the candidate that is asked next

	hold, answerTime, repeatTime, proofTime, leaseTime, askInterval, askTimeout time.Duration // see the shares above

	leaseUntil  time.Time     // another node has confirmed that it reads; holds until then
	demandUntil time.Time     // other nodes rely on this node until then
	sentAt      time.Time     // start of the last read
	sentHold    time.Duration // how long that read may be held
	currentAt   time.Time     // this node knows all versions that were published until then
	nextAsk     time.Time
	returnAt    time.Time // the first candidate is asked again then
	denials     int       // answers without confirmation in a row
	asking      bool
	freshness   Freshness // of the version in force here
}

// NewReader returns the reader of the named node; a published version must be in force at all nodes within the time apply. A node
// without a version waits a random part of maxFirstDelay for one from another node: when all start at once, the few that read first
// serve the others.
func NewReader(now time.Time, self string, apply time.Duration, rnd *rand.Rand) *Reader {
	share := func(s float64) time.Duration { return time.Duration(s * float64(apply)) }
	return &Reader{
		self: self, startedAt: now, firstRead: now.Add(time.Duration(rnd.Int64N(int64(maxFirstDelay)))),
		hold: share(holdShare), answerTime: share(answerShare), repeatTime: share(repeatShare), proofTime: share(proofShare), leaseTime: share(leaseShare), askInterval: share(askShare), askTimeout: share(waitShare),
	}
}

// VersionKnown records that the node has a version.
func (r *Reader) VersionKnown() { r.known = true }

// SetCandidates sets the nodes that may read for the data centre, by preference.
func (r *Reader) SetCandidates(names []string) {
	if slices.Equal(names, r.candidates) {
		return
	}
	r.candidates, r.preferred = slices.Clone(names), 0
}

// Reads reports whether this node is to read the published versions now.
func (r *Reader) Reads(now time.Time) bool {
	switch age := now.Sub(r.startedAt); {
	case !r.known:
		return !now.Before(r.firstRead)
	case now.Before(r.demandUntil):
		return true
	case r.first():
		return age >= leaderStart
	default:
		return age >= otherStart && !now.Before(r.leaseUntil)
	}
}

func (r *Reader) first() bool { return len(r.candidates) > 0 && r.candidates[0] == r.self }

// Hold returns how long the log service may hold the next read. The hold is short at every node, since a read may never be answered. The
// first read after a pause, after new versions or after a failure isn't held: a node that begins to read may lack a version, and a missing answer to
// a read that isn't held is noticed at once.
func (r *Reader) Hold(now time.Time) time.Duration {
	return max(0, r.hold-now.Sub(r.currentAt))
}

// RepeatTime returns how long the answer to a read may take, not counting the hold, before the read is made once more in parallel.
func (r *Reader) RepeatTime() time.Duration { return r.repeatTime }

// ReadsIn returns the time after which Reads may return true for want of a confirmation, at most limit.
func (r *Reader) ReadsIn(now time.Time, limit time.Duration) time.Duration {
	if left := r.leaseUntil.Sub(now); left > 0 {
		return min(left, limit)
	}
	return limit
}

// AnswerTime returns how long the answer to a read may take, not counting the hold, before the read is given up.
func (r *Reader) AnswerTime() time.Duration { return r.answerTime }

// Sent records that a read was sent, which the log service may hold for the given time.
func (r *Reader) Sent(now time.Time, hold time.Duration) { r.sentAt, r.sentHold = now, hold }

// Answered records the answer to the read that was sent last, whose versions this node has applied. The answer may have been long on
// its way: it tells of the versions up to the time when the read was sent or, if it was held to the end for lack of news, of that time.
func (r *Reader) Answered(now time.Time, news bool) {
	r.currentAt = r.sentAt
	if end := r.sentAt.Add(r.sentHold); !news && !now.Before(end) {
		r.currentAt = end
	}
	r.freshness.Advance(r.currentAt)
}

// Freshness tells until when this node has known all published versions, by its own reads or by the word of another node.
func (r *Reader) Freshness() Freshness { return r.freshness }

// Failed records that a read was refused, got no answer or found that records are missing: a version may be unknown to this node.
func (r *Reader) Failed() { r.currentAt = time.Time{} }

// current reports whether this node has known the newest version a short time ago.
func (r *Reader) current(now time.Time) bool { return now.Sub(r.currentAt) <= r.proofTime }

// Confirms answers another node's request: it reports whether this node reads and knows the newest version. If it doesn't read, it
// begins to, unless it has just started.
func (r *Reader) Confirms(now time.Time) bool {
	if now.Sub(r.startedAt) >= otherStart {
		r.demandUntil = now.Add(demandTime)
	}
	return r.current(now)
}

// Ask returns the name of the node to ask for confirmation now; ok is false if no request is due.
func (r *Reader) Ask(now time.Time) (name string, ok bool) {
	if r.asking || r.first() || now.Before(r.nextAsk) {
		return "", false
	}
	if !now.Before(r.returnAt) {
		r.preferred, r.returnAt = 0, now.Add(returnTime)
	}
	for range r.candidates {
		name := r.candidates[r.preferred%len(r.candidates)]
		if name != r.self {
			r.asking = true
			return name, true
		}
		r.preferred++
	}
	return "", false
}

// AskTimeout returns how long to wait for the answer to a request for confirmation.
func (r *Reader) AskTimeout() time.Duration { return r.askTimeout }

// Confirmed records the answer to a request for confirmation that was sent at sentAt. A node that doesn't confirm may just begin to
// read, so it is asked once more before the next candidate is.
func (r *Reader) Confirmed(sentAt time.Time, confirmed bool) {
	r.asking = false
	if confirmed {
		r.denials = 0
		r.freshness.Advance(sentAt.Add(-r.proofTime)) // a reader confirms what it knew at most proofTime ago
		r.leaseUntil, r.nextAsk = sentAt.Add(r.leaseTime), sentAt.Add(r.askInterval)
		return
	}
	r.denials++
	r.nextAsk = sentAt.Add(retryInterval)
	if r.denials >= maxDenials {
		r.askNext(sentAt)
	}
}

// Behind records that the answer to a request that was sent at sentAt came from a node with a newer version than this one has. What that
// node confirms says nothing of the version in force here, so this node reads by itself unless it gets the version before its lease ends.
func (r *Reader) Behind(sentAt time.Time) {
	r.asking = false
	r.nextAsk = sentAt.Add(retryInterval)
}

// Unanswered records that a request for confirmation that was sent at sentAt got no answer.
func (r *Reader) Unanswered(sentAt time.Time) {
	r.asking = false
	r.nextAsk = sentAt.Add(retryInterval)
	r.askNext(sentAt)
}

// askNext makes the next candidate the one to ask, for some time.
func (r *Reader) askNext(now time.Time) {
	r.preferred++
	r.denials, r.returnAt = 0, now.Add(returnTime)
}
