package soak

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is a kind of fault or of planned operation.
type Kind string

// The kinds of steps.
const (
	stopNode    Kind = "stop-node"    // SIGTERM, then a restart
	killNode    Kind = "kill-node"    // SIGKILL, then a restart
	pauseNode   Kind = "pause-node"   // SIGSTOP, then SIGCONT
	killAll     Kind = "kill-all"     // SIGKILL to all nodes at once, then restarts
	cutOneWay   Kind = "cut-one-way"  // traffic between two nodes or data centres is held back in one direction; connections stay open
	silence     Kind = "silence"      // like cut-one-way, but in both directions
	resetLinks  Kind = "reset-links"  // TCP connections between two nodes or data centres are reset
	silentConns Kind = "silent-conns" // the open connections between two nodes or data centres, or of all nodes to the store, go silent for good; new ones work
	slowLinks   Kind = "slow-links"   // traffic between two nodes or data centres is delayed
	storeDown   Kind = "store-down"   // all calls to the store fail
	storeSilent Kind = "store-silent" // no call to the store is answered, also not after the fault
	storeSlow   Kind = "store-slow"   // all calls to the store are delayed
	storeLoses  Kind = "store-loses"  // responses to some appends are lost, and these appends take effect late
	storeCut    Kind = "store-cut"    // one node can't reach the store
	storeBack   Kind = "store-back"   // the store is away for a moment and returns from a copy, which the operator completes after another moment
	storeTrims  Kind = "store-trims"  // the records of the operator's topic are deleted, except for the newest value of each key
	configure   Kind = "configure"    // configuration versions are published in quick succession
	storm       Kind = "storm"        // configuration versions are published at short intervals for the whole duration
	drainServer Kind = "drain-server" // a server drains and deregisters, then a new one starts beside the node
	crashServer Kind = "crash-server" // a server crashes, then a new one, whose clock may be behind, starts beside the node
	sickServer  Kind = "sick-server"  // a server shows a gray failure
	badReload   Kind = "bad-reload"   // an invalid settings file, then a valid one, each with or without a signal
)

// drawnKinds are the kinds among which the faults of bursts are drawn. Restorations of the store are drawn apart, so that a seed keeps its
// other faults.
var drawnKinds = []Kind{
	stopNode, killNode, pauseNode, killAll, cutOneWay, silence, resetLinks, silentConns, slowLinks, storeDown, storeSilent, storeSlow,
	storeLoses, storeCut, storeTrims, configure, storm, drainServer, crashServer, sickServer, badReload,
}

// Step is one fault or operation of a run.
type Step struct {
	At                     time.Duration // time of the step's start, measured from the start of fault injection
	Kind                   Kind
	Duration               time.Duration
	TargetIndex, PeerIndex int // indexes of nodes, or of data centres if BetweenDataCentres is set
	BetweenDataCentres     bool
	Variant                int // random number that selects among the variants of a kind
}

const (
	burstSpan      = 800 * time.Millisecond // maximum time from the start of a burst to the start of any of its faults
	minDuration    = 300 * time.Millisecond
	maxDuration    = 3500 * time.Millisecond
	maxExtraFaults = 3                       // maximum number of faults in a burst besides the first
	meanBurstGap   = 1500 * time.Millisecond // mean time between the starts of bursts
	killAllShare   = 0.3                     // share of the drawn kill-all steps that are kept
	restoredShare  = 0.5                     // share of the seeds with restorations of the store
	meanRestoreGap = 4 * time.Second         // mean time between restorations of the store
)

// DrawSteps returns the random steps for the seed in the order of their starts. All steps end before span plus burstSpan.
func DrawSteps(seed uint64, span time.Duration, nodes, dataCentres int) []Step {
	rnd := rand.New(rand.NewPCG(seed, 11))
	var steps []Step
	for at := meanBurstGap / 2; at < span-maxDuration; at += time.Duration(rnd.ExpFloat64() * float64(meanBurstGap)) {
		for range 1 + rnd.IntN(maxExtraFaults+1) {
			s := Step{
				At: at + time.Duration(rnd.Int64N(int64(burstSpan))), Kind: drawnKinds[rnd.IntN(len(drawnKinds))],
				Duration:    minDuration + time.Duration(rnd.Int64N(int64(maxDuration-minDuration))),
				TargetIndex: rnd.IntN(nodes), BetweenDataCentres: rnd.IntN(3) == 0, Variant: rnd.IntN(1 << 16),
			}
			s.PeerIndex = (s.TargetIndex + 1 + rnd.IntN(nodes-1)) % nodes
			if s.BetweenDataCentres {
				s.TargetIndex %= dataCentres
				s.PeerIndex = (s.TargetIndex + 1 + rnd.IntN(dataCentres-1)) % dataCentres
			}
			if s.Kind == killAll && rnd.Float64() > killAllShare {
				continue
			}
			steps = append(steps, s)
		}
	}
	steps = append(steps, drawRestorations(seed, span)...)
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].At < steps[j].At })
	return steps
}

// drawRestorations returns the restorations of the store for the seed. The duration of a step is the age of the copy.
func drawRestorations(seed uint64, span time.Duration) []Step {
	rnd := rand.New(rand.NewPCG(seed, 12))
	if rnd.Float64() >= restoredShare {
		return nil
	}
	var steps []Step
	for at := time.Duration(0); at < span-maxDuration; at += time.Duration(rnd.ExpFloat64() * float64(meanRestoreGap)) {
		at += time.Duration(rnd.Int64N(int64(burstSpan)))
		duration := minDuration + time.Duration(rnd.Int64N(int64(maxDuration-minDuration)))
		steps = append(steps, Step{At: at, Kind: storeBack, Duration: duration, PeerIndex: 1, Variant: rnd.IntN(1 << 16)})
	}
	return steps
}
