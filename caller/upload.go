package caller

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/pkg/errors"
)

// Bounds of the memory that holds bodies of requests.
const (
	maxUploadBytes = 32 << 20                         // bodies of all requests of a node; beyond it, further ones are refused
	streamedBytes  = maxReplayBodyBytes + (128 << 10) // what a streamed body holds: its start, and what a connection has received or is about to send
)

// uploads counts the bytes that the bodies of the requests which are being served hold in memory. The zero value counts none.
type uploads struct {
	mu   sync.Mutex
	held int64
}

// take adds a body of the given length, or -1 if it is unknown, and returns the function that removes it. The error is an *outcome.Error.
func (u *uploads) take(length int64) (release func(), err error) {
	if length < 0 || length > maxReplayBodyBytes {
		length = streamedBytes
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.held+length > maxUploadBytes {
		return func() {}, outcome.NewError(outcome.NotRun, outcome.CodeOverload, errors.New("the node has no memory for a further body"))
	}
	u.held += length
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.held -= length
	}, nil
}

// timedBody is the body of a request that is read until the deadline of the request at the latest: a caller that stops sending would keep its
// request, and what has come of it, for as long as it stays connected.
type timedBody struct {
	io.ReadCloser
	w     http.ResponseWriter
	mu    sync.Mutex
	ended bool // the body was read to its end, or its request has been served
	timer *time.Timer
}

// newTimedBody returns the body of a request to which w responds.
func newTimedBody(w http.ResponseWriter, body io.ReadCloser, deadline time.Time) *timedBody {
	b := &timedBody{ReadCloser: body, w: w}
	b.timer = time.AfterFunc(time.Until(deadline), b.expire)
	return b
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end()
	}
	return n, err
}

// end lifts the deadline: from now on a read of the connection waits for the next request only.
func (b *timedBody) end() {
	b.timer.Stop()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ended = true
}

func (b *timedBody) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ended {
		_ = http.NewResponseController(b.w).SetReadDeadline(time.Unix(1, 0)) // fails if the connection is closed, and then reading fails, too
	}
}
