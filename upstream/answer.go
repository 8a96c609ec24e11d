package upstream

import (
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
)

// copyBuffer is the size of the buffer through which a large answer is streamed.
const copyBuffer = 32 << 10

// Send writes the answer to w; after an error the head may have been sent and the connection must be cut.
func (a *Response) Send(w http.ResponseWriter) error {
	h := w.Header()
	for k, v := range a.Header {
		h[k] = v
	}
	data, ok := a.Content()
	if ok {
		if a.Length >= 0 {
			h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
		}
		w.WriteHeader(a.Status)
		if _, err := w.Write(data); err != nil && len(data) > 0 {
			return errors.Wrap(err, "send answer")
		}
		a.sendTrailer(h)
		return nil
	}
	defer a.Body.Close()
	if a.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.Length, 10))
	}
	w.WriteHeader(a.Status)
	if err := copyFlush(w, a.Body); err != nil {
		return errors.Wrap(err, "stream answer")
	}
	a.sendTrailer(h)
	return nil
}

func (a *Response) sendTrailer(h http.Header) {
	if a.Trailer == nil {
		return
	}
	for k, v := range a.Trailer() {
		h[http.TrailerPrefix+k] = v
	}
}

// copyFlush copies src to w and flushes after every read, so that a stream is not held back.
func copyFlush(w http.ResponseWriter, src io.Reader) error {
	rc := http.NewResponseController(w)
	buf := make([]byte, copyBuffer)
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
