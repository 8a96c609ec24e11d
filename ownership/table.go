package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jasminevane/jasminevane/platform"
)

// Shards is the number of shards of the key space.
const Shards = 1024

// Stream is the name of the log stream that holds the claims.
const Stream = "owner"

// Shard returns the shard of a key.
func Shard(key string) int { return int(xxhash.Sum64String(key) % Shards) }

// Ref names one run of a node.
type Ref struct {
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
}

// Lease names one epoch of a shard; Set holds the witnesses to which the owner wants to move, if any.
type Lease struct {
	Shard        int
	Epoch        uint64
	NewWitnesses []Ref
}

// Kind says on what ground a shard is claimed.
type Kind string

// The grounds of a claim.
const (
	Fresh         Kind = "fresh"    // nobody owned the shard
	Transfer      Kind = "transfer" // the owner handed the shard over, or renews its witnesses
	Takeover      Kind = "takeover" // the owner was fenced
	TableSnapshot Kind = "image"    // the whole table
)

// Claim is a record of the stream.
type Claim struct {
	Kind      Kind       `json:"kind"`
	Node      Ref        `json:"node"`
	Witnesses []Ref      `json:"witnesses,omitempty"`
	Shards    []ShardRef `json:"shards,omitempty"`
	Table     *Table     `json:"table,omitempty"`
}

// ShardRef names a shard and the epoch on which the claim builds.
type ShardRef struct {
	Shard     int    `json:"s"`
	PrevEpoch uint64 `json:"e"`
}

// Row is the owner of a shard as the log has it.
type Row struct {
	Epoch     uint64 `json:"e"`
	Owner     Ref    `json:"o"`
	Witnesses []Ref  `json:"w"`
	Kind      Kind   `json:"k"`
}

// Table is the result of all claims up to an offset.
type Table struct {
	Next platform.Offset `json:"next"`
	Rows []Row           `json:"rows"`
}

func newTable() *Table { return &Table{Rows: make([]Row, Shards)} }

// apply folds one entry into the table and returns the shards that changed owner or epoch.
func (t *Table) apply(e platform.Entry) (claim Claim, won []int) {
	if e.Offset < t.Next {
		return Claim{}, nil
	}
	t.Next = e.Offset + 1
	claim, err := platform.Decode[Claim](e.Record)
	if err != nil || claim.Kind == TableSnapshot {
		return Claim{}, nil
	}
	for _, s := range claim.Shards {
		if s.Shard < 0 || s.Shard >= Shards || t.Rows[s.Shard].Epoch != s.PrevEpoch {
			continue // another claim came first in the log
		}
		t.Rows[s.Shard] = Row{Epoch: s.PrevEpoch + 1, Owner: claim.Node, Witnesses: claim.Witnesses, Kind: claim.Kind}
		won = append(won, s.Shard)
	}
	return claim, won
}

func (t *Table) clone() *Table { return &Table{Next: t.Next, Rows: slices.Clone(t.Rows)} }

// Node is a live node as known from membership.
type Node struct {
	Ref
	DataCentre string
	Region     string
	Leaving    bool
}

// Timing of leases.
const (
	LeaseTime   = 2 * time.Second        // time for which a lease holds after the request that renewed it
	renewEvery  = 700 * time.Millisecond // interval between renewals
	driftMargin = 300 * time.Millisecond // allowance for clocks that run at different speeds
	settleTime  = time.Second            // time for which a view must stand before a shard is claimed
	moveAfter   = 4 * time.Second        // time for which a better owner must stay the same before a shard moves to it
	retryEvery  = time.Second            // interval between attempts of claims, fences and handovers
	maxMove     = 128                    // shards in one handover of a node that stays
	witnesses   = 3
)

// weight ranks a node, given the hash of its name, as owner of a shard; the constants are those of SplitMix64.
func weight(shard int, name uint64) uint64 {
	z := name + uint64(shard+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
