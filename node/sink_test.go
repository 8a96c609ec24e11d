package node_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/node"
	"github.com/matryer/is"
)

// stuckWriter blocks every write until unblock is closed, like a pipe whose reader has stopped reading.
type stuckWriter struct{ unblock chan struct{} }

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.unblock
	return len(p), nil
}

// TestLogSinkDoesNotBlock checks that writing more lines than fit in the buffer does not block while the writer is stuck.
func TestLogSinkDoesNotBlock(t *testing.T) {
	is := is.New(t)
	w := stuckWriter{make(chan struct{})}
	sink := node.NewLogSink(w)
	for range 10_000 {
		n, err := sink.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(sink.DroppedLines() > 0)
	close(w.unblock)
	sink.Flush(time.Minute)
}
