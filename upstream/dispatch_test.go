package upstream

import (
	"context"
	"net"
	"os"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
)

func TestConnectionDeadlineCountsAsTimeout(t *testing.T) {
	is := is.New(t)
	err := errors.Wrap(&net.OpError{Op: "read", Net: "tcp", Err: os.ErrDeadlineExceeded}, "read response")
	is.Equal(classifyError(context.Background(), err), timedOut) // the context's own deadline is noticed later
	is.Equal(classifyError(context.Background(), errors.New("reset")), broken)
	canceledCtx, cancel := context.WithCancel(context.Background())
	cancel()
	is.Equal(classifyError(canceledCtx, errors.New("closed")), canceled)
}
