package rollout_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/matryer/is"
)

// maxStoredBytes is the size of the largest record that the log service takes.
const maxStoredBytes = 256 << 10

// largeText returns a bundle with callers whose names can't be compressed well.
func largeText(callers int, seed uint64) string {
	rnd := rand.New(rand.NewPCG(seed, 1))
	var text strings.Builder
	for range callers {
		name := "c"
		for range 3 {
			name += fmt.Sprintf("%016x", rnd.Uint64())
		}
		text.WriteString(caller(name, 1+rnd.IntN(90)))
	}
	return bundleText(text.String())
}

// encode returns the records of a record of the log.
func encode(t interface{ Fatal(...any) }, rec rollout.Record) []platform.Record {
	records, err := rollout.Encode(string(rec.Kind)+"-"+rec.ID, rec)
	if err != nil {
		t.Fatal(err)
	}
	return records
}

func (l *memoryLog) append(records ...platform.Record) {
	for _, r := range records {
		l.entries = append(l.entries, platform.Entry{Offset: platform.Offset(len(l.entries)), Record: r})
	}
}

// TestLargeRecordsFitTheLog guards against proposals and snapshots of large bundles that the log service refuses for their size.
func TestLargeRecordsFitTheLog(t *testing.T) {
	is := is.New(t)
	o := newOperators(t)
	e := rollout.New("a", o.ring)
	s := newStep(e, "c1", parse(t, largeText(10_000, 1)), nil, o.keys[:2]...)
	var l memoryLog
	l.append(encode(t, rollout.Record{Kind: rollout.Propose, ID: s.ID, Step: &s})...)
	is.True(len(l.entries) > 1)
	l.append(encode(t, rollout.Record{Kind: rollout.Roll, ID: s.ID})...)
	l.applyAll(e)
	is.Equal(e.Version(), uint64(1))
	state := e.State()
	is.Equal(state.Offset, uint64(len(l.entries)))
	snapshot := encode(t, rollout.Record{Kind: rollout.Snapshot, ID: "snapshot", State: &state})
	is.True(len(snapshot) > 1)
	l.append(snapshot...)
	for _, entry := range l.entries {
		stored, err := json.Marshal(entry.Record)
		is.NoErr(err)
		is.True(len(stored)+64 <= maxStoredBytes) // the client adds the time
	}
	late := rollout.New("a", o.ring) // the entries before the snapshot have expired
	for _, entry := range l.entries[len(l.entries)-len(snapshot):] {
		late.Apply(entry)
	}
	is.Equal(late.InForce().Digest(), e.InForce().Digest())
}

// TestFragmentsJoinAtAllNodesAlike guards against nodes that differ in a proposal since its fragments were appended twice, came between those of another
// one, or were read in part before a node adopted the state of another one.
func TestFragmentsJoinAtAllNodesAlike(t *testing.T) {
	o := newOperators(t)
	e := rollout.New("a", o.ring)
	var start memoryLog // a first version, so that there is a state to adopt
	start.roll(t, newStep(e, "c0", parse(t, bundleText("")), nil, o.keys[:2]...))
	start.applyAll(e)
	one := newStep(e, "c1", parse(t, largeText(5_000, 1)), nil, o.keys[:2]...)
	other := newStep(e, "c2", parse(t, largeText(5_000, 2)), nil, o.keys[:2]...)
	pending := [][]platform.Record{
		encode(t, rollout.Record{Kind: rollout.Propose, ID: one.ID, Step: &one}), encode(t, rollout.Record{Kind: rollout.Propose, ID: other.ID, Step: &other}),
	}
	for seed := range uint64(20) { // few, since each joins and checks large bundles
		rnd := rand.New(rand.NewPCG(seed, 1))
		l := memoryLog{entries: slices.Clone(start.entries)}
		left := [][]platform.Record{pending[0], pending[1]}
		for len(left[0])+len(left[1]) > 0 {
			k := rnd.IntN(2)
			if len(left[k]) == 0 {
				k = 1 - k
			}
			l.append(left[k][0])
			if rnd.IntN(3) > 0 {
				left[k] = left[k][1:]
			}
		}
		l.append(encode(t, rollout.Record{Kind: rollout.Roll, ID: one.ID})...)
		reader, adopter := rollout.New("a", o.ring), rollout.New("a", o.ring)
		adoptAt := len(start.entries) + rnd.IntN(len(l.entries)-len(start.entries))
		for i, entry := range l.entries {
			if i == adoptAt {
				if ok, err := adopter.Adopt(reader.State()); !ok || err != nil {
					t.Fatal(ok, err)
				}
			}
			reader.Apply(entry)
		}
		l.applyAll(adopter)
		for _, n := range []*rollout.Engine{reader, adopter} {
			if n.Version() != 2 || len(n.OpenProposals()) != 1 {
				t.Fatalf("seed %d: version %d, %d open proposals, adopted before entry %d", seed, n.Version(), len(n.OpenProposals()), adoptAt)
			}
		}
	}
}

// TestInvalidFragmentsAreRefused guards against fragments that a faulty writer sent: they must neither stop the engine nor become a record.
func TestInvalidFragmentsAreRefused(t *testing.T) {
	tests := []struct {
		name     string
		fragment *rollout.Fragment
	}{
		{"none", nil},
		{"no count", &rollout.Fragment{Set: "a"}},
		{"a negative index", &rollout.Fragment{Set: "a", Index: -1, Count: 1}},
		{"an index beyond the count", &rollout.Fragment{Set: "a", Index: 1, Count: 1}},
		{"too many", &rollout.Fragment{Set: "a", Count: 1 << 30}},
		{"not compressed", &rollout.Fragment{Set: "a", Count: 1, Data: []byte("{}")}},
		{"too long", &rollout.Fragment{Set: "a", Count: 2, Data: make([]byte, 200<<10)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := rollout.New("a", newOperators(t).ring)
			var l memoryLog
			l.add(t, rollout.Record{Kind: rollout.Part, ID: "c1", Fragment: tt.fragment})
			events := l.applyAll(e)
			is.Equal(len(events), 1)
			is.Equal(events[0].Result, rollout.Invalid)
			is.Equal(e.State().Offset, uint64(1)) // no incomplete record is left
		})
	}
}
