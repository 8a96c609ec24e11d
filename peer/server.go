package peer

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer/peerv1"
	"github.com/jasminevane/jasminevane/peer/peerv1/peerv1connect"
	"github.com/jasminevane/jasminevane/quota"
	"github.com/jasminevane/jasminevane/rollout"
)

// maxRequestBytes is the maximum size of one control message that a node takes: a handover may carry all records of its shards.
const maxRequestBytes = 64 << 20

// FetchResponse is what a node needs to catch up: log entries, or the whole state of the bundle and of shard ownership.
type FetchResponse struct {
	Entries []LogEntry
	Bundle  *rollout.State
	Owners  *ownership.Table
}

// Node implements the control protocol.
type Node interface {
	// Exchange handles a heartbeat and returns the response.
	Exchange(hb Heartbeat) Heartbeat
	// Fetch returns what a node needs to catch up from the given positions.
	Fetch(after []Position) FetchResponse
	// Reach reports whether the node at the address responds.
	Reach(ctx context.Context, address string) bool
	// UpstreamLoad returns the load of an upstream and the health evidence for a class; ok is false if the upstream is not local to the node.
	UpstreamLoad(upstream, class string) (load string, ok bool)
	// Allot grants tokens of a caller's rate limit. The error says that this node can't tell the limit.
	Allot(ask quota.Ask) (quota.Grant, error)
	// Events returns the recorded events that match f.
	Events(f event.Filter) []event.Event
	// RenewLeases renews leases and returns the node's incarnation and the shards that it refused.
	RenewLeases(list []ownership.Lease) (incarnation uint64, refused []int)
	// Fence stops the renewal of the leases. It returns the shards that it fenced and the leases that had moved to other witnesses.
	Fence(list []ownership.Lease) (incarnation uint64, fenced []int, moved []ownership.Lease)
	// Handover accepts shards from their owner, or only their records from an owner that has been replaced.
	Handover(list []ShardHandover, recordsOnly bool) (incarnation uint64, accepted bool)
}

// server adapts a Node to the generated handler.
type server struct {
	peerv1connect.UnimplementedPeerHandler
	node Node
}

// NewHandler returns the path and handler of the control protocol.
func NewHandler(n Node) (string, http.Handler) {
	return peerv1connect.NewPeerHandler(&server{node: n}, connect.WithReadMaxBytes(maxRequestBytes))
}

func (s *server) Exchange(_ context.Context, req *connect.Request[peerv1.Heartbeat]) (*connect.Response[peerv1.Heartbeat], error) {
	return connect.NewResponse(s.node.Exchange(heartbeat(req.Msg)).proto()), nil
}

func (s *server) Fetch(_ context.Context, req *connect.Request[peerv1.FetchRequest]) (*connect.Response[peerv1.FetchResponse], error) {
	missing := s.node.Fetch(positions(req.Msg.GetPositions()))
	out := &peerv1.FetchResponse{Entries: entriesProto(missing.Entries)}
	var err error
	if missing.Bundle != nil {
		out.Bundle, err = json.Marshal(missing.Bundle)
	}
	if missing.Owners != nil && err == nil {
		out.Owners, err = json.Marshal(missing.Owners)
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(out), nil
}

func (s *server) Probe(ctx context.Context, req *connect.Request[peerv1.ProbeRequest]) (*connect.Response[peerv1.ProbeResponse], error) {
	ok := s.node.Reach(ctx, req.Msg.GetAddress())
	return connect.NewResponse(&peerv1.ProbeResponse{Reached: ok}), nil
}

func (s *server) Standing(_ context.Context, req *connect.Request[peerv1.StandingRequest]) (*connect.Response[peerv1.StandingResponse], error) {
	load, ok := s.node.UpstreamLoad(req.Msg.GetUpstream(), req.Msg.GetClass())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, nil)
	}
	return connect.NewResponse(&peerv1.StandingResponse{Load: load}), nil
}

func (s *server) Vouch(_ context.Context, req *connect.Request[peerv1.VouchRequest]) (*connect.Response[peerv1.VouchResponse], error) {
	inc, refused := s.node.RenewLeases(renewalLeases(req.Msg))
	return connect.NewResponse(&peerv1.VouchResponse{Incarnation: inc, Refused: shardsProto(refused)}), nil
}

func (s *server) Fence(_ context.Context, req *connect.Request[peerv1.FenceRequest]) (*connect.Response[peerv1.FenceResponse], error) {
	inc, fenced, moved := s.node.Fence(leases(req.Msg.GetLeases()))
	out := &peerv1.FenceResponse{Incarnation: inc, Promised: shardsProto(fenced), Moved: leasesProto(moved)}
	return connect.NewResponse(out), nil
}

func (s *server) Handover(_ context.Context, req *connect.Request[peerv1.HandoverRequest]) (*connect.Response[peerv1.HandoverResponse], error) {
	inc, ok := s.node.Handover(handovers(req.Msg.GetShards(), time.Now()), req.Msg.GetLegacy())
	return connect.NewResponse(&peerv1.HandoverResponse{Incarnation: inc, Accepted: ok}), nil
}

func (s *server) Events(_ context.Context, req *connect.Request[peerv1.EventsRequest]) (*connect.Response[peerv1.EventsResponse], error) {
	m := req.Msg
	f := event.Filter{Kind: event.Kind(m.GetKind()), Upstream: m.GetUpstream(), Request: m.GetRequest()}
	data, err := json.Marshal(s.node.Events(f))
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&peerv1.EventsResponse{Events: data}), nil
}

func (s *server) Allot(_ context.Context, req *connect.Request[peerv1.AllotRequest]) (*connect.Response[peerv1.AllotResponse], error) {
	grant, err := s.node.Allot(quotaAsk(req.Msg))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(grantProto(grant)), nil
}
