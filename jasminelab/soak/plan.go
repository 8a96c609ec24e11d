package soak

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Kind is a kind of fault or planned work.
type Kind string

// The kinds.
const (
	stopNode    Kind = "stop-node"   // SIGTERM, then a new start
	killNode    Kind = "kill-node"   // SIGKILL, then a new start
	pauseNode   Kind = "pause-node"  // SIGSTOP, then SIGCONT
	killAll     Kind = "kill-all"    // every node at once, then all start again
	cutOneWay   Kind = "cut-one-way" // bytes between two nodes or data centres are held in one direction
	silence     Kind = "silence"     // in both directions
	resetLinks  Kind = "reset-links"
	slowLinks   Kind = "slow-links"
	storeDown   Kind = "store-down"
	storeSlow   Kind = "store-slow"
	storeLoses  Kind = "store-loses" // answers of appends are lost, their effect comes late
	storeCut    Kind = "store-cut"   // one node does not reach the store
	storeTrims  Kind = "store-trims" // the history of the operator's topic is deleted
	configure   Kind = "configure"   // versions in quick succession
	drainServer Kind = "drain-server"
	crashServer Kind = "crash-server" // and a new server beside the node, whose clock may be behind
	sickServer  Kind = "sick-server"
	badReload   Kind = "bad-reload" // settings that can't be read, with or without a signal, then good ones
)

var kinds = []Kind{
	stopNode, killNode, pauseNode, killAll, cutOneWay, silence, resetLinks, slowLinks, storeDown, storeSlow,
	storeLoses, storeCut, storeTrims, configure, drainServer, crashServer, sickServer, badReload,
}

// Step is one fault with its time.
type Step struct {
	At                 time.Duration // after the start of traffic
	Kind               Kind
	Duration           time.Duration
	A, B               int // numbers of nodes, or of data centres where Wide
	BetweenDataCentres bool
	Variant            int // variant
}

const (
	burstSpan      = 800 * time.Millisecond // within which the faults of one series begin
	minDuration    = 300 * time.Millisecond
	maxDuration    = 3500 * time.Millisecond
	maxExtraFaults = 3                       // at most, besides the first
	meanBurstGap   = 1500 * time.Millisecond // mean time between series
	killAllShare   = 0.3                     // of the draws of kill-all that stay
)

// Draw returns the steps of a seed, which all end before span.
func Draw(seed uint64, span time.Duration, nodes, dataCentres int) []Step {
	rnd := rand.New(rand.NewPCG(seed, 11))
	var steps []Step
	for at := meanBurstGap / 2; at < span-maxDuration; at += time.Duration(rnd.ExpFloat64() * float64(meanBurstGap)) {
		for range 1 + rnd.IntN(maxExtraFaults+1) {
			s := Step{
				At: at + time.Duration(rnd.Int64N(int64(burstSpan))), Kind: kinds[rnd.IntN(len(kinds))],
				Duration: minDuration + time.Duration(rnd.Int64N(int64(maxDuration-minDuration))),
				A:        rnd.IntN(nodes), BetweenDataCentres: rnd.IntN(3) == 0, Variant: rnd.IntN(1 << 16),
			}
			s.B = (s.A + 1 + rnd.IntN(nodes-1)) % nodes
			if s.BetweenDataCentres {
				s.A %= dataCentres
				s.B = (s.A + 1 + rnd.IntN(dataCentres-1)) % dataCentres
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
