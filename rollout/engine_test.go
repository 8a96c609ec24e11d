package rollout_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/keyring"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const baseBundle = `
[policy]
signoffs = 2
key_retention = "10m"
retries = 0.1
link_bytes = "0B"
[[team]]
name = "bookings"
signers = ["ana"]
[[service]]
name = "reservas"
team = "bookings"
hosts = ["reservas.test"]
floor = 0.6
[[service]]
name = "flota"
hosts = ["flota.test"]
floor = 0.6
`

func bundleText(extra string) string { return baseBundle + extra }

func caller(name string, rate int) string {
	return fmt.Sprintf("[[caller]]\nname = %q\nrate = %d\n", name, rate)
}

func parse(t interface{ Fatal(...any) }, s string) *bundle.Bundle {
	b, err := bundle.Parse("b.toml", []byte(s))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

type operators struct {
	keys []keyring.Secret
	ring *keyring.Ring
}

func newOperators(t interface{ Fatal(...any) }) operators {
	var o operators
	var publicKeys []keyring.Public
	for _, n := range []string{"ana", "bruno", "carla"} {
		k, err := keyring.Generate(n)
		if err != nil {
			t.Fatal(err)
		}
		o.keys = append(o.keys, k)
		publicKeys = append(publicKeys, k.Public())
	}
	o.ring = keyring.NewRing(publicKeys...)
	return o
}

// memoryLog is an in-memory log.
type memoryLog struct{ entries []platform.Entry }

func (l *memoryLog) add(t interface{ Fatal(...any) }, rec rollout.Record) {
	r, err := platform.Encode(string(rec.Kind)+rec.ID, rec)
	if err != nil {
		t.Fatal(err)
	}
	l.entries = append(l.entries, platform.Entry{Offset: platform.Offset(len(l.entries)), Time: time.Unix(0, 0), Record: r})
}

func newStep(e *rollout.Engine, id string, next *bundle.Bundle, release []string, keys ...keyring.Secret) rollout.Step {
	head, lastStep := e.Head()
	s := rollout.Step{ID: id, Version: lastStep.Version + 1, Author: keys[0].Name(), Delta: head.Diff(next), Release: release}
	for _, k := range keys {
		s.Signatures = append(s.Signatures, k.Sign(s.Message()))
	}
	return s
}

func (l *memoryLog) roll(t interface{ Fatal(...any) }, s rollout.Step) {
	l.add(t, rollout.Record{Kind: rollout.Propose, ID: s.ID, Step: &s})
	l.add(t, rollout.Record{Kind: rollout.Roll, ID: s.ID})
}

func (l *memoryLog) applyAll(e *rollout.Engine) []rollout.Event {
	var events []rollout.Event
	for int(e.Next()) < len(l.entries) {
		events = append(events, e.Apply(l.entries[e.Next()])...)
	}
	return events
}

func TestSignoffs(t *testing.T) {
	o := newOperators(t)
	untrusted, err := keyring.Generate("ana")
	if err != nil {
		t.Fatal(err)
	}
	ana, bruno, carla := o.keys[0], o.keys[1], o.keys[2]
	tests := []struct {
		name        string
		keys        []keyring.Secret
		wantVersion uint64
	}{
		{"two signers, one of the team", []keyring.Secret{ana, bruno}, 1},
		{"one signer", []keyring.Secret{ana}, 0},
		{"the same signer twice", []keyring.Secret{ana, ana}, 0},
		{"nobody of the team", []keyring.Secret{bruno, carla}, 0},
		{"a key that is not trusted under a trusted name", []keyring.Secret{untrusted, bruno}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := rollout.New("a", o.ring)
			var l memoryLog
			l.roll(t, newStep(e, "c1", parse(t, bundleText("")), nil, tt.keys...))
			l.applyAll(e)
			is.Equal(e.Version(), tt.wantVersion)
			is.Equal(e.InForce().Len() > 0, tt.wantVersion > 0)
		})
	}
}

// TestTeamWithoutSignersOpensNothing guards against changes of a service that nobody of its team has signed, once the team's last signer is gone.
func TestTeamWithoutSignersOpensNothing(t *testing.T) {
	is := is.New(t)
	o := newOperators(t)
	e := rollout.New("a", o.ring)
	var l memoryLog
	withoutSigners := strings.Replace(bundleText(""), `signers = ["ana"]`, "signers = []", 1)
	moved := strings.Replace(withoutSigners, `hosts = ["reservas.test"]`, `hosts = ["elsewhere.test"]`, 1)
	l.roll(t, newStep(e, "c1", parse(t, withoutSigners), nil, o.keys[:2]...))
	l.applyAll(e)
	is.Equal(e.Version(), uint64(0)) // the first version has a service of the team, too
	l.roll(t, newStep(e, "c2", parse(t, bundleText("")), nil, o.keys[:2]...))
	l.applyAll(e)
	l.roll(t, newStep(e, "c3", parse(t, withoutSigners), nil, o.keys[:2]...)) // changes the team, not its service
	l.applyAll(e)
	is.Equal(e.Version(), uint64(2))
	l.roll(t, newStep(e, "c4", parse(t, moved), nil, o.keys...))
	l.applyAll(e)
	is.Equal(e.Version(), uint64(2))                                          // signed by all, but by nobody of the team
	l.roll(t, newStep(e, "c5", parse(t, bundleText("")), nil, o.keys[1:]...)) // gives the team a signer again
	l.applyAll(e)
	is.Equal(e.Version(), uint64(3))
}

// TestLastKeyIsTakenAwayOnlyWhileKeysAreRequired guards against a change that takes the last key away and thereby lets every request in.
func TestLastKeyIsTakenAwayOnlyWhileKeysAreRequired(t *testing.T) {
	is := is.New(t)
	o := newOperators(t)
	e := rollout.New("a", o.ring)
	var l memoryLog
	version := 0
	roll := func(text string) uint64 {
		version++
		l.roll(t, newStep(e, fmt.Sprint("c", version), parse(t, text), nil, o.keys...))
		l.applyAll(e)
		return e.Version()
	}
	withKey := bundleText(fmt.Sprintf("[[caller]]\nname = \"x\"\nkeys = [%q]\n", bundle.KeyDigest("k")))
	keyed := strings.Replace(bundleText(""), "signoffs = 2", "signoffs = 2\nkeyed = true", 1)
	is.Equal(roll(withKey), uint64(1))
	is.Equal(roll(bundleText("")), uint64(1))
	is.Equal(roll(bundleText("[[caller]]\nname = \"x\"\nkeys = []\n")), uint64(1))
	is.True(e.InForce().RequiresKeys())
	is.Equal(roll(keyed), uint64(2))
	is.True(e.InForce().RequiresKeys())
	is.Equal(roll(bundleText("")), uint64(3)) // says so
	is.True(!e.InForce().RequiresKeys())
}

func TestStagedRoll(t *testing.T) {
	is := is.New(t)
	o := newOperators(t)
	a, b := rollout.New("a", o.ring), rollout.New("b", o.ring)
	var l memoryLog
	applyToBoth := func() { l.applyAll(a); l.applyAll(b) }
	l.roll(t, newStep(a, "c1", parse(t, bundleText("")), nil, o.keys[:2]...))
	applyToBoth()
	oldDigest := b.InForce().Digest()
	l.roll(t, newStep(a, "c2", parse(t, bundleText(caller("x", 5))), []string{"a"}, o.keys[:2]...))
	applyToBoth()
	is.True(a.InForce().Caller("x") != nil)   // released
	is.Equal(b.InForce().Digest(), oldDigest) // not released yet
	newNode := rollout.New("b", o.ring)       // a node that starts with the state of another node
	_, err := newNode.Adopt(a.State())
	is.NoErr(err)
	is.Equal(newNode.InForce().Digest(), oldDigest)
	head, _ := a.Head()
	l.roll(t, newStep(a, "c3", head, nil, o.keys[:2]...))
	applyToBoth()
	is.True(b.InForce().Caller("x") != nil)
}

// TestConcurrentOperators draws proposals, rollouts, repeated appends, delayed reads of the log, snapshots and adoptions of other
// nodes' states. It checks that all nodes accept the same chain and that the version of a node never decreases.
func TestConcurrentOperators(t *testing.T) {
	o := newOperators(t)
	rapid.Check(t, func(t *rapid.T) { runRandomHistory(t, o) })
}

// runRandomHistory runs one random sequence of actions and checks the nodes after each of them.
func runRandomHistory(t *rapid.T, o operators) {
	var l memoryLog
	nodes := make([]*rollout.Engine, rapid.IntRange(2, 5).Draw(t, "nodes"))
	for i := range nodes {
		nodes[i] = rollout.New("a", o.ring)
	}
	lastVersions := make([]uint64, len(nodes))
	digests := map[uint64]bundle.Digest{}
	var proposals []rollout.Step
	for i := range rapid.IntRange(5, 80).Draw(t, "steps") {
		k := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
		switch rapid.IntRange(0, 6).Draw(t, "do") {
		case 0, 1:
			s := newStep(nodes[k], fmt.Sprintf("c%d", i), parse(t, bundleText(caller("x", 1+i))), nil, o.keys[:2]...)
			l.add(t, rollout.Record{Kind: rollout.Propose, ID: s.ID, Step: &s})
			proposals = append(proposals, s)
		case 2:
			if len(proposals) > 0 {
				s := proposals[rapid.IntRange(0, len(proposals)-1).Draw(t, "which")]
				l.add(t, rollout.Record{Kind: rollout.Roll, ID: s.ID})
			}
		case 3:
			if len(l.entries) > 0 { // an append repeated after its response was lost
				repeated := l.entries[rapid.IntRange(0, len(l.entries)-1).Draw(t, "again")]
				repeated.Offset = platform.Offset(len(l.entries))
				l.entries = append(l.entries, repeated)
			}
		case 4:
			for n := rapid.IntRange(0, 10).Draw(t, "read"); n > 0 && int(nodes[k].Next()) < len(l.entries); n-- {
				nodes[k].Apply(l.entries[nodes[k].Next()])
			}
		case 5:
			st := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "from")].State()
			if _, err := nodes[k].Adopt(st); err != nil {
				t.Fatal(err)
			}
		case 6:
			st := nodes[k].State()
			if st.Head.Version > 0 {
				l.add(t, rollout.Record{Kind: rollout.Snapshot, ID: fmt.Sprintf("s%d", i), State: &st})
			}
		}
		for j, e := range nodes {
			if e.Version() < lastVersions[j] {
				t.Fatalf("node %d went back from version %d to %d", j, lastVersions[j], e.Version())
			}
			lastVersions[j] = e.Version()
			head, lastStep := e.Head()
			if d, ok := digests[lastStep.Version]; ok && d != head.Digest() {
				t.Fatalf("version %d is %v on node %d and %v elsewhere", lastStep.Version, head.Digest(), j, d)
			}
			digests[lastStep.Version] = head.Digest()
		}
	}
	for j, e := range nodes {
		l.applyAll(e)
		if e.Version() != nodes[0].Version() {
			t.Fatalf("node %d has version %d, node 0 %d", j, e.Version(), nodes[0].Version())
		}
	}
}

func TestRepeatedAppendIsAppliedOnce(t *testing.T) {
	is := is.New(t)
	o := newOperators(t)
	e := rollout.New("a", o.ring)
	var l memoryLog
	s := newStep(e, "c1", parse(t, bundleText("")), nil, o.keys[:2]...)
	l.roll(t, s)
	l.roll(t, s)
	accepted := 0
	for _, ev := range l.applyAll(e) {
		if ev.Result == rollout.Accepted {
			accepted++
		}
	}
	is.Equal(accepted, 1)
	is.Equal(e.Version(), uint64(1))
}

func TestConflictNamesAcceptedStep(t *testing.T) {
	is := is.New(t)
	o := newOperators(t)
	e := rollout.New("a", o.ring)
	var l memoryLog
	winner := newStep(e, "c1", parse(t, bundleText("")), nil, o.keys[:2]...)
	loser := newStep(e, "c2", parse(t, bundleText(caller("x", 1))), nil, o.keys[:2]...)
	l.roll(t, winner)
	l.roll(t, loser)
	l.applyAll(e)
	results := e.ProposalResults()
	is.Equal(len(results), 2)
	is.Equal(results[1].Result, rollout.Conflict)
	is.Equal(results[1].Text, "version 1 was won by c1 of ana")
	is.Equal(rollout.ConflictingKeys(winner, loser), []string{"caller/x"})
}

// TestRewoundEngineKeepsTheAcceptedVersion guards against an engine that goes back with a log that was restored from a copy, that misses what
// gets its offsets again, or that keeps proposals which the log has lost.
func TestRewoundEngineKeepsTheAcceptedVersion(t *testing.T) {
	is := is.New(t)
	o := newOperators(t)
	e, reference := rollout.New("a", o.ring), rollout.New("a", o.ring)
	var l memoryLog
	l.roll(t, newStep(e, "c1", parse(t, bundleText("")), nil, o.keys[:2]...))
	l.applyAll(e)
	copied := memoryLog{entries: l.entries[:len(l.entries):len(l.entries)]}
	second := newStep(e, "c2", parse(t, bundleText(caller("x", 5))), nil, o.keys[:2]...)
	l.roll(t, second)
	l.applyAll(e)
	open := newStep(e, "c3", parse(t, bundleText(caller("x", 6))), nil, o.keys[:2]...)
	l.add(t, rollout.Record{Kind: rollout.Propose, ID: open.ID, Step: &open})
	l.applyAll(e)
	is.Equal(e.Version(), uint64(2))

	l = copied
	e.Rewind()
	l.applyAll(e)
	is.Equal(e.Version(), uint64(2))
	is.Equal(len(e.OpenProposals()), 0)
	l.add(t, rollout.Record{Kind: rollout.Roll, ID: open.ID}) // of a proposal that the log has lost
	l.roll(t, second)                                         // written again by the operator
	l.roll(t, newStep(e, "c4", parse(t, bundleText(caller("y", 7))), nil, o.keys[:2]...))
	l.applyAll(e)
	l.applyAll(reference) // which has read nothing but the restored log
	is.Equal(e.Version(), uint64(3))
	is.Equal(reference.Version(), uint64(3))
	is.Equal(e.InForce().Digest(), reference.InForce().Digest())
}
