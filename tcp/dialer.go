package tcp

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer opens TCP connections. The zero value notices no lost peer.
type Dialer struct {
	Timeout    time.Duration       // to connect; 0 for none
	AckTimeout time.Duration       // time without acknowledgement of sent data after which the kernel closes a connection; 0 for its default
	Probes     net.KeepAliveConfig // of idle connections
}

// Net returns the dialer of the standard library with these settings.
func (d Dialer) Net() *net.Dialer {
	nd := &net.Dialer{Timeout: d.Timeout, KeepAliveConfig: d.Probes}
	if d.AckTimeout > 0 {
		nd.Control = d.setAckTimeout
	}
	return nd
}

func (d Dialer) setAckTimeout(_, _ string, c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.AckTimeout.Milliseconds()))
	})
	if err == nil {
		err = sockErr
	}
	return err
}
