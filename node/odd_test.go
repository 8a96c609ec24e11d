package node_test

import (
	"context"
	"fmt"
	"math"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/matryer/is"
)

// TestOddLogRecordsStopNoNode leaves odd records in both streams of the log. The node must follow the records behind them.
func TestOddLogRecordsStopNoNode(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	huge := uint64(math.MaxUint64 - 1)
	records := []string{
		strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000),
		`{"kind":"propose","id":"x","step":` + strings.Repeat(`{"delta":`, 20_000) + "1" + strings.Repeat("}", 20_000) + "}",
		`{"kind":"propose","id":"x","step":{"id":"x","version":1e999}}`,
		`{"kind":"propose","id":"x","step":{"id":"x","version":99999999999999999999}}`,
		`{"kind":"roll","id":"nothing"}`,
		`{"kind":"fresh","node":{"n":"x","i":1},"shards":[{"s":-1,"e":0},{"s":99999999,"e":0},{"s":1e999,"e":0}]}`,
		`{"kind":"fresh","node":{"n":"x","i":1},"shards":[{"s":-1,"e":0},{"s":99999999,"e":0}]}`,
		fmt.Sprintf(`{"kind":"snapshot","id":"snapshot-x","state":{"head":{"id":"x","version":%d},"entries":[],"offset":%d}}`, huge, huge),
		fmt.Sprintf(`{"kind":"image","node":{"n":"x","i":1},"table":{"next":%d,"rows":[]}}`, huge),
		"null", "\x00\xff",
	}
	for i, text := range records {
		for _, stream := range []string{rollout.Stream, ownership.Stream} {
			_, err := f.platformLog.Append(context.Background(), stream, platform.Record{ID: fmt.Sprint("odd-", i), Data: []byte(text)})
			is.NoErr(err)
		}
	}
	n, _ := f.start("a")
	f.publishTestBundle(n)
	is.Equal(f.status(n).BundleVersion, uint64(1))
	f.waitFor("the shards", func() bool { return f.status(n).Shards == ownership.ShardCount })
}

// TestOddSnapshotHidesNoLaterRecord changes the offset of the newest snapshot, which is not signed, to a later one. A node that starts from
// it must still follow the records that are appended afterwards.
func TestOddSnapshotHidesNoLaterRecord(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	nodeA, stopA := f.start("a")
	f.publishTestBundle(nodeA)
	f.waitFor("a snapshot", func() bool { return f.platformLog.expire(rollout.Stream) })
	stopA()
	odd := f.platformLog.newestSnapshot(rollout.Stream)
	odd.ID = "snapshot-odd"
	odd.Data = regexp.MustCompile(`"offset":[0-9]+`).ReplaceAll(odd.Data, []byte(`"offset":9000000000`))
	_, err := f.platformLog.Append(context.Background(), rollout.Stream, odd)
	is.NoErr(err)
	f.platformLog.dropBefore(rollout.Stream, odd.ID)
	nodeB, _ := f.start("b")
	time.Sleep(time.Second)
	f.publishBundle(nodeB, testBundle)
}

// TestOddPeerMessagesStopNoNode sends a node messages that no peer of this version would send. It must answer the next heartbeat.
func TestOddPeerMessagesStopNoNode(t *testing.T) {
	const shard = 1 << 20 // there are fewer shards
	huge := uint64(math.MaxUint64)
	odd := membership.Member{Name: "odd", Incarnation: huge, Seq: huge, Status: 99, Region: "r", DataCentre: "dc", Address: "127.0.0.1:99999",
		Upstreams: []membership.Upstream{{ID: "u", Service: "s", Slots: math.MaxUint32, State: 99}}}
	exchange := func(msg membership.Message, positions []peer.Position, entries []peer.LogEntry) func(context.Context, *peer.Client, string) error {
		return func(ctx context.Context, c *peer.Client, address string) error {
			_, err := c.Exchange(ctx, address, peer.Heartbeat{Message: msg, Positions: positions, Entries: entries})
			return err
		}
	}
	entry := peer.LogEntry{Stream: rollout.Stream, Entry: platform.Entry{Offset: platform.Offset(huge)}}
	tests := []struct {
		name string
		send func(ctx context.Context, c *peer.Client, address string) error
	}{
		{"a handover of a shard out of range", func(ctx context.Context, c *peer.Client, address string) error {
			_, _, err := c.Handover(ctx, address, []peer.ShardHandover{{Shard: ownership.ShardHandover{Shard: shard, Epoch: 1}}}, false)
			return err
		}},
		{"leases of a shard out of range", func(ctx context.Context, c *peer.Client, address string) error {
			_, _, err := c.RenewLeases(ctx, address, []ownership.Lease{{Shard: shard, Epoch: 1}})
			return err
		}},
		{"fences of a shard out of range", func(ctx context.Context, c *peer.Client, address string) error {
			_, err := c.Fence(ctx, address, []ownership.Lease{{Shard: shard, Epoch: 1}})
			return err
		}},
		{"a member with numbers out of range", exchange(membership.Message{Name: "odd", Members: []membership.Member{odd}}, nil, nil)},
		{"a member without a name", exchange(membership.Message{Members: []membership.Member{{Status: membership.Alive}}}, nil, nil)},
		{"too few bucket sums", exchange(membership.Message{Name: "odd", BucketSums: []uint64{1, 2, 3}}, nil, nil)},
		{"positions out of range", exchange(membership.Message{Name: "odd"}, []peer.Position{{Stream: "none", Next: 1}, {Stream: rollout.Stream, Next: platform.Offset(huge)}}, nil)},
		{"an entry at the last offset", exchange(membership.Message{Name: "odd"}, nil, []peer.LogEntry{entry})},
		{"an entry of an unknown stream", exchange(membership.Message{Name: "odd"}, nil, []peer.LogEntry{{Stream: "none"}})},
	}
	f := newTestFleet(t)
	n, _ := f.start("a")
	f.publishTestBundle(n)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			address := n.Addresses().Peer
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if err := tt.send(ctx, peer.NewClient(nil), address); err != nil {
				t.Log(err) // a refusal is allowed
			}
			ctx, cancel = context.WithTimeout(context.Background(), 2*time.Second)
			defer cancel()
			_, err := peer.NewClient(nil).Exchange(ctx, address, peer.Heartbeat{Message: membership.Message{Name: "b"}})
			is.NoErr(err)
		})
	}
}
