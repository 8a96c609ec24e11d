package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jasminevane/jasminevane/platform"
)

// ShardCount is the number of shards of the key space.
const ShardCount = 1024

// Stream is the name of the log stream that holds the claims.
const Stream = "owner"

// Shard returns the shard of a key.
func Shard(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

// Ref identifies one run of a node.
type Ref struct {
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
}

// Lease identifies one epoch of a shard. NewWitnesses are the witnesses to which its owner moves the lease, if any.
type Lease struct {
	Shard        int
	Epoch        uint64
	NewWitnesses []Ref
}

// ClaimKind is the kind of a claim: why the node may own the shard.
type ClaimKind string

// The kinds of claims.
const (
	Fresh         ClaimKind = "fresh"    // the shard had no owner
	Transfer      ClaimKind = "transfer" // the former owner handed the shard over, or the owner records changed witnesses
	Takeover      ClaimKind = "takeover" // the former owner was fenced
	TableSnapshot ClaimKind = "image"    // a snapshot of the whole table, which claims nothing
)

// Claim is a record of the log stream.
type Claim struct {
	Kind      ClaimKind    `json:"kind"`
	Node      Ref          `json:"node"`
	Witnesses []Ref        `json:"witnesses,omitempty"`
	Shards    []ShardClaim `json:"shards,omitempty"`
	Table     *Table       `json:"table,omitempty"`
}

// ShardClaim identifies a shard to claim and the epoch that the claim replaces.
type ShardClaim struct {
	Shard     int    `json:"s"`
	PrevEpoch uint64 `json:"e"`
}

// Assignment is the owner of a shard according to the log.
type Assignment struct {
	Epoch     uint64    `json:"e"`
	Owner     Ref       `json:"o"`
	Witnesses []Ref     `json:"w"`
	ClaimKind ClaimKind `json:"k"`
}

// Table holds the owners of all shards after all claims before the offset Next.
type Table struct {
	Next        platform.Offset `json:"next"`
	Assignments []Assignment    `json:"rows"`
}

func newTable() *Table { return &Table{Assignments: make([]Assignment, ShardCount)} }

// apply applies one log entry and returns its claim with the shards whose epoch it changed.
func (t *Table) apply(e platform.Entry) (claim Claim, changed []int) {
	if e.Offset < t.Next {
		return Claim{}, nil
	}
	t.Next = e.Offset + 1
	claim, err := platform.Decode[Claim](e.Record)
	if err != nil || claim.Kind == TableSnapshot {
		return Claim{}, nil
	}
	for _, s := range claim.Shards {
		if s.Shard < 0 || s.Shard >= ShardCount || t.Assignments[s.Shard].Epoch != s.PrevEpoch {
			continue // an earlier claim in the log changed the epoch
		}
		t.Assignments[s.Shard] = Assignment{Epoch: s.PrevEpoch + 1, Owner: claim.Node, Witnesses: claim.Witnesses, ClaimKind: claim.Kind}
		changed = append(changed, s.Shard)
	}
	return claim, changed
}

func (t *Table) clone() *Table { return &Table{Next: t.Next, Assignments: slices.Clone(t.Assignments)} }

// Node is a live node of the fleet's membership.
type Node struct {
	Ref
	DataCentre string
	Region     string
	Leaving    bool
}

// Timing of leases, and bounds.
const (
	LeaseDuration     = 2 * time.Second        // validity of a lease, from the send time of the renewal
	renewInterval     = 700 * time.Millisecond // interval between renewals
	driftMargin       = 300 * time.Millisecond // allowance for clocks that run at different speeds
	settleTime        = time.Second            // time since the start and since the desired owner changed before a shard is claimed
	rebalanceDelay    = 4 * time.Second        // the same before a shard moves to another live node
	retryInterval     = time.Second            // interval between attempts of claims, fences and handovers
	maxHandoverShards = 128                    // shards in one handover, unless the node is leaving
	witnessCount      = 3
)

// ownerScore ranks a node, given the hash of its name, as owner of a shard; the constants are those of SplitMix64.
func ownerScore(shard int, name uint64) uint64 {
	z := name + uint64(shard+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
