package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer/peerv1"
	"github.com/jasminevane/jasminevane/peer/peerv1/peerv1connect"
	"github.com/jasminevane/jasminevane/quota"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/jasminevane/jasminevane/tcp"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// Timing of connections between nodes.
const (
	dialTimeout = 250 * time.Millisecond
	idleTimeout = 2500 * time.Millisecond // short, since a connection may go silent without a sign while nobody uses it
	forgetTime  = 2 * time.Minute         // time without a call after which a client forgets a node
	ackTimeout  = 600 * time.Millisecond  // time without acknowledgement of sent data after which a connection is closed
)

// Limits in bytes of what a client keeps in memory of the responses of a node, which may be faulty.
const (
	maxHeadBytes         = 256 << 10 // head, informational responses or trailer of a response, in the size that HTTP/2 counts
	maxUnreadBytes       = upstream.StreamWindowBytes
	maxUnreadBytesOfNode = 64 << 20 // the same for all responses of a node; more than upstream.Streams lets all of them hold
	maxMessageBytes      = 2 << 20  // one control message, such as the records of 900 nodes
	maxStateBytes        = 16 << 20 // what Fetch and Events return
)

// Client calls other nodes.
type Client struct {
	dial    tcp.DialFunc
	streams *upstream.Streams // bounds the responses to forwarded requests; nil for no bound
	mu      sync.Mutex
	conns   map[string]*nodeConn
}

// nodeConn holds the transport to one node and the RPC clients that use it.
type nodeConn struct {
	transport *http.Transport
	rpc       peerv1connect.PeerClient
	stateRPC  peerv1connect.PeerClient // for calls with large responses
	lastUsed  time.Time
}

// NewClient returns a client that connects with dial, or over TCP if dial is nil.
func NewClient(dial tcp.DialFunc) *Client {
	if dial == nil {
		dial = tcp.Dialer{Timeout: dialTimeout, AckTimeout: ackTimeout}.Net().DialContext
	}
	return &Client{dial: dial, conns: make(map[string]*nodeConn)}
}

// Bound makes the bounds of s hold for the responses to forwarded requests. It is called before the first one.
func (c *Client) Bound(s *upstream.Streams) { c.streams = s }

func (c *Client) newConn(address string) *nodeConn {
	t := &http.Transport{
		DialContext:        c.dial,
		IdleConnTimeout:    idleTimeout,
		DisableCompression: true,
		Protocols:          new(http.Protocols),

		MaxResponseHeaderBytes: maxHeadBytes,
		HTTP2:                  &http.HTTP2Config{MaxReceiveBufferPerStream: maxUnreadBytes, MaxReceiveBufferPerConnection: maxUnreadBytesOfNode},
	}
	t.Protocols.SetUnencryptedHTTP2(true)
	nc := &nodeConn{transport: t}
	newRPC := func(maxBytes int) peerv1connect.PeerClient {
		return peerv1connect.NewPeerClient(&http.Client{Transport: t}, "http://"+address,
			connect.WithReadMaxBytes(maxBytes), connect.WithInterceptors(c.dropAfterTimeout(address, nc)))
	}
	nc.rpc, nc.stateRPC = newRPC(maxMessageBytes), newRPC(maxStateBytes)
	return nc
}

// dropAfterTimeout returns an interceptor that drops the connection after a call which wasn't answered in time, so that the next call opens
// a new one: nothing but time tells that a connection has gone silent. Requests that are running on it go on.
func (c *Client) dropAfterTimeout(address string, nc *nodeConn) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
			resp, err := next(ctx, req)
			if err != nil && connect.CodeOf(err) == connect.CodeDeadlineExceeded {
				c.drop(address, nc)
			}
			return resp, err
		}
	}
}

// drop drops a connection unless another one has replaced it already.
func (c *Client) drop(address string, nc *nodeConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == nc {
		nc.transport.CloseIdleConnections()
		delete(c.conns, address)
	}
}

// conn returns the connection to the node at the address. When it adds one, it drops those that were not used for forgetTime.
func (c *Client) conn(address string) *nodeConn {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	nc := c.conns[address]
	if nc == nil {
		c.dropIdle(now)
		nc = c.newConn(address)
		c.conns[address] = nc
	}
	nc.lastUsed = now
	return nc
}

func (c *Client) dropIdle(now time.Time) {
	for address, nc := range c.conns {
		if now.Sub(nc.lastUsed) > forgetTime {
			nc.transport.CloseIdleConnections()
			delete(c.conns, address)
		}
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, nc := range c.conns {
		nc.transport.CloseIdleConnections()
	}
}

// Peer returns the generated RPC client of the node at the address.
func (c *Client) Peer(address string) peerv1connect.PeerClient { return c.conn(address).rpc }

// Exchange sends a heartbeat and returns the response.
func (c *Client) Exchange(ctx context.Context, address string, hb Heartbeat) (Heartbeat, error) {
	resp, err := c.Peer(address).Exchange(ctx, connect.NewRequest(hb.proto()))
	if err != nil {
		return Heartbeat{}, errors.Wrapf(err, "exchange heartbeat with %s", address)
	}
	return heartbeat(resp.Msg), nil
}

// Fetch asks a node for the log entries after the given positions, or for the whole state.
func (c *Client) Fetch(ctx context.Context, address string, after []Position) (FetchResponse, error) {
	resp, err := c.conn(address).stateRPC.Fetch(ctx, connect.NewRequest(&peerv1.FetchRequest{Positions: positionsProto(after)}))
	if err != nil {
		return FetchResponse{}, errors.Wrapf(err, "fetch from %s", address)
	}
	out := FetchResponse{Entries: logEntries(resp.Msg.GetEntries())}
	if out.Bundle, err = decodeOptional[rollout.State](resp.Msg.GetBundle()); err != nil {
		return FetchResponse{}, err
	}
	out.Owners, err = decodeOptional[ownership.Table](resp.Msg.GetOwners())
	return out, err
}

func decodeOptional[T any](data []byte) (*T, error) {
	if len(data) == 0 {
		return nil, nil
	}
	v := new(T)
	return v, errors.Wrap(json.Unmarshal(data, v), "decode state")
}

// RenewLeases asks the witness at address to renew leases. It returns the incarnation of the witness and the shards that it refused.
func (c *Client) RenewLeases(ctx context.Context, address string, list []ownership.Lease) (incarnation uint64, refused []int, err error) {
	resp, err := c.Peer(address).Vouch(ctx, connect.NewRequest(renewalProto(list)))
	if err != nil {
		return 0, nil, errors.Wrapf(err, "renew leases at witness %s", address)
	}
	return resp.Msg.GetIncarnation(), shards(resp.Msg.GetRefused()), nil
}

// FenceResponse lists the shards whose leases a witness will not renew any more, and the leases that had moved to other witnesses.
type FenceResponse struct {
	WitnessIncarnation uint64
	Fenced             []int
	Moved              []ownership.Lease
}

// Fence asks the witness at address to stop renewing the leases.
func (c *Client) Fence(ctx context.Context, address string, leasesToFence []ownership.Lease) (FenceResponse, error) {
	resp, err := c.Peer(address).Fence(ctx, connect.NewRequest(&peerv1.FenceRequest{Leases: leasesProto(leasesToFence)}))
	if err != nil {
		return FenceResponse{}, errors.Wrapf(err, "fence leases at witness %s", address)
	}
	m := resp.Msg
	return FenceResponse{WitnessIncarnation: m.GetIncarnation(), Fenced: shards(m.GetPromised()), Moved: leases(m.GetMoved())}, nil
}

// Handover gives shards to the node at address, or only their records if that node has already taken the shards over.
// It returns the incarnation of the node and whether it accepted them.
func (c *Client) Handover(ctx context.Context, address string, list []ShardHandover, recordsOnly bool) (incarnation uint64, accepted bool, err error) {
	req := &peerv1.HandoverRequest{Shards: handoversProto(list, time.Now()), Legacy: recordsOnly}
	resp, err := c.Peer(address).Handover(ctx, connect.NewRequest(req))
	if err != nil {
		return 0, false, errors.Wrapf(err, "hand over shards to %s", address)
	}
	return resp.Msg.GetIncarnation(), resp.Msg.GetAccepted(), nil
}

// Events asks the node at address for its recorded events that match f.
func (c *Client) Events(ctx context.Context, address string, f event.Filter) ([]event.Event, error) {
	req := &peerv1.EventsRequest{Kind: string(f.Kind), Upstream: f.Upstream, Request: f.Request}
	resp, err := c.conn(address).stateRPC.Events(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, errors.Wrapf(err, "events from %s", address)
	}
	var list []event.Event
	return list, errors.Wrap(json.Unmarshal(resp.Msg.GetEvents(), &list), "decode events")
}

// Allot asks the node at address for tokens of a caller's rate limit.
func (c *Client) Allot(ctx context.Context, address string, ask quota.Ask) (quota.Grant, error) {
	resp, err := c.Peer(address).Allot(ctx, connect.NewRequest(askProto(ask)))
	if err != nil {
		return quota.Grant{}, errors.Wrapf(err, "ask %s for tokens", address)
	}
	return quotaGrant(resp.Msg), nil
}

// Probe asks the node at via whether it can reach address.
func (c *Client) Probe(ctx context.Context, via, address string) (bool, error) {
	resp, err := c.Peer(via).Probe(ctx, connect.NewRequest(&peerv1.ProbeRequest{Address: address}))
	if err != nil {
		return false, errors.Wrapf(err, "probe through %s", via)
	}
	return resp.Msg.GetReached(), nil
}

// UpstreamLoad asks the node at address for the load and health evidence of its upstream.
func (c *Client) UpstreamLoad(ctx context.Context, address, upstream, class string) (string, error) {
	req := &peerv1.StandingRequest{Upstream: upstream, Class: class}
	resp, err := c.Peer(address).Standing(ctx, connect.NewRequest(req))
	if err != nil {
		return "", errors.Wrapf(err, "get upstream load from %s", address)
	}
	return resp.Msg.GetLoad(), nil
}
