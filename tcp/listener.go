package tcp

import (
	"context"
	"net"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Limits of the end of a listener.
const (
	quietTime   = 5 * time.Millisecond   // a stopping listener closes once no connection came for this long
	maxStopTime = 100 * time.Millisecond // it goes on to close after this time at the latest
)

// stopPhase is how far a listener has come on its way to close.
type stopPhase int

const (
	accepting stopPhase = iota
	emptying            // connections that wait and new ones are still accepted
	refusing            // the kernel drops new connections; those that it has begun to open are still accepted
)

// Listener is a TCP listener that can be stopped without loss: it still returns the connections that wait to be accepted, which the
// kernel resets if a listener is just closed.
type Listener struct {
	*net.TCPListener
	stopped chan struct{} // closed once Accept has returned the last connection
	mu      sync.Mutex
	phase   stopPhase
	closeBy time.Time // end of the phase emptying
}

// Listen returns a listener on the address.
func Listen(address string) (*Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: ln.(*net.TCPListener), stopped: make(chan struct{})}, nil
}

// Accept implements net.Listener. After Stop it returns net.ErrClosed once no connection waits.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.TCPListener.Accept()
		if err == nil {
			return conn, l.awaitNext()
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !l.refuseNew() && !l.waiting() {
			_ = l.Close() // its error would hide that the listener has stopped
			close(l.stopped)
			return nil, net.ErrClosed
		}
		if err := l.awaitNext(); err != nil {
			return nil, err
		}
	}
}

// waiting reports whether a connection waits to be accepted. Accept doesn't look for one if its deadline has passed before it begins.
func (l *Listener) waiting() bool {
	raw, err := l.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// Stop makes Accept close the listener once no connection waits to be accepted, and waits until it has returned the last one or ctx ends.
func (l *Listener) Stop(ctx context.Context) error {
	l.mu.Lock()
	l.phase, l.closeBy = emptying, time.Now().Add(maxStopTime)
	l.mu.Unlock()
	if err := l.awaitNext(); err != nil {
		return err
	}
	select {
	case <-l.stopped:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// awaitNext sets the time by which the next connection must come if the listener is on its way to close.
func (l *Listener) awaitNext() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.phase == accepting {
		return nil
	}
	deadline := time.Now().Add(quietTime)
	if l.phase == emptying && deadline.After(l.closeBy) {
		deadline = l.closeBy
	}
	return l.SetDeadline(deadline)
}

// refuseNew makes the kernel drop new connections and reports whether some that it has begun to open may still come.
func (l *Listener) refuseNew() bool {
	l.mu.Lock()
	stopped := l.phase == refusing
	l.phase = refusing
	l.mu.Unlock()
	return !stopped && l.dropSYN() == nil
}

// Offsets and flags of the TCP header.
const (
	flagsOffset = 13
	flagSYN     = 0x02
	flagACK     = 0x10
)

// dropSYN attaches a filter that drops the first packet of new connections. Their callers send it again after the listener has closed.
func (l *Listener) dropSYN() error {
	const acceptPacket = 0xffffffff
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: flagSYN | flagACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: flagSYN, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: 0},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptPacket},
	}
	raw, err := l.SyscallConn()
	if err != nil {
		return err
	}
	var sockErr error
	err = raw.Control(func(fd uintptr) {
		filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
		sockErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter)
	})
	if err == nil {
		err = sockErr
	}
	return errors.Wrap(err, "attach filter")
}
