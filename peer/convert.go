package peer

import (
	"time"

	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/idempotency"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer/peerv1"
	"github.com/jasminevane/jasminevane/platform"
)

// Position is the offset after the last entry of a log stream that a node has applied.
type Position struct {
	Stream string
	Next   platform.Offset
}

// LogEntry is an entry of the platform's log with the name of its stream.
type LogEntry struct {
	Stream string
	platform.Entry
}

// Heartbeat is a heartbeat or the response to one, with log positions and new log entries.
type Heartbeat struct {
	Stamp     event.Stamp
	Message   membership.Message
	Positions []Position
	Entries   []LogEntry
	Confirm   bool // asks whether the receiver reads the published versions and knows the newest
	Confirmed bool // answers a heartbeat with Confirm
}

// ShardHandover is a shard of idempotency keys, with its records, that is handed over to another node.
type ShardHandover struct {
	Shard   ownership.ShardHandover
	Records []idempotency.Record
}

func (hb Heartbeat) proto() *peerv1.Heartbeat {
	h := &peerv1.Heartbeat{
		Name:        hb.Message.Name,
		Incarnation: hb.Message.Incarnation,
		Stamp:       uint64(hb.Stamp),
		Digest:      hb.Message.Digest,
		Buckets:     hb.Message.BucketSums,
		Positions:   positionsProto(hb.Positions),
		Entries:     entriesProto(hb.Entries),
		Confirm:     hb.Confirm,
		Confirmed:   hb.Confirmed,
	}
	for i := range hb.Message.Members {
		h.Members = append(h.Members, memberProto(&hb.Message.Members[i]))
	}
	return h
}

func heartbeat(h *peerv1.Heartbeat) Heartbeat {
	hb := Heartbeat{
		Stamp:     event.Stamp(h.GetStamp()),
		Positions: positions(h.GetPositions()),
		Entries:   logEntries(h.GetEntries()),
		Confirm:   h.GetConfirm(),
		Confirmed: h.GetConfirmed(),
		Message: membership.Message{
			Name:        h.GetName(),
			Incarnation: h.GetIncarnation(),
			Digest:      h.GetDigest(),
			BucketSums:  h.GetBuckets(),
		},
	}
	for _, m := range h.GetMembers() {
		hb.Message.Members = append(hb.Message.Members, member(m))
	}
	return hb
}

func memberProto(m *membership.Member) *peerv1.Member {
	p := &peerv1.Member{
		Name:        m.Name,
		Incarnation: m.Incarnation,
		Seq:         m.Seq,
		HealthSeq:   m.HealthSeq,
		Status:      peerv1.Status(m.Status),
		Region:      m.Region,
		DataCentre:  m.DataCentre,
		Address:     m.Address,
	}
	for _, u := range m.Upstreams {
		p.Upstreams = append(p.Upstreams, &peerv1.Upstream{
			Id:      u.ID,
			Service: u.Service,
			Slots:   uint32(u.Slots),
			State:   peerv1.State(u.State),
			Suspect: u.Suspect,
		})
	}
	for _, d := range m.Departures {
		p.Departures = append(p.Departures, &peerv1.Departure{Id: d.ID, Incarnation: d.Incarnation})
	}
	return p
}

func member(p *peerv1.Member) membership.Member {
	m := membership.Member{
		Name:        p.GetName(),
		Incarnation: p.GetIncarnation(),
		Seq:         p.GetSeq(),
		HealthSeq:   p.GetHealthSeq(),
		Status:      membership.Status(p.GetStatus()),
		Region:      p.GetRegion(),
		DataCentre:  p.GetDataCentre(),
		Address:     p.GetAddress(),
	}
	for _, u := range p.GetUpstreams() {
		m.Upstreams = append(m.Upstreams, membership.Upstream{
			ID:      u.GetId(),
			Service: u.GetService(),
			Slots:   int(u.GetSlots()),
			State:   membership.State(u.GetState()),
			Suspect: u.GetSuspect(),
		})
	}
	for _, d := range p.GetDepartures() {
		m.Departures = append(m.Departures, membership.Departure{ID: d.GetId(), Incarnation: d.GetIncarnation()})
	}
	return m
}

func entriesProto(entries []LogEntry) []*peerv1.LogEntry {
	var encoded []*peerv1.LogEntry
	for _, e := range entries {
		encoded = append(encoded, &peerv1.LogEntry{
			Stream: e.Stream,
			Offset: uint64(e.Offset),
			TimeMs: e.Time.UnixMilli(),
			Id:     e.ID,
			Data:   e.Data,
		})
	}
	return encoded
}

func logEntries(list []*peerv1.LogEntry) []LogEntry {
	var decoded []LogEntry
	for _, p := range list {
		e := platform.Entry{Offset: platform.Offset(p.GetOffset()), Time: time.UnixMilli(p.GetTimeMs())}
		e.Record = platform.Record{ID: p.GetId(), Data: p.GetData()}
		decoded = append(decoded, LogEntry{Stream: p.GetStream(), Entry: e})
	}
	return decoded
}

func positionsProto(positions []Position) []*peerv1.Position {
	var encoded []*peerv1.Position
	for _, p := range positions {
		encoded = append(encoded, &peerv1.Position{Stream: p.Stream, Next: uint64(p.Next)})
	}
	return encoded
}

func positions(list []*peerv1.Position) []Position {
	var decoded []Position
	for _, p := range list {
		decoded = append(decoded, Position{Stream: p.GetStream(), Next: platform.Offset(p.GetNext())})
	}
	return decoded
}

func witnessesProto(witnesses []ownership.NodeRef) []*peerv1.Witness {
	var encoded []*peerv1.Witness
	for _, r := range witnesses {
		encoded = append(encoded, &peerv1.Witness{Name: r.Name, Incarnation: r.Incarnation})
	}
	return encoded
}

func witnesses(set []*peerv1.Witness) []ownership.NodeRef {
	var decoded []ownership.NodeRef
	for _, p := range set {
		decoded = append(decoded, ownership.NodeRef{Name: p.GetName(), Incarnation: p.GetIncarnation()})
	}
	return decoded
}

// renewalProto encodes leases to renew. Most keep their witnesses; these are encoded compactly as two lists of shards and epochs.
func renewalProto(list []ownership.Lease) *peerv1.VouchRequest {
	req := &peerv1.VouchRequest{}
	for _, l := range list {
		if len(l.NewWitnesses) > 0 {
			req.Moves = append(req.Moves, leasesProto([]ownership.Lease{l})...)
			continue
		}
		req.Shards = append(req.Shards, uint32(l.Shard))
		req.Epochs = append(req.Epochs, l.Epoch)
	}
	return req
}

func renewalLeases(req *peerv1.VouchRequest) []ownership.Lease {
	decoded := leases(req.GetMoves())
	epochs := req.GetEpochs()
	for i, s := range req.GetShards() {
		if i < len(epochs) && s < ownership.ShardCount {
			decoded = append(decoded, ownership.Lease{Shard: int(s), Epoch: epochs[i]})
		}
	}
	return decoded
}

func leasesProto(list []ownership.Lease) []*peerv1.Lease {
	var encoded []*peerv1.Lease
	for _, l := range list {
		encoded = append(encoded, &peerv1.Lease{Shard: uint32(l.Shard), Epoch: l.Epoch, Set: witnessesProto(l.NewWitnesses)})
	}
	return encoded
}

func leases(list []*peerv1.Lease) []ownership.Lease {
	var decoded []ownership.Lease
	for _, p := range list {
		if p.GetShard() >= ownership.ShardCount {
			continue
		}
		decoded = append(decoded, ownership.Lease{Shard: int(p.GetShard()), Epoch: p.GetEpoch(), NewWitnesses: witnesses(p.GetSet())})
	}
	return decoded
}

func shardsProto(shards []int) []uint32 {
	var encoded []uint32
	for _, s := range shards {
		encoded = append(encoded, uint32(s))
	}
	return encoded
}

func shards(list []uint32) []int {
	var decoded []int
	for _, s := range list {
		decoded = append(decoded, int(s))
	}
	return decoded
}

func handoversProto(list []ShardHandover, now time.Time) []*peerv1.Shard {
	var encoded []*peerv1.Shard
	for _, h := range list {
		s := &peerv1.Shard{Shard: uint32(h.Shard.Shard), Epoch: h.Shard.Epoch, Set: witnessesProto(h.Shard.Witnesses)}
		if !h.Shard.CompleteSince.IsZero() {
			s.GapMs = max(1, now.Sub(h.Shard.CompleteSince).Milliseconds())
		}
		for _, r := range h.Records {
			s.Records = append(s.Records, &peerv1.KeyRecord{
				Key:         r.Key,
				Fingerprint: r.Fingerprint,
				State:       uint32(r.State),
				AgeMs:       now.Sub(r.FirstSeen).Milliseconds(),
				Answer:      r.Response,
			})
		}
		encoded = append(encoded, s)
	}
	return encoded
}

func handovers(list []*peerv1.Shard, now time.Time) []ShardHandover {
	var decoded []ShardHandover
	for _, s := range list {
		if s.GetShard() >= ownership.ShardCount {
			continue
		}
		h := ShardHandover{Shard: ownership.ShardHandover{Shard: int(s.GetShard()), Epoch: s.GetEpoch(), Witnesses: witnesses(s.GetSet())}}
		if s.GetGapMs() > 0 {
			h.Shard.CompleteSince = now.Add(-time.Duration(s.GetGapMs()) * time.Millisecond)
		}
		for _, r := range s.GetRecords() {
			h.Records = append(h.Records, idempotency.Record{
				Key:         r.GetKey(),
				Fingerprint: r.GetFingerprint(),
				State:       idempotency.State(r.GetState()),
				FirstSeen:   now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
				Response:    r.GetAnswer(),
			})
		}
		decoded = append(decoded, h)
	}
	return decoded
}
