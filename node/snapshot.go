package node

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
)

const (
	snapshotPrefix        = "snapshot-"
	snapshotCheckInterval = time.Second // interval between checks of the age of the newest snapshot
)

// appendDueSnapshots appends a snapshot to each stream whose newest snapshot is older than the snapshot interval, so that the state
// outlives the records, which expire. Relays do not coordinate, since a duplicate snapshot is harmless.
func (n *Node) appendDueSnapshots(ctx context.Context, now time.Time) {
	if !n.isRelay() || n.stopping.Load() {
		return
	}
	for _, stream := range []string{rollout.Stream, ownership.Stream} {
		if n.snapshotDue(stream, now) {
			n.appendSnapshot(ctx, stream)
		}
	}
}

// snapshotDue reports whether a snapshot of the stream is due, and sets when the next one will be.
func (n *Node) snapshotDue(stream string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	owed := n.owedSnapshots[stream]
	empty := n.tailCaches[stream].Next() == 0 && !owed
	if empty || n.logServiceDown || !owed && !now.After(n.lastSnapshotAt[stream].Add(n.cfg.Platform.Snapshot.Std())) {
		return false
	}
	n.lastSnapshotAt[stream] = now.Add(-time.Duration(rand.Int64N(int64(n.cfg.Platform.Snapshot)/2 + 1)))
	return true
}

// recordSnapshots records the time of the newest snapshot among the entries of the stream. The caller holds n.mu.
func (n *Node) recordSnapshots(stream string, entries []platform.Entry) {
	for _, e := range entries {
		if strings.HasPrefix(e.ID, snapshotPrefix) {
			n.lastSnapshotAt[stream] = e.Time
		}
	}
}

func (n *Node) appendSnapshot(ctx context.Context, stream string) {
	records, err := n.newSnapshot(stream)
	for _, rec := range records {
		if err == nil {
			_, err = n.logService.Append(ctx, stream, rec)
		}
	}
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "cannot append snapshot", "stream", stream, "err", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.owedSnapshots, stream)
}

// newSnapshot returns the records of a snapshot of the stream. They are encoded without n.mu, which takes long for large bundles.
func (n *Node) newSnapshot(stream string) ([]platform.Record, error) {
	n.mu.Lock()
	table, state := n.owners.Table(), n.rollout.State()
	n.mu.Unlock()
	id := snapshotPrefix + n.cfg.Name + "-" + time.Now().UTC().Format(time.RFC3339)
	if stream == ownership.Stream {
		rec, err := platform.Encode(id, ownership.Claim{Kind: ownership.TableSnapshot, Table: table})
		return []platform.Record{rec}, err
	}
	return rollout.Encode(id, rollout.Record{Kind: rollout.Snapshot, ID: id, State: &state})
}
