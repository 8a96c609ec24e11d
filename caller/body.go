package caller

import (
	"bytes"
	"io"
	"net/http"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/pkg/errors"
)

// maxReplayBodyBytes is the size up to which a body is buffered, so that it can be sent again.
const maxReplayBodyBytes = 64 << 10

// Body is the body of a request. A small body is buffered; a larger one is streamed and can be read once.
type Body struct {
	data   []byte
	stream io.Reader
	length int64
	opened bool
}

// ReadBody reads a small body into memory and the start of a larger one.
// The length is the size of the body in bytes, or -1 if unknown; the error is an *outcome.Error.
func ReadBody(src io.Reader, length int64) (*Body, error) {
	if src == nil || length == 0 {
		return &Body{}, nil
	}
	var buf bytes.Buffer
	if length > 0 {
		buf.Grow(int(min(length, maxReplayBodyBytes)) + bytes.MinRead)
	}
	_, err := io.CopyN(&buf, src, maxReplayBodyBytes)
	switch {
	case errors.Is(err, io.EOF):
		return &Body{data: buf.Bytes(), length: int64(buf.Len())}, nil
	case err == nil:
		return &Body{data: buf.Bytes(), stream: src, length: length}, nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeTooLarge, err)
	}
	return nil, outcome.NewError(outcome.NotRun, outcome.CodeBadRequest, errors.Wrap(err, "read body"))
}

// Prefix returns the buffered bytes: the whole body, or the start of a streamed one.
func (b *Body) Prefix() []byte { return b.data }

// Len returns the size of the body in bytes, or -1 if unknown.
func (b *Body) Len() int64 { return b.length }

// CanOpen reports whether the body can be sent in another attempt.
func (b *Body) CanOpen() bool { return b.stream == nil || !b.opened }

// Replayable reports whether the body can be sent in any number of attempts.
func (b *Body) Replayable() bool { return b.stream == nil }

// Open returns the body for one attempt.
func (b *Body) Open() io.Reader {
	if b.stream == nil {
		return bytes.NewReader(b.data)
	}
	b.opened = true
	return io.MultiReader(bytes.NewReader(b.data), b.stream)
}
