package upstream

import (
	"bytes"
	"context"
	"io"
	"sync"

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

// stream is the body of a large response. It reports how reading it ended.
type stream struct {
	io.ReadCloser
	ctx            context.Context
	expectedLength int64
	readLength     int64
	once           sync.Once
	onEnd          func(result)
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	s.readLength += int64(n)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && (s.expectedLength < 0 || s.readLength == s.expectedLength):
		s.once.Do(func() { s.onEnd(succeeded) })
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
		s.once.Do(func() { s.onEnd(broken) })
	default:
		s.once.Do(func() { s.onEnd(s.classifyFailure(err)) })
	}
	return n, err
}

// classifyFailure returns the result of a body that failed before its end. One that is still coming when the deadline passes is a
// failure of the upstream: it may never end.
func (s *stream) classifyFailure(err error) result {
	if r := classifyError(s.ctx, err); r != timedOut {
		return r
	}
	return failed
}

// Close implements io.Closer.
func (s *stream) Close() error {
	s.once.Do(func() { s.onEnd(canceled) })
	return s.ReadCloser.Close()
}
