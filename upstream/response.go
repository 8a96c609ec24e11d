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
	w.WriteHeader(r.Status)
	if err := copyFlush(w, r.Body); err != nil {
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
func copyFlush(w http.ResponseWriter, src io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBufferSize)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
			if ferr := rc.Flush(); ferr != nil {
				return ferr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
