package upstream

import (
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// PromisesNotRun reports whether a status tells callers that their request did not run and never will. Only the system says so, on proof.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyBufferSize is the size in bytes of the buffer that copies a streamed response.
const copyBufferSize = 32 << 10

// Bound makes the bounds of s hold while the response is sent.
func (r *Response) Bound(s *Streams) { r.streams = s }

// Send writes the response to w. When it returns an error the header may have been sent, so the connection must be closed.
func (r *Response) Send(w http.ResponseWriter) error {
	h := w.Header()
	for k, v := range r.Header {
		h[k] = v
	}
	data, ok := r.Content()
	if ok {
		if r.Length >= 0 {
			h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
		}
		x := r.streams.open(w, int64(len(data)))
		defer x.close()
		x.stall()
		w.WriteHeader(r.Status)
		if _, err := w.Write(data); err != nil && len(data) > 0 {
			return errors.Wrap(err, "send response")
		}
		r.sendTrailer(h)
		return nil
	}
	defer r.Body.Close()
	if r.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	x := r.streams.open(w, streamBytes)
	defer x.close()
	w.WriteHeader(r.Status)
	if err := copyFlush(w, r.Body, x); err != nil {
		return errors.Wrap(err, "stream response")
	}
	r.sendTrailer(h)
	return nil
}

func (r *Response) sendTrailer(h http.Header) {
	if r.Trailer == nil {
		return
	}
	for k, v := range r.Trailer() {
		h[http.TrailerPrefix+k] = v
	}
}

// copyFlush copies src to w and flushes after every read, so that streamed data is not delayed.
func copyFlush(w http.ResponseWriter, src io.Reader, x *sending) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBufferSize)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			x.stall()
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if ferr := rc.Flush(); ferr != nil {
				return ferr
			}
			x.progress()
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
