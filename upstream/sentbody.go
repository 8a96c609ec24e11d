package upstream

import (
	"io"
	"sync"
	"time"
)

// sentBody is the body of a request that is sent to the upstream. It measures the time for which the upstream had to wait for it, which is no part of
// what the upstream takes.
type sentBody struct {
	io.Reader
	mu      sync.Mutex
	waited  time.Duration
	reading time.Time // start of the read that is under way, or zero
}

// newSentBody makes the body of an attempt measure how long the upstream waits for it. One that is sent in one write is nil.
func newSentBody(a *Attempt) *sentBody {
	if a.Body == nil || a.Length >= 0 && a.Length <= maxBufferedBodyBytes {
		return nil
	}
	b := &sentBody{Reader: a.Body}
	a.Body = b
	return b
}

// Read implements io.Reader.
func (b *sentBody) Read(p []byte) (int, error) {
	b.mark(time.Now())
	n, err := b.Reader.Read(p)
	b.mark(time.Time{})
	return n, err
}

// mark ends the read that is under way, if any, and begins one at start unless that is zero.
func (b *sentBody) mark(start time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.reading.IsZero() {
		b.waited += time.Since(b.reading)
	}
	b.reading = start
}

// awaited returns how long the upstream had to wait by now. A nil body keeps nobody waiting.
func (b *sentBody) awaited(now time.Time) time.Duration {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reading.IsZero() {
		return b.waited
	}
	return b.waited + now.Sub(b.reading)
}
