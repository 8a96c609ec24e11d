package node

import (
	"slices"
	"time"

	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/upstream"
)

// modelProcess is a process of a node: its membership engine and, beside the upstream, its gates.
type modelProcess struct {
	node          *Node
	members       *membership.Engine
	startedAt     time.Time
	output        membership.Output // heartbeats and probes to be sent
	incarnation   uint64
	recall        recall
	log           departureLog
	directoryRead bool
	frozenUntil   time.Time
}

// modelDirectory is what the directory holds of the first node.
type modelDirectory struct {
	record     platform.DepartureRecord
	recordedIn uint64 // era of the record
	era        uint64
}

// complete reports whether no departure of the node can be missing.
func (d *modelDirectory) complete() bool {
	return d.era == 0 || d.record.Complete && d.recordedIn == d.era
}

// knows reports whether the directory has the departure of the promise.
func (d *modelDirectory) knows(p promise) bool {
	return slices.ContainsFunc(d.record.Departures, func(known upstream.Departure) bool {
		return known.ID == p.id && known.Incarnation >= p.incarnation
	})
}

// modelCall is a call of an upstream on its way to the node.
type modelCall struct {
	arrivesAt    time.Time
	announcement upstream.Announcement // of an unset id for a departure
	from         *modelUpstream
	ackLost      bool
}

// modelAck is an acknowledgement that waits for its confirmation by another node.
type modelAck struct {
	call     modelCall
	since    time.Time
	promises promise
	version  uint64 // of the departures that the directory is to record
}

// promise is an acknowledged leaving.
type promise struct {
	id          string
	incarnation uint64
	confirmed   bool // another node knew of it when it was acknowledged
	recorded    bool // so did the directory
	by          *modelProcess
}

// modelUpstream is one process of an upstream.
type modelUpstream struct {
	id          string
	incarnation uint64
	seq         uint64
	leaving     upstream.State // Draining while it drains, empty while it is ready
	departs     bool           // it sends departures
	acked       bool           // the call that it repeats was acknowledged
	nextCall    time.Time
	exitAt      time.Time
}
