package peer

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer/peerv1"
	"github.com/jasminevane/jasminevane/peer/peerv1/peerv1connect"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Timing of connections between nodes.
const (
	dialTimeout = 250 * time.Millisecond
	idleTimeout = 60 * time.Second
	ackTimeout  = 600 * time.Millisecond // time after which bytes that were not acknowledged end a connection
)

// limitSilence makes the kernel end a connection whose bytes are not acknowledged.
func limitSilence(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err == nil {
		err = failed
	}
	return err
}

// Dialer connects to the address of a node.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Client calls other nodes.
type Client struct {
	dial  Dialer
	mu    sync.Mutex
	links map[string]*link
}

// link is the connection to one node.
type link struct {
	transport *http.Transport
	control   peerv1connect.PeerClient
	used      time.Time
}

// NewClient returns a client that connects by dial, or by TCP where dial is nil.
func NewClient(dial Dialer) *Client {
	if dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, Control: limitSilence}
		dial = d.DialContext
	}
	return &Client{dial: dial, links: make(map[string]*link)}
}

func (c *Client) newLink(address string) *link {
	t := &http.Transport{
		DialContext:        c.dial,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		Protocols:          new(http.Protocols),
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	p := peerv1connect.NewPeerClient(&http.Client{Transport: t}, "http://"+address, connect.WithReadMaxBytes(maxMessage))
	return &link{transport: t, control: p}
}

// link returns the connection to the node at the address; those that were idle for long are dropped.
func (c *Client) link(address string) *link {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[address]
	if l == nil {
		c.drop(now)
		l = c.newLink(address)
		c.links[address] = l
	}
	l.used = now
	return l
}

func (c *Client) drop(now time.Time) {
	for address, l := range c.links {
		if now.Sub(l.used) > 2*idleTimeout {
			l.transport.CloseIdleConnections()
			delete(c.links, address)
		}
	}
}

// Reset makes the next call to the address use a new connection, since the one in use is silent.
func (c *Client) Reset(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l := c.links[address]; l != nil {
		l.transport.CloseIdleConnections()
		delete(c.links, address)
	}
}

// Close closes the connections that are idle.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.transport.CloseIdleConnections()
	}
}

// Peer returns the generated client of the node at the address.
func (c *Client) Peer(address string) peerv1connect.PeerClient { return c.link(address).control }

// Exchange sends a heartbeat and returns the answer.
func (c *Client) Exchange(ctx context.Context, address string, b Heartbeat) (Heartbeat, error) {
	ans, err := c.Peer(address).Exchange(ctx, connect.NewRequest(b.proto()))
	if err != nil {
		return Heartbeat{}, errors.Wrapf(err, "exchange with %s", address)
	}
	return beat(ans.Msg), nil
}

// Fetch asks for what this node lacks after the positions.
func (c *Client) Fetch(ctx context.Context, address string, at []Position) (FetchResponse, error) {
	ans, err := c.Peer(address).Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{Positions: positionsProto(at)}))
	if err != nil {
		return FetchResponse{}, errors.Wrapf(err, "fetch from %s", address)
	}
	lack := FetchResponse{Entries: logEntries(ans.Msg.GetEntries())}
	if lack.Bundle, err = optional[rollout.State](ans.Msg.GetBundle()); err != nil {
		return FetchResponse{}, err
	}
	lack.Owners, err = optional[ownership.Table](ans.Msg.GetOwners())
	return lack, err
}

func optional[T any](data []byte) (*T, error) {
	if len(data) == 0 {
		return nil, nil
	}
	v := new(T)
	return v, errors.Wrap(json.Unmarshal(data, v), "decode state")
}

// Vouch asks the witness at address to renew leases.
func (c *Client) Vouch(ctx context.Context, address string, list []ownership.Lease) (incarnation uint64, refused []int, err error) {
	ans, err := c.Peer(address).Vouch(ctx, connect.NewRequest(vouchProto(list)))
	if err != nil {
		return 0, nil, errors.Wrapf(err, "vouch by %s", address)
	}
	return ans.Msg.GetIncarnation(), shards(ans.Msg.GetRefused()), nil
}

// FenceResponse is what a witness promised.
type FenceResponse struct {
	Incarnation uint64
	Promised    []int
	Moved       []ownership.Lease
}

// Fence asks the witness at address to renew leases no more.
func (c *Client) Fence(ctx context.Context, address string, list []ownership.Lease) (FenceResponse, error) {
	ans, err := c.Peer(address).Fence(ctx, connect.NewRequest(&peerv1.FenceRequest{Leases: leasesProto(list)}))
	if err != nil {
		return FenceResponse{}, errors.Wrapf(err, "fence by %s", address)
	}
	m := ans.Msg
	return FenceResponse{Incarnation: m.GetIncarnation(), Promised: shards(m.GetPromised()), Moved: leases(m.GetMoved())}, nil
}

// Handover gives shards, or as a legacy their records, to the node at address and returns its incarnation and whether it took them.
func (c *Client) Handover(ctx context.Context, address string, list []ShardHandover, legacy bool) (incarnation uint64, accepted bool, err error) {
	req := &peerv1.HandoverRequest{Shards: parcelsProto(list, time.Now()), Legacy: legacy}
	ans, err := c.Peer(address).Handover(ctx, connect.NewRequest(req))
	if err != nil {
		return 0, false, errors.Wrapf(err, "handover to %s", address)
	}
	return ans.Msg.GetIncarnation(), ans.Msg.GetAccepted(), nil
}

// Events asks the node at address for its events.
func (c *Client) Events(ctx context.Context, address string, f event.Filter) ([]event.Event, error) {
	req := &peerv1.EventsRequest{Kind: string(f.Kind), Upstream: f.Upstream, Request: f.Request}
	ans, err := c.Peer(address).Events(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, errors.Wrapf(err, "events from %s", address)
	}
	var list []event.Event
	return list, errors.Wrap(json.Unmarshal(ans.Msg.GetEvents(), &list), "decode events")
}

// Allot asks the node at address for a part of a caller's limit.
func (c *Client) Allot(ctx context.Context, address, caller string, want, used float64) (float64, error) {
	req := &peerv1.AllotRequest{Caller: caller, Want: want, Used: used}
	ans, err := c.Peer(address).Allot(ctx, connect.NewRequest(req))
	if err != nil {
		return 0, errors.Wrapf(err, "allot from %s", address)
	}
	return ans.Msg.GetGranted(), nil
}

// Probe asks the node at via whether it reaches address.
func (c *Client) Probe(ctx context.Context, via, address string) (bool, error) {
	ans, err := c.Peer(via).Probe(ctx, connect.NewRequest(&peerv1.ProbeRequest{Address: address}))
	if err != nil {
		return false, errors.Wrapf(err, "probe through %s", via)
	}
	return ans.Msg.GetReached(), nil
}

// Standing asks the node at address for the load of its upstream.
func (c *Client) Standing(ctx context.Context, address, upstream, class string) (string, error) {
	req := &peerv1.StandingRequest{Upstream: upstream, Class: class}
	ans, err := c.Peer(address).Standing(ctx, connect.NewRequest(req))
	if err != nil {
		return "", errors.Wrapf(err, "standing from %s", address)
	}
	return ans.Msg.GetLoad(), nil
}
