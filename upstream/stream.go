package upstream

import (
	"bytes"
	"context"
	"io"
	"sync"
)

// bufferedBody is the body of a response that was read into memory.
type bufferedBody struct{ *bytes.Reader }

// Close implements io.Closer.
func (bufferedBody) Close() error { return nil }

// SetContent sets data as the whole body of the response.
func (a *Response) SetContent(data []byte) {
	a.content, a.Body = data, nil
	a.Length = int64(len(data))
}

// Content returns the body of a response that was read into memory; ok is false if the body must be streamed.
func (a *Response) Content() (data []byte, ok bool) { return a.content, a.Body == nil }

// Reader returns the body of the response, in memory or streamed.
func (a *Response) Reader() io.ReadCloser {
	if a.Body == nil {
		return bufferedBody{bytes.NewReader(a.content)}
	}
	return a.Body
}

// stream is the body of a large response. It reports how reading it ended.
type stream struct {
	io.ReadCloser
	ctx  context.Context
	want int64
	got  int64
	once sync.Once
	end  func(result)
}

// Read implements io.Reader.
func (s *stream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	s.got += int64(n)
	switch {
	case err == nil:
		return n, nil
	case err == io.EOF && (s.want < 0 || s.got == s.want):
		s.once.Do(func() { s.end(succeeded) })
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
		s.once.Do(func() { s.end(broken) })
	default:
		s.once.Do(func() { s.end(classifyContext(s.ctx)) })
	}
	return n, err
}

// Close implements io.Closer.
func (s *stream) Close() error {
	s.once.Do(func() { s.end(canceled) })
	return s.ReadCloser.Close()
}
