package ownership

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/platform"
	"github.com/matryer/is"
)

// TestRestoredLogGivesNoEpochTwice guards against an epoch of a shard that a log gives out again after it was restored from a copy: its first
// owner would still serve.
func TestRestoredLogGivesNoEpochTwice(t *testing.T) {
	now := time.Unix(1_000, 0)
	claim := func(offset platform.Offset, c Claim) platform.Entry {
		rec, err := platform.Encode("", c)
		if err != nil {
			t.Fatal(err)
		}
		return platform.Entry{Offset: offset, Record: rec}
	}
	owned := func(node string, prevEpoch uint64) Claim {
		return Claim{Kind: Transfer, Node: NodeRef{Name: node, Incarnation: 1}, Shards: []ShardClaim{{Shard: 7, PrevEpoch: prevEpoch}}}
	}
	newEngine := func() *Engine {
		return New(now, Node{NodeRef: NodeRef{Name: "z", Incarnation: 1}}, DisabledSafeguards{})
	}
	old, young := newEngine(), newEngine()
	old.Apply(now, claim(0, owned("a", 0)))
	old.Apply(now, claim(1, owned("b", 1)))
	young.Apply(now, claim(0, owned("a", 0))) // has read only the restored log
	old.MarkCaughtUp(now)
	old.Rewind()
	tests := []struct {
		name  string
		entry platform.Entry
		want  string // owner of the shard in the view of both nodes
	}{
		{"what the log has kept", claim(0, owned("a", 0)), ""},
		{"what the node knows is written again", claim(1, Claim{Kind: TableSnapshot, Table: old.Table()}), "b"},
		{"a claim that doesn't know of it", claim(2, owned("c", 1)), "b"},
		{"a claim that does", claim(3, owned("c", 2)), "c"},
		{"an earlier snapshot", claim(4, Claim{Kind: TableSnapshot, Table: newTable()}), "c"},
		{"a snapshot without a table", claim(5, Claim{Kind: TableSnapshot}), "c"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			old.Apply(now, tt.entry)
			young.Apply(now, tt.entry)
			is.Equal(old.Next(), tt.entry.Offset+1)
			if tt.want == "" {
				is.Equal(old.Table().Assignments[7].Owner.Name, "b") // the claim that the log has lost
				return
			}
			is.Equal(old.Table().Assignments[7].Owner.Name, tt.want)
			is.Equal(young.Table().Assignments[7], old.Table().Assignments[7])
		})
	}
}

// TestAdoptedTableHidesNoLaterEpoch guards against a table of a node that has read more of a restored log but knows less of the lost one.
func TestAdoptedTableHidesNoLaterEpoch(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000, 0)
	e := New(now, Node{NodeRef: NodeRef{Name: "z", Incarnation: 1}}, DisabledSafeguards{})
	e.table.Assignments[7] = Assignment{Epoch: 5, Owner: NodeRef{Name: "a"}}
	e.Rewind()
	other := newTable()
	other.Next = 3
	other.Assignments[7] = Assignment{Epoch: 4, Owner: NodeRef{Name: "b"}}
	other.Assignments[8] = Assignment{Epoch: 2, Owner: NodeRef{Name: "c"}}
	is.True(e.Adopt(now, other))
	is.Equal(e.Next(), platform.Offset(3))
	is.Equal(e.table.Assignments[7].Owner.Name, "a")
	is.Equal(e.table.Assignments[8].Owner.Name, "c")
}
