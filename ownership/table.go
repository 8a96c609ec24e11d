package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jasminevane/jasminevane/platform"
)

// ShardCount is the number of shards into which the idempotency keys are divided.
const ShardCount = 1024

// Stream is the name of the log stream of claims.
const Stream = "owner"

// Shard returns the shard of a key.
func Shard(key string) int { return int(xxhash.Sum64String(key) % ShardCount) }

// NodeRef identifies one run of a node by the node's name and incarnation number.
type NodeRef struct {
	Name        string `json:"n"`
	Incarnation uint64 `json:"i"`
}

// Lease identifies the lease on a shard in one epoch. NewWitnesses are the witnesses to which the owner moves the lease;
// it is empty if the lease is not moving.
type Lease struct {
	Shard        int
	Epoch        uint64
	NewWitnesses []NodeRef
}

// ClaimKind is the reason why a claim is allowed.
type ClaimKind string

// The kinds of claims.
const (
	Fresh         ClaimKind = "fresh"    // the shard had no owner
	Transfer      ClaimKind = "transfer" // the former owner handed the shard over, or the owner changed the witnesses
	Takeover      ClaimKind = "takeover" // the former owner was fenced
	TableSnapshot ClaimKind = "image"    // a snapshot of the whole table, which claims nothing
)

// Claim is a record of the log stream, by which a node claims shards.
type Claim struct {
	Kind      ClaimKind    `json:"kind"`
	Node      NodeRef      `json:"node"`
	Witnesses []NodeRef    `json:"witnesses,omitempty"`
	Shards    []ShardClaim `json:"shards,omitempty"`
	Table     *Table       `json:"table,omitempty"`
}

// ShardClaim is the part of a claim that concerns one shard. It is accepted only if PrevEpoch is the shard's current epoch.
type ShardClaim struct {
	Shard     int    `json:"s"`
	PrevEpoch uint64 `json:"e"`
}

// Assignment is the assignment of a shard to its owner, as set by the last accepted claim; Epoch is 0 if there was none.
type Assignment struct {
	Epoch     uint64    `json:"e"`
	Owner     NodeRef   `json:"o"`
	Witnesses []NodeRef `json:"w"`
	ClaimKind ClaimKind `json:"k"`
}

// Table holds the assignments of all shards, indexed by shard. It includes all log entries before the offset Next.
type Table struct {
	Next        platform.Offset `json:"next"`
	Assignments []Assignment    `json:"rows"`
}

func newTable() *Table { return &Table{Assignments: make([]Assignment, ShardCount)} }

// apply applies one log entry. It returns the claim of the entry and the shards whose assignment changed.
func (t *Table) apply(e platform.Entry) (claim Claim, changed []int) {
	if e.Offset < t.Next {
		return Claim{}, nil
	}
	t.Next = e.Offset + 1
	claim, err := platform.Decode[Claim](e.Record)
	if err != nil {
		return Claim{}, nil
	}
	if claim.Kind == TableSnapshot {
		return Claim{}, t.raise(claim.Table)
	}
	for _, s := range claim.Shards {
		if s.Shard < 0 || s.Shard >= ShardCount || t.Assignments[s.Shard].Epoch != s.PrevEpoch {
			continue // an earlier claim in the log already replaced this epoch
		}
		t.Assignments[s.Shard] = Assignment{Epoch: s.PrevEpoch + 1, Owner: claim.Node, Witnesses: claim.Witnesses, ClaimKind: claim.Kind}
		changed = append(changed, s.Shard)
	}
	return claim, changed
}

// raise takes over the assignments of later epochs from another table, and returns their shards. A snapshot in the log has later epochs
// than the entries before it only after the log was restored from a copy.
func (t *Table) raise(other *Table) (changed []int) {
	if other == nil || len(other.Assignments) != ShardCount {
		return nil
	}
	for s, assignment := range other.Assignments {
		if assignment.Epoch > t.Assignments[s].Epoch {
			t.Assignments[s] = assignment
			changed = append(changed, s)
		}
	}
	return changed
}

func (t *Table) clone() *Table { return &Table{Next: t.Next, Assignments: slices.Clone(t.Assignments)} }

// Node is a live node of the fleet's membership.
type Node struct {
	NodeRef
	DataCentre string
	Region     string
	Leaving    bool
}

// Durations and limits of the ownership protocol.
const (
	LeaseDuration     = 2 * time.Second        // validity of a lease after the renewal request was sent
	renewInterval     = 700 * time.Millisecond // interval between renewals
	driftMargin       = 300 * time.Millisecond // allowance for clocks that run at different speeds
	settleTime        = time.Second            // minimum time after the start, and after a change of the desired owner, before a node claims a shard
	rebalanceDelay    = 4 * time.Second        // minimum time after the same events before a shard moves to another live node
	retryInterval     = time.Second            // interval between attempts to claim, fence or hand over a shard
	maxHandoverShards = 128                    // maximum number of shards in one handover, unless the node is leaving
	witnessCount      = 3
)

// ownerScore returns the rendezvous hash of a shard and a node; the node with the highest score should own the shard.
// The constants are those of SplitMix64.
func ownerScore(shard int, nameHash uint64) uint64 {
	z := nameHash + uint64(shard+1)*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
