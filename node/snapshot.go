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
	snapshotPrefix = "snapshot-"
	snapshotCheck  = time.Second // interval at which the age of the last snapshot is looked at
)

// snapshots appends the whole state of each stream before its records expire; which relay does it need not be agreed, since a second snapshot does no harm.
func (n *Node) snapshots(ctx context.Context, now time.Time) {
	if !n.isRelay() || n.stop.Load() {
		return
	}
	for _, stream := range []string{rollout.Stream, ownership.Stream} {
		n.mu.Lock()
		due := n.snapped[stream].Add(n.cfg.Platform.Snapshot.Std())
		empty := n.mirrors[stream].Next() == 0
		down := n.storeDown
		if !empty && !down && now.After(due) {
			n.snapped[stream] = now.Add(-time.Duration(rand.Int64N(int64(n.cfg.Platform.Snapshot)/2 + 1)))
		}
		n.mu.Unlock()
		if !empty && !down && now.After(due) {
			n.appendSnapshot(ctx, stream)
		}
	}
}

// noteSnapshots remembers when a snapshot of the stream was last seen; the engines are locked.
func (n *Node) noteSnapshots(stream string, fresh []platform.Entry) {
	for _, e := range fresh {
		if strings.HasPrefix(e.ID, snapshotPrefix) {
			n.snapped[stream] = e.Time
		}
	}
}

func (n *Node) appendSnapshot(ctx context.Context, stream string) {
	rec, err := n.snapshot(stream)
	if err == nil {
		_, err = n.store.Append(ctx, stream, rec)
	}
	if err != nil {
		_ = level.Warn(n.logger).Log("msg", "snapshot", "stream", stream, "err", err)
	}
}

func (n *Node) snapshot(stream string) (platform.Record, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	id := snapshotPrefix + n.cfg.Name + "-" + time.Now().UTC().Format(time.RFC3339)
	if stream == ownership.Stream {
		return platform.Encode(id, ownership.Claim{Kind: ownership.TableSnapshot, Table: n.owners.Table()})
	}
	st := n.rollout.State()
	return platform.Encode(id, rollout.Record{Kind: rollout.Snapshot, ID: id, State: &st})
}
