package upstream

import (
	"bytes"
	"context"
	"io"
	"sync"
)

// whole is the body of an answer that was read to its end.
type whole struct{ *bytes.Reader }

// Close implements io.Closer.
func (whole) Close() error { return nil }

// SetContent makes data the whole body of the answer.
func (a *Response) SetContent(data []byte) {
	a.content, a.Body = data, nil
	a.Length = int64(len(data))
}

// Content returns the body of an answer that was read whole; ok is false while it must be streamed.
func (a *Response) Content() (data []byte, ok bool) { return a.content, a.Body == nil }

// Reader returns the body of the answer, whole or streamed.
func (a *Response) Reader() io.ReadCloser {
	if a.Body == nil {
		return whole{bytes.NewReader(a.content)}
	}
	return a.Body
}

// stream passes on the body of a large answer and reports how it ended.
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
		s.once.Do(func() { s.end(well) })
	case err == io.EOF:
		err = io.ErrUnexpectedEOF
		s.once.Do(func() { s.end(broken) })
	default:
		s.once.Do(func() { s.end(classify(s.ctx)) })
	}
	return n, err
}

// Close implements io.Closer.
func (s *stream) Close() error {
	s.once.Do(func() { s.end(neutral) })
	return s.ReadCloser.Close()
}
