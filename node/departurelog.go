package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// Timing of the writes of departures.
const (
	recordTimeout = 600 * time.Millisecond // maximum time for the directory to record a departure before it is acknowledged
	epochStep     = 10_000                 // added to an epoch that is too low: the time of day, in milliseconds, was set back
)

// departureLog holds the departures that the directory is to have, which outlives all processes of the fleet. The zero value is empty.
type departureLog struct {
	mu       sync.Mutex
	list     []upstream.Departure
	version  uint64        // of list
	recorded uint64        // newest version that the directory has
	changed  chan struct{} // closed by the next change of list; nil if nobody waits for it
	epoch    uint64        // of the last write
	era      uint64        // of the directory in which recorded holds
	complete bool          // list has all that the processes of the node have acknowledged; of use only after era 0
}

// set replaces the departures and returns the version to be recorded; an equal list has the same version.
func (l *departureLog) set(list []upstream.Departure) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Equal(l.list, list) {
		l.list = slices.Clone(list)
		l.version++
		l.wake()
	}
	return l.version
}

// renew makes the departures due again if the directory doesn't have them in the era, or has them without the note that they are complete.
func (l *departureLog) renew(era uint64, list []upstream.Departure, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.era > era || l.era == era && (l.complete || !complete) {
		return
	}
	l.era, l.complete = era, l.complete || complete
	if len(list) == 0 && !complete {
		return
	}
	l.list, l.recorded = slices.Clone(list), 0
	l.version++
	l.wake()
}

// nextEpoch returns an epoch for the next write, which is higher than all that this process has used and than the given one.
func (l *departureLog) nextEpoch(atLeast uint64) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = max(l.epoch, atLeast) + 1
	return l.epoch
}

// wake ends the waits for a change of the list; the caller holds l.mu.
func (l *departureLog) wake() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}

// due returns the departures to be recorded and their version. If the directory has them, it returns a channel that is closed when they change.
func (l *departureLog) due() (record platform.DepartureRecord, version uint64, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version > l.recorded {
		return platform.DepartureRecord{Departures: l.list, Complete: l.complete}, l.version, nil
	}
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return platform.DepartureRecord{}, l.version, l.changed
}

// setRecorded notes that the directory has a version in the era. An earlier era than the one of the log is ignored, since what was written
// in it may be lost.
func (l *departureLog) setRecorded(version, era uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if era < l.era {
		return
	}
	l.era = era
	l.recorded = max(l.recorded, version)
}

// has reports whether the directory has the version or a later one.
func (l *departureLog) has(version uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.recorded >= version
}

// recordDepartures writes the departures of the log to the directory whenever they have changed, until ctx ends.
func (n *Node) recordDepartures(ctx context.Context) {
	n.departureLog.nextEpoch(uint64(n.startedAt.UnixMilli()))
	var b backoff
	for ctx.Err() == nil {
		record, version, changed := n.departureLog.due()
		if changed != nil {
			select {
			case <-ctx.Done():
			case <-changed:
			}
			continue
		}
		start := time.Now()
		record.Epoch = n.departureLog.nextEpoch(0)
		era, err := n.protocols.directory.RecordDepartures(ctx, n.cfg.Name, record)
		if err == nil {
			n.departureLog.setRecorded(version, era)
			b = backoff{}
			continue
		}
		var fenced *platform.FencedError
		if errors.As(err, &fenced) {
			n.departureLog.nextEpoch(record.Epoch + epochStep)
		}
		_ = level.Warn(n.logger).Log("msg", "departures not recorded", "departures", len(record.Departures), "err", err)
		n.sleep(ctx, b.next(time.Since(start)))
	}
}
