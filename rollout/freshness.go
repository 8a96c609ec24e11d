package rollout

import "time"

// Freshness tells until when a node has known all versions that were published. The zero value is that of a node that has never confirmed
// that its version is the newest.
type Freshness struct{ knownUntil time.Time }

// Advance records that the node knows all versions that were published until t.
func (f *Freshness) Advance(t time.Time) {
	if t.After(f.knownUntil) {
		f.knownUntil = t
	}
}

// Age returns for how long the node has not known whether a newer version was published; known is false if it never knew.
func (f Freshness) Age(now time.Time) (age time.Duration, known bool) {
	return max(0, now.Sub(f.knownUntil)), !f.knownUntil.IsZero()
}

// Covers reports whether the node knows all versions that were published until t.
func (f Freshness) Covers(t time.Time) bool { return !f.knownUntil.Before(t) }

// Within reports whether the node has confirmed, at most the given time ago, that it had the newest version.
func (f Freshness) Within(now time.Time, limit time.Duration) bool {
	return !f.knownUntil.IsZero() && now.Sub(f.knownUntil) <= limit
}
