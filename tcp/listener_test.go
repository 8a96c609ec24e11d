package tcp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"

	"github.com/jasminevane/jasminevane/tcp"
	"github.com/matryer/is"
)

// TestStoppedListenerCutsNoWaitingConnection connects to listeners just before, while and after they stop. Each connection that was opened is served.
func TestStoppedListenerCutsNoWaitingConnection(t *testing.T) {
	const rounds, callers = 200, 20
	is := is.New(t)
	for range rounds {
		ln, err := tcp.Listen("127.0.0.1:0")
		is.NoErr(err)
		ended := make(chan error, 1)
		go func() { ended <- greetAll(ln) }()
		cuts := make(chan error, callers)
		var wg sync.WaitGroup
		for range callers {
			wg.Add(1)
			go func() {
				defer wg.Done()
				if err := readGreeting(ln.Addr().String()); err != nil {
					cuts <- err
				}
			}()
		}
		is.NoErr(ln.Stop(context.Background()))
		wg.Wait()
		close(cuts)
		for err := range cuts {
			is.NoErr(err)
		}
		is.True(errors.Is(<-ended, net.ErrClosed))
	}
}

// greetAll greets and closes each connection until the listener closes.
func greetAll(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return err
		}
		_, err = io.WriteString(conn, "x")
		if err := errors.Join(err, conn.Close()); err != nil {
			return err
		}
	}
}

// readGreeting returns an error if a connection was opened but not greeted.
func readGreeting(address string) error {
	conn, err := net.Dial("tcp", address)
	if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
		return nil // it was not opened
	}
	if err != nil {
		return err
	}
	data, err := io.ReadAll(conn)
	if err == nil && string(data) != "x" {
		err = fmt.Errorf("read %q", data)
	}
	return errors.Join(err, conn.Close())
}
