package caller

import (
	"bytes"
	"io"
	"net/http"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/pkg/errors"
)

// replayBody is the number of bytes of a body that are kept so that it can be sent again.
const replayBody = 64 << 10

// Body is the body of a request: a small one is kept whole, a larger one is streamed once.
type Body struct {
	data   []byte
	rest   io.Reader
	length int64
	taken  bool
}

// ReadBody reads a small body whole; length is its size in bytes or -1, and the error is an *outcome.Error.
func ReadBody(src io.Reader, length int64) (*Body, error) {
	if src == nil || length == 0 {
		return &Body{}, nil
	}
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, src, replayBody)
	switch {
	case errors.Is(err, io.EOF):
		return &Body{data: buf.Bytes(), length: int64(buf.Len())}, nil
	case err == nil:
		return &Body{data: buf.Bytes(), rest: src, length: length}, nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeTooLarge, err)
	}
	return nil, outcome.NewError(outcome.NotRun, outcome.CodeBadRequest, errors.Wrap(err, "read body"))
}

// Prefix returns the bytes that are kept: the whole body, or the start of one that is streamed.
func (b *Body) Prefix() []byte { return b.data }

// Len returns the size of the body in bytes, or -1.
func (b *Body) Len() int64 { return b.length }

// CanOpen reports whether the body can be sent in another attempt.
func (b *Body) CanOpen() bool { return b.rest == nil || !b.taken }

// Replayable reports whether the body can be sent in any number of attempts.
func (b *Body) Replayable() bool { return b.rest == nil }

// Open returns the body for one attempt.
func (b *Body) Open() io.Reader {
	if b.rest == nil {
		return bytes.NewReader(b.data)
	}
	b.taken = true
	return io.MultiReader(bytes.NewReader(b.data), b.rest)
}
