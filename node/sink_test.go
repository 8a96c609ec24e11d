package node_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/node"
	"github.com/matryer/is"
)

// stuckWriter blocks every write until release is closed, like a pipe whose reader has stopped.
type stuckWriter struct{ release chan struct{} }

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	return len(p), nil
}

// TestSinkDoesNotBlock writes more lines than the sink can buffer while its writer is stuck.
func TestSinkDoesNotBlock(t *testing.T) {
	is := is.New(t)
	w := stuckWriter{make(chan struct{})}
	s := node.NewSink(w)
	for range 10_000 {
		n, err := s.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(s.Dropped() > 0)
	close(w.release)
	s.Flush(time.Minute)
}
