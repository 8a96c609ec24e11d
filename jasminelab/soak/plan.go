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
	stopNode    Kind = "stop-node"   // SIGTERM, then a restart
	killNode    Kind = "kill-node"   // SIGKILL, then a restart
	pauseNode   Kind = "pause-node"  // SIGSTOP, then SIGCONT
	killAll     Kind = "kill-all"    // SIGKILL to all nodes at once, then a restart of each
	cutOneWay   Kind = "cut-one-way" // bytes between two nodes or data centres are held back in one direction; connections stay open
	silence     Kind = "silence"     // as cut-one-way, in both directions
	resetLinks  Kind = "reset-links"
	slowLinks   Kind = "slow-links"
	storeDown   Kind = "store-down"
	storeSlow   Kind = "store-slow"
	storeLoses  Kind = "store-loses"  // responses to appends are lost, and the appends take effect late
	storeCut    Kind = "store-cut"    // one node can't reach the store
	storeTrims  Kind = "store-trims"  // the history of the operator's topic is deleted; the newest record of each key stays
	configure   Kind = "configure"    // new configuration versions in quick succession
	drainServer Kind = "drain-server" // a server drains and leaves, then a new one starts beside the node
	crashServer Kind = "crash-server" // a server ends at once, then a new one starts beside the node; its clock may be behind
	sickServer  Kind = "sick-server"  // a server shows a gray failure
	badReload   Kind = "bad-reload"   // an invalid settings file, then a valid one, each with or without a signal
)

var kinds = []Kind{
	stopNode, killNode, pauseNode, killAll, cutOneWay, silence, resetLinks, slowLinks, storeDown, storeSlow,
	storeLoses, storeCut, storeTrims, configure, drainServer, crashServer, sickServer, badReload,
}

// Step is one fault or operation of a run.
type Step struct {
	At                     time.Duration // since the start of the steps
	Kind                   Kind
	Duration               time.Duration
	TargetIndex, PeerIndex int // indexes of nodes, or of data centres if BetweenDataCentres
	BetweenDataCentres     bool
	Variant                int // selects among the variants of a kind
}

const (
	burstSpan      = 800 * time.Millisecond // within which the faults of one burst begin
	minDuration    = 300 * time.Millisecond
	maxDuration    = 3500 * time.Millisecond
	maxExtraFaults = 3                       // maximum faults of a burst besides the first
	meanBurstGap   = 1500 * time.Millisecond // mean time between the starts of bursts
	killAllShare   = 0.3                     // share of the drawn kill-all steps that are kept
)

// Draw returns the steps of a seed in order of their start; all end within burstSpan after span.
func Draw(seed uint64, span time.Duration, nodes, dataCentres int) []Step {
	rnd := rand.New(rand.NewPCG(seed, 11))
	var steps []Step
	for at := meanBurstGap / 2; at < span-maxDuration; at += time.Duration(rnd.ExpFloat64() * float64(meanBurstGap)) {
		for range 1 + rnd.IntN(maxExtraFaults+1) {
			s := Step{
				At: at + time.Duration(rnd.Int64N(int64(burstSpan))), Kind: kinds[rnd.IntN(len(kinds))],
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
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].At < steps[j].At })
	return steps
}
