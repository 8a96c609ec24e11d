package ownership_test

import (
	"flag"
	"strconv"
	"sync/atomic"
	"testing"

	"github.com/jasminevane/jasminevane/ownership"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var steps = flag.Int("steps", 30_000, "steps of the stateful fuzz")

const stepsPerWorld = 1500

// TestAtMostOnce lets engines and ledgers run under loss, delay, one-way cuts, pauses, crashes, wrong views and outages of the log, and counts how often each key ran.
func TestAtMostOnce(t *testing.T) {
	worlds := (*steps + stepsPerWorld - 1) / stepsPerWorld
	var ran atomic.Int64
	t.Run("worlds", func(t *testing.T) {
		for seed := uint64(1); seed <= uint64(worlds); seed++ {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				w := newWorld(seed, 3+int(seed%4)*2, plant{})
				for range stepsPerWorld {
					w.step(w.rnd.IntN(100))
					if w.broken != "" {
						t.Fatalf("seed %d, step %d: %s", seed, w.steps, w.broken)
					}
				}
				ran.Add(int64(w.ran))
			})
		}
	})
	t.Logf("%d steps, %d requests ran", worlds*stepsPerWorld, ran.Load())
	if int(ran.Load()) < worlds*stepsPerWorld/20 {
		t.Fatalf("only %d of %d steps led to work, the fuzz sees too little", ran.Load(), worlds*stepsPerWorld)
	}
}

// TestAtMostOnceShrinks runs shorter histories that rapid draws, so that a failure is shrunk.
func TestAtMostOnceShrinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64Range(1, 1<<20).Draw(t, "seed"), rapid.IntRange(3, 6).Draw(t, "nodes"), plant{})
		for _, c := range rapid.SliceOfN(rapid.IntRange(0, 99), 10, 200).Draw(t, "choices") {
			w.step(c)
			if w.broken != "" {
				t.Fatal(w.broken)
			}
		}
	})
}

// TestPlantedFaultsAreFound shows that the oracle sees faults that were put in on purpose.
func TestPlantedFaultsAreFound(t *testing.T) {
	tests := []struct {
		name  string
		plant plant
	}{
		{"a takeover without fencing", plant{policy: ownership.DisabledSafeguards{Fencing: true}}},
		{"an owner without a lease", plant{policy: ownership.DisabledSafeguards{Leases: true}}},
		{"a new owner that says nothing of its gap", plant{policy: ownership.DisabledSafeguards{CompleteSince: true}}},
		{"not run said of a repeat", plant{lieToRepeat: true}},
		{"not run said after the dispatch", plant{lieNotRun: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			found := 0
			for seed := uint64(1); seed < 40 && found == 0; seed++ {
				w := newWorld(seed, 5, tt.plant)
				for w.steps < stepsPerWorld && w.broken == "" {
					w.step(w.rnd.IntN(100))
				}
				if w.broken != "" {
					found = int(seed-1)*stepsPerWorld + w.steps
				}
			}
			t.Logf("found after %d steps", found)
			is.True(found > 0) // the planted fault is found
		})
	}
}
