package rollout

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of the confirmations that nodes get from the readers of their data centre.
const (
	leaseTime       = 1500 * time.Millisecond // time after a request for confirmation during which its answer holds
	confirmInterval = time.Second             // interval between requests while they are answered
	retryInterval   = 100 * time.Millisecond  // interval between requests after one that got no confirmation
	demandTime      = 3 * time.Second         // time for which a node reads because another node asked it for confirmation
	maxFirstDelay   = 300 * time.Millisecond  // maximum time after the start until a node without a version reads it
	leaderStart     = 700 * time.Millisecond  // time after the start until the first candidate begins to follow
	otherStart      = 2 * time.Second         // time after the start until other nodes begin to follow without a confirmation
	returnTime      = 5 * time.Second         // time after which a node that relies on another candidate asks the first one again
	answerMargin    = 700 * time.Millisecond  // time beyond the wait of a read after which its answer is overdue
	maxDenials      = 2                       // number of answers without confirmation in a row after which another candidate is asked
)

// Reader decides whether a node reads the published versions from the log service itself. In a large fleet only the first candidate
// of each data centre does; the others ask it at short intervals to confirm that it does, and get the versions from it and from other
// nodes. A node without a confirmation reads by itself, so that a lost reader delays a version by no more than leaseTime.
type Reader struct {
	self       string
	startedAt  time.Time
	firstRead  time.Time     // a node that got no version from another node reads from then on
	known      bool          // a version is known
	candidates []string      // nodes that read for the data centre, by preference
	preferred  int           // index of the candidate that is asked next
	wait       time.Duration // how long the log service may hold a read

	leaseUntil  time.Time // another node has confirmed that it reads; holds until then
	demandUntil time.Time // other nodes rely on this node until then
	answeredAt  time.Time // last answer of the log service to this node
	nextAsk     time.Time
	returnAt    time.Time // the first candidate is asked again then
	denials     int       // answers without confirmation in a row
	asking      bool
}

// NewReader returns the reader of the named node; wait is how long the log service may hold a read without a new version. A node
// without a version waits a random part of maxFirstDelay for one from another node: when all start at once, the few that read first
// serve the others.
func NewReader(now time.Time, self string, wait time.Duration, rnd *rand.Rand) *Reader {
	return &Reader{self: self, startedAt: now, firstRead: now.Add(time.Duration(rnd.Int64N(int64(maxFirstDelay)))), wait: wait}
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

// Answered records an answer of the log service, whose versions this node has applied.
func (r *Reader) Answered(now time.Time) { r.answeredAt = now }

// Wait returns how long the log service may hold the next read. The first read after a pause isn't held, so that this node can confirm
// soon that it knows the newest version.
func (r *Reader) Wait(now time.Time) time.Duration {
	if r.current(now) {
		return r.wait
	}
	return 0
}

// current reports whether this node knows the newest version.
func (r *Reader) current(now time.Time) bool {
	return !r.answeredAt.IsZero() && now.Sub(r.answeredAt) <= r.wait+answerMargin
}

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

// Confirmed records the answer to a request for confirmation that was sent at sentAt. A node that doesn't confirm may just begin to
// read, so it is asked once more before the next candidate is.
func (r *Reader) Confirmed(sentAt time.Time, confirmed bool) {
	r.asking = false
	if confirmed {
		r.denials = 0
		r.leaseUntil, r.nextAsk = sentAt.Add(leaseTime), sentAt.Add(confirmInterval)
		return
	}
	r.denials++
	r.nextAsk = sentAt.Add(retryInterval)
	if r.denials >= maxDenials {
		r.askNext()
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
	r.askNext()
}

// askNext makes the next candidate the one to ask.
func (r *Reader) askNext() {
	r.preferred++
	r.denials = 0
}
