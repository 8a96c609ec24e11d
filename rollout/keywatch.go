package rollout

import "time"

// keyPause is the time without a key after which the next one is taken for the first.
const keyPause = 10 * time.Second

// KeyWatch tells since when callers send keys although the bundle in force requires none. The zero value has seen no key.
type KeyWatch struct{ first, last time.Time }

// Seen records a key that came at now, and returns the time since which keys come. A node that knows all versions that were published until
// then may take it that the keys are not for a version which it lacks.
func (w *KeyWatch) Seen(now time.Time) (since time.Time) {
	if w.last.IsZero() || now.Sub(w.last) > keyPause {
		w.first = now
	}
	w.last = now
	return w.first
}
