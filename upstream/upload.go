package upstream

import (
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// resetDelay is the time after the end of a response in which an upstream that has closed its connection, rather than its side of it, resets it.
const resetDelay = 50 * time.Millisecond

// upload is a request that is sent while its response is read.
type upload struct {
	conn net.Conn
	done chan struct{} // closed when sending has ended
	err  error         // of sending; guarded by done

	mu       sync.Mutex // held during each write
	writeErr error      // of the first write that failed
}

// startUpload begins to send the request.
func startUpload(c net.Conn, req *http.Request) *upload {
	u := &upload{conn: c, done: make(chan struct{})}
	go func() {
		defer close(u.done)
		u.err = writeRequest(u, req)
	}()
	return u
}

// Write implements io.Writer.
func (u *upload) Write(p []byte) (int, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	n, err := u.conn.Write(p)
	if u.writeErr == nil {
		u.writeErr = err
	}
	return n, err
}

// complete reports whether the whole request has been sent.
func (u *upload) complete() bool {
	select {
	case <-u.done:
		return u.err == nil
	default:
		return false
	}
}

// interrupted returns the error of a write that failed up to resetDelay from now, or nil. It ends the upload.
func (u *upload) interrupted() error {
	timer := time.NewTimer(resetDelay)
	defer timer.Stop()
	select {
	case <-u.done:
	case <-timer.C:
	}
	_ = u.conn.SetWriteDeadline(time.Unix(1, 0)) // ends a write that waits for the upstream to read; fails if the connection is closed, as does the write
	u.mu.Lock()
	defer u.mu.Unlock()
	if errors.Is(u.writeErr, os.ErrDeadlineExceeded) {
		return nil
	}
	return u.writeErr
}

// closeDelimitedBody is the body of a response that ends with its connection and came while the request was being sent. The kernel reports the
// reset of a connection to one call only: if that is a write, reads return io.EOF, as after an orderly close.
type closeDelimitedBody struct {
	io.ReadCloser
	upload *upload
}

// Read implements io.Reader. If the connection was reset, the body ends with an error that wraps io.ErrUnexpectedEOF.
func (b *closeDelimitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != io.EOF {
		return n, err
	}
	if cause := b.upload.interrupted(); cause != nil {
		return n, errors.Wrapf(io.ErrUnexpectedEOF, "the response ended while the request was sent, which failed (%v)", cause)
	}
	return n, io.EOF
}
