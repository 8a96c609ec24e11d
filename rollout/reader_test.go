package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/rollout"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const applyBound = 2 * time.Second // time within which a version must be in force

// TestOneNodeReadsForItsDataCentre checks that a calm data centre costs the reads of one node, and that versions arrive in time.
func TestOneNodeReadsForItsDataCentre(t *testing.T) {
	is := is.New(t)
	f := newSimFleet(44, applyBound, false)
	f.run(10 * time.Second)
	for range 4 {
		is.True(f.publish() < applyBound)
		f.run(5 * time.Second)
	}
	is.True(f.calls() <= 2*44) // the target is two calls a node and day
}

// TestFleetHasAVersionSoonAfterAStartOfAll checks that each node of a data centre has a version well before a caller gives up.
func TestFleetHasAVersionSoonAfterAStartOfAll(t *testing.T) {
	is := is.New(t)
	f := newSimFleet(44, applyBound, false)
	f.run(400 * time.Millisecond)
	for _, n := range f.nodes {
		is.Equal(n.version, 1)
	}
}

// TestVersionsArriveThroughLostReaders loses readers in different ways at drawn times and checks that each node which runs and reaches
// the store has a version within the bound, also if the store goes away for the readers without a sign just before it is written.
func TestVersionsArriveThroughLostReaders(t *testing.T) {
	tests := []struct {
		name string
		lose func(f *simFleet)
		wait time.Duration // time between the loss and the version
	}{
		{"the reader dies", func(f *simFleet) { f.nodes[0].down = true }, 0},
		{"both candidates die", func(f *simFleet) { f.nodes[0].down, f.nodes[1].down = true, true }, 0},
		{"both candidates die earlier", func(f *simFleet) { f.nodes[0].down, f.nodes[1].down = true, true }, 700 * time.Millisecond},
		{"a third of the nodes is cut from the candidates", func(f *simFleet) {
			for _, n := range f.nodes[:len(f.nodes)/3] {
				n.cutFrom["n00"], n.cutFrom["n01"] = true, true
			}
		}, 0},
		{"the store refuses the reader", func(f *simFleet) { f.nodes[0].refused = true }, 0},
		{"the store refuses both candidates", func(f *simFleet) { f.nodes[0].refused, f.nodes[1].refused = true, true }, 0},
		{"the reader loses the store without a sign", func(f *simFleet) { f.nodes[0].cutStore = true }, 0},
		{"both candidates lose the store without a sign", func(f *simFleet) { f.nodes[0].cutStore, f.nodes[1].cutStore = true, true }, 0},
		{"both candidates lost the store without a sign", func(f *simFleet) { f.nodes[0].cutStore, f.nodes[1].cutStore = true, true }, time.Second},
	}
	for _, apply := range []time.Duration{applyBound, 3 * time.Second} {
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%v/%s", apply, tt.name), func(t *testing.T) {
				is := is.New(t)
				rnd := rand.New(rand.NewPCG(1, 1))
				for range 30 {
					f := newSimFleet(12, apply, false)
					f.run(8*time.Second + time.Duration(rnd.IntN(6000))*time.Millisecond)
					tt.lose(f)
					f.run(tt.wait)
					if took := f.publish(); took >= apply {
						t.Fatalf("in force after %v", took)
					}
					f.run(10 * time.Second)
					is.True(f.publish() < apply)
				}
			})
		}
	}
}

// TestVersionsArriveThoughOpenReadsAreNeverAnswered lets all open connections to the store go silent for good at drawn times, of which TCP tells
// nothing, and publishes a version at some time after it.
func TestVersionsArriveThoughOpenReadsAreNeverAnswered(t *testing.T) {
	tests := []struct {
		name  string
		alone bool
		after time.Duration // time from the silence to the version
	}{
		{"readers of a data centre, at once", false, 0},
		{"readers of a data centre, later", false, settledWindow},
		{"nodes that read alone, at once", true, 0},
		{"nodes that read alone, later", true, settledWindow},
	}
	for _, apply := range []time.Duration{applyBound, 3 * time.Second} {
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%v/%s", apply, tt.name), func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(1, 1))
				for range 30 {
					f := newSimFleet(12, apply, false)
					if f.alone = tt.alone; f.alone {
						for _, n := range f.nodes {
							n.reader.SetCandidates([]string{n.name})
						}
					}
					f.run(8*time.Second + time.Duration(rnd.IntN(6000))*time.Millisecond)
					for _, n := range f.nodes {
						f.silence(n)
					}
					f.run(tt.after)
					if took := f.publish(); took > max(apply, settledWindow-tt.after) {
						t.Fatalf("in force after %v", took)
					}
				}
			})
		}
	}
}

// TestVersionsArriveThoughTheFirstReadFails loses the readers, or all nodes' reads, without a sign and lets the next read of each node fail once. It
// guards against a way back whose steps are each within the bound and their sum is not.
func TestVersionsArriveThoughTheFirstReadFails(t *testing.T) {
	loseReaders := func(f *simFleet) { f.nodes[0].cutStore, f.nodes[1].cutStore = true, true }
	silenceAll := func(f *simFleet) {
		for _, n := range f.nodes {
			f.silence(n)
		}
	}
	failOnce := func(f *simFleet) {
		for _, n := range f.nodes {
			n.unanswered = 1
		}
	}
	deletePosition := func(f *simFleet) { f.deleted = f.version }
	tests := []struct {
		name       string
		lose, fail func(f *simFleet)
	}{
		{"readers lost, the position deleted", loseReaders, deletePosition},
		{"readers lost, a read without an answer", loseReaders, failOnce},
		{"all connections silent, the position deleted", silenceAll, deletePosition},
		{"all connections silent, a read without an answer", silenceAll, failOnce},
	}
	for _, apply := range []time.Duration{applyBound, 3 * time.Second} {
		for _, tt := range tests {
			t.Run(fmt.Sprintf("%v/%s", apply, tt.name), func(t *testing.T) {
				rnd := rand.New(rand.NewPCG(1, 1))
				for range 100 {
					f := newSimFleet(12, apply, false)
					f.run(8*time.Second + time.Duration(rnd.IntN(6000))*time.Millisecond)
					f.version++
					f.run(2 * time.Second)
					tt.lose(f)
					tt.fail(f)
					if took := f.publish(); took >= apply {
						t.Fatalf("in force after %v", took)
					}
				}
			})
		}
	}
}

// reading returns the number of nodes other than the first that read now.
func (f *simFleet) reading() int {
	count := 0
	for _, n := range f.nodes[1:] {
		if n.reader.Reads(f.now) {
			count++
		}
	}
	return count
}

// callers returns the number of nodes that called the store more often than at their start.
func (f *simFleet) callers() int {
	count := 0
	for _, n := range f.nodes {
		if n.calls > 1 {
			count++
		}
	}
	return count
}

// TestAnotherCandidateReplacesALostReader checks that one other node reads for all when the reader is dead or has lost the store, and that
// the nodes return to the reader once it is back, so that the other stops.
func TestAnotherCandidateReplacesALostReader(t *testing.T) {
	tests := []struct {
		name string
		set  func(f *simFleet, n *simNode, lost bool)
	}{
		{"dead", func(f *simFleet, n *simNode, lost bool) {
			if n.down = lost; !lost {
				f.start(n)
			}
		}},
		{"refused by the store", func(_ *simFleet, n *simNode, lost bool) { n.refused = lost }},
		{"without the store", func(_ *simFleet, n *simNode, lost bool) { n.cutStore = lost }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newSimFleet(12, applyBound, false)
			f.run(10 * time.Second)
			is.Equal(f.reading(), 0)
			tt.set(f, f.nodes[0], true)
			before := f.callers()
			f.run(6 * time.Second)
			is.Equal(f.reading(), 1)
			is.True(f.callers()-before < len(f.nodes)/2) // not every node had to read for itself
			tt.set(f, f.nodes[0], false)
			f.run(15 * time.Second)
			is.Equal(f.reading(), 0)
			is.True(f.nodes[0].reader.Reads(f.now))
		})
	}
}

// TestVersionsArriveWhereNodesFreezeAndRestart draws histories of versions and of nodes that freeze, lose power, or lose the store or each
// other, mostly just after a version. A node without a fault in the settled window must have each version within the bound, and no node may hold
// its version for the newest that lacks one published before the bound.
func TestVersionsArriveWhereNodesFreezeAndRestart(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		apply := rapid.SampledFrom([]time.Duration{2 * time.Second, 3 * time.Second}).Draw(rt, "apply")
		f := newSimFleet(rapid.IntRange(3, 20).Draw(rt, "nodes"), apply, rapid.Bool().Draw(rt, "pushes"))
		if f.alone = rapid.Bool().Draw(rt, "alone"); f.alone {
			for _, n := range f.nodes {
				n.reader.SetCandidates([]string{n.name})
			}
		}
		f.run(6 * time.Second)
		var published []time.Time
		check := func(d time.Duration) {
			for end := f.now.Add(d); f.now.Before(end); {
				f.run(step)
				for _, n := range f.nodes {
					if due := f.due(published); !n.down && f.now.Sub(n.settled) > settledWindow && n.version < due {
						rt.Fatalf("%s has version %d at %v, want %d", n.name, n.version, f.now, due)
					}
					if due := f.due(published); f.runs(n) && n.version < due && n.reader.Freshness().Within(f.now, apply) {
						rt.Fatalf("%s holds version %d for the newest at %v, want %d", n.name, n.version, f.now, due)
					}
				}
			}
		}
		node := func() *simNode { return f.nodes[rapid.IntRange(0, len(f.nodes)-1).Draw(rt, "node")] }
		for range rapid.IntRange(1, 12).Draw(rt, "events") {
			f.version++
			published = append(published, f.now)
			for range rapid.IntRange(0, 4).Draw(rt, "faults") {
				check(time.Duration(rapid.IntRange(0, 8).Draw(rt, "after")) * step)
				n, d := node(), time.Duration(rapid.IntRange(1, 60).Draw(rt, "tenths"))*100*time.Millisecond
				switch rapid.SampledFrom([]string{"freeze", "power", "store", "refuse", "silence", "silence of all", "store of all", "refuse all", "delete"}).Draw(rt, "fault") {
				case "silence":
					f.silence(n)
				case "silence of all":
					for _, n := range f.nodes {
						f.silence(n)
					}
				case "delete":
					f.deleted = f.version
				case "store of all":
					for _, n := range f.nodes {
						f.cutStore(n, d)
					}
				case "refuse all":
					for _, n := range f.nodes {
						f.refuse(n, d)
					}
				case "freeze":
					f.freeze(n, d)
				case "power":
					f.restart(n)
				case "store":
					f.cutStore(n, d)
				case "refuse":
					f.refuse(n, d)
				}
			}
			check(time.Duration(rapid.IntRange(0, 400).Draw(rt, "pause")) * step)
		}
		check(8 * time.Second)
	})
}

// runs reports whether a node runs now, so that it may decide on requests.
func (f *simFleet) runs(n *simNode) bool { return !n.down && !f.now.Before(n.frozen) }

// TestCalmNodesKnowThatTheyHaveTheNewestVersion guards against nodes that can't refuse an unknown key for good although nothing is wrong, and
// against nodes that still do so while the store is away.
func TestCalmNodesKnowThatTheyHaveTheNewestVersion(t *testing.T) {
	for _, nodes := range []int{1, 2, 12, 44} {
		for _, apply := range []time.Duration{applyBound, 3 * time.Second} {
			t.Run(fmt.Sprintf("%d/%v", nodes, apply), func(t *testing.T) {
				f := newSimFleet(nodes, apply, true)
				f.run(8 * time.Second)
				for i := range 3000 {
					if i%500 == 0 {
						f.version++
					}
					f.run(step)
					for _, n := range f.nodes {
						if !n.reader.Freshness().Within(f.now, apply) {
							t.Fatalf("%s doesn't know at %v that it has the newest version", n.name, f.now)
						}
					}
				}
				for _, n := range f.nodes {
					n.refused = true
				}
				f.run(apply + time.Second)
				for _, n := range f.nodes {
					if n.reader.Freshness().Within(f.now, apply) {
						t.Fatalf("%s holds its version for the newest without the store", n.name)
					}
				}
			})
		}
	}
}

// due returns the version that must be in force now, given the times at which versions 2 and later were published.
func (f *simFleet) due(published []time.Time) int {
	version := 1
	for i, at := range published {
		if f.now.Sub(at) > f.apply {
			version = i + 2
		}
	}
	return version
}

// TestNoReadIsAwaitedForLong checks that a read whose answer never comes is given up within the time to apply a version, whoever relies on the node.
func TestNoReadIsAwaitedForLong(t *testing.T) {
	for _, candidates := range [][]string{nil, {"a"}, {"a", "b"}, {"b", "a"}, {"b", "c"}} {
		is := is.New(t)
		now := time.Unix(1_000_000, 0)
		r := rollout.NewReader(now, "a", applyBound, rand.New(rand.NewPCG(1, 1)))
		r.SetCandidates(candidates)
		for range 20 {
			is.True(r.Hold(now)+r.AnswerTime() < applyBound)
			r.Sent(now, r.Hold(now))
			now = now.Add(r.Hold(now))
			r.Answered(now, false)
		}
	}
}

func TestLateAnswerConfirmsNoMoreThanItTells(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	r := rollout.NewReader(now, "a", applyBound, rand.New(rand.NewPCG(1, 1)))
	r.SetCandidates([]string{"a", "b"})
	r.Sent(now, 0)
	now = now.Add(applyBound)
	r.Answered(now, false)
	is.True(!r.Confirms(now)) // the answer tells of the time when the read was sent
	r.Sent(now, applyBound/2)
	now = now.Add(applyBound / 2)
	r.Answered(now, false)
	is.True(r.Confirms(now)) // the read was held to its end for lack of news
	r.Failed()
	is.True(!r.Confirms(now))
}
