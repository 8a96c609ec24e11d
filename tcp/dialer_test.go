package tcp_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/tcp"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

func TestDialerSetsLimitsForLostPeers(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	probes := net.KeepAliveConfig{Enable: true, Idle: 2 * time.Second, Interval: 3 * time.Second, Count: 1}
	d := tcp.Dialer{Timeout: time.Second, AckTimeout: 1500 * time.Millisecond, Probes: probes}
	c, err := d.Net().DialContext(context.Background(), "tcp", ln.Addr().String())
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	raw, err := c.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	options := []struct{ option, want int }{
		{unix.TCP_USER_TIMEOUT, 1500}, {unix.TCP_KEEPIDLE, 2}, {unix.TCP_KEEPINTVL, 3}, {unix.TCP_KEEPCNT, 1},
	}
	for _, o := range options {
		var got int
		var sockErr error
		is.NoErr(raw.Control(func(fd uintptr) { got, sockErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, o.option) }))
		is.NoErr(sockErr)
		is.Equal(got, o.want)
	}
}
