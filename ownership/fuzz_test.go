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

var totalSteps = flag.Int("steps", 30_000, "number of simulated steps in TestAtMostOnce")

const stepsPerSimulation = 1500

// TestAtMostOnce runs engines and ledgers under message loss, delay, one-way partitions, pauses, crashes, stale membership
// and log outages, and checks that no key is executed more than once.
func TestAtMostOnce(t *testing.T) {
	simulations := (*totalSteps + stepsPerSimulation - 1) / stepsPerSimulation
	var executed atomic.Int64
	t.Run("worlds", func(t *testing.T) {
		for seed := uint64(1); seed <= uint64(simulations); seed++ {
			t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				sim := newSimulation(seed, 3+int(seed%4)*2, faults{})
				for range stepsPerSimulation {
					sim.step(sim.rnd.IntN(100))
					if sim.violation != "" {
						t.Fatalf("seed %d, step %d: %s", seed, sim.stepCount, sim.violation)
					}
				}
				executed.Add(int64(sim.executionCount))
			})
		}
	})
	t.Logf("%d steps, %d requests executed", simulations*stepsPerSimulation, executed.Load())
	if int(executed.Load()) < simulations*stepsPerSimulation/20 {
		t.Fatalf("only %d of %d steps executed a request; the test exercises too little", executed.Load(), simulations*stepsPerSimulation)
	}
}

// TestAtMostOnceShrinks runs shorter sequences of actions drawn by rapid, which shrinks a sequence that fails.
func TestAtMostOnceShrinks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64Range(1, 1<<20).Draw(t, "seed"), rapid.IntRange(3, 6).Draw(t, "nodes"), faults{})
		for _, c := range rapid.SliceOfN(rapid.IntRange(0, 99), 10, 200).Draw(t, "choices") {
			sim.step(c)
			if sim.violation != "" {
				t.Fatal(sim.violation)
			}
		}
	})
}

// TestInjectedFaultsAreDetected shows that the simulation's checks detect injected faults.
func TestInjectedFaultsAreDetected(t *testing.T) {
	tests := []struct {
		name   string
		faults faults
	}{
		{"a takeover without fencing", faults{disabled: ownership.DisabledSafeguards{Fencing: true}}},
		{"an owner without a lease", faults{disabled: ownership.DisabledSafeguards{Leases: true}}},
		{"a new owner that says nothing of its gap", faults{disabled: ownership.DisabledSafeguards{CompleteSince: true}}},
		{"not run said of a repeat", faults{falseNotRunOnRepeat: true}},
		{"not run said after the dispatch", faults{falseNotRun: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			stepsToDetection := 0
			for seed := uint64(1); seed < 40 && stepsToDetection == 0; seed++ {
				sim := newSimulation(seed, 5, tt.faults)
				for sim.stepCount < stepsPerSimulation && sim.violation == "" {
					sim.step(sim.rnd.IntN(100))
				}
				if sim.violation != "" {
					stepsToDetection = int(seed-1)*stepsPerSimulation + sim.stepCount
				}
			}
			t.Logf("detected after %d steps", stepsToDetection)
			is.True(stepsToDetection > 0) // the injected fault was detected
		})
	}
}
