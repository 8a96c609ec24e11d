package upstream

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/pkg/errors"
)

// bufferedBody is the body of a response that was read into memory.
type bufferedBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (bufferedBody) Close() error { return nil }

// SetContent sets data as the whole body of the response.
func (r *Response) SetContent(data []byte) {
	r.content, r.Body = data, nil
	r.Length = int64(len(data))
}

// Content returns the body of a response that was read into memory; ok is false if the body must be streamed.
func (r *Response) Content() (data []byte, ok bool) { return r.content, r.Body == nil }

// ReadSmall reads the body into memory if it is known to be small, so that a failure to read it can still be answered. The error is an
// *outcome.Error.
func (r *Response) ReadSmall() error {
	if r.Body == nil || r.Length < 0 || r.Length > maxBufferedResponseBytes {
		return nil
	}
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedResponseBytes))
	_ = r.Body.Close() // an error would say nothing more of a body that has been read
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return outcome.NewError(outcome.Unknown, outcome.CodeTimeout, err)
	case err != nil:
		return outcome.NewError(outcome.Unknown, outcome.CodeTruncated, err)
	}
	r.content, r.Body = data, nil // Length stays: the response to a HEAD request names one and has no body
	return nil
}

// Reader returns the body of the response, in memory or streamed.
func (r *Response) Reader() io.ReadCloser {
	if r.Body == nil {
		return bufferedBody{bytes.NewReader(r.content)}
	}
	return r.Body
}

// trackedBody is the body of a large response. It reports how reading it ended, and how long the upstream waited for its reader.
type trackedBody struct {
	io.ReadCloser
	ctx            context.Context
	expectedLength int64
	readLength     int64
	start          time.Time     // of the body
	lastRead       time.Time     // end of the last read, or start
	readerTime     time.Duration // time between reads, in which the reader did something else
	once           sync.Once
	onEnd          func(r result, readerTime time.Duration)
}

// newTrackedBody returns a body whose first byte was read at start.
func newTrackedBody(ctx context.Context, start time.Time, resp *Response, onEnd func(result, time.Duration)) *trackedBody {
	return &trackedBody{ReadCloser: resp.Body, ctx: ctx, expectedLength: resp.Length, start: start, lastRead: start, onEnd: onEnd}
}

// Read implements io.Reader.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.readerTime += time.Since(b.lastRead)
	n, err := b.ReadCloser.Read(p)
	b.lastRead = time.Now()
	b.readLength += int64(n)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && (b.expectedLength < 0 || b.readLength == b.expectedLength):
		b.end(succeeded)
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
		b.end(broken)
	default:
		b.end(b.classifyFailure(err))
	}
	return n, err
}

func (b *trackedBody) end(r result) {
	b.once.Do(func() { b.onEnd(r, b.readerTime) })
}

// classifyFailure returns the result of a body that failed before its end. One that is still coming when the deadline passes is a failure of the
// upstream, since it may never end, unless most of the time went by while its reader didn't read.
func (b *trackedBody) classifyFailure(err error) result {
	if r := classifyError(b.ctx, err); r != timedOut {
		return r
	}
	if b.readerTime > time.Since(b.start)/2 {
		return canceled
	}
	return failed
}

// Close implements io.Closer.
func (b *trackedBody) Close() error {
	b.end(canceled)
	return b.ReadCloser.Close()
}
