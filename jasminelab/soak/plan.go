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
	stopNode   Kind = "stop-node"   // SIGTERM, then a new start
	killNode   Kind = "kill-node"   // SIGKILL, then a new start
	pauseNode  Kind = "pause-node"  // SIGSTOP, then SIGCONT
	killAll    Kind = "kill-all"    // every node at once, then all start again
	cutOneWay  Kind = "cut-one-way" // bytes between two nodes or data centres are held in one direction
	silence    Kind = "silence"     // in both directions
	resetLinks Kind = "reset-links"
	slowLinks  Kind = "slow-links"
	storeDown  Kind = "store-down"
	storeSlow  Kind = "store-slow"
	storeLoses Kind = "store-loses" // answers of appends are lost, their effect comes late
	storeCut   Kind = "store-cut"   // one node does not reach the store
	storeTrims Kind = "store-trims" // the history of the operator's topic is deleted
	configure  Kind = "configure"   // versions in quick succession
	drainUp    Kind = "drain-server"
	crashUp    Kind = "crash-server" // and a new server beside the node, whose clock may be behind
	sickUp     Kind = "sick-server"
	badReload  Kind = "bad-reload" // settings that can't be read, with or without a signal, then good ones
)

var kinds = []Kind{
	stopNode, killNode, pauseNode, killAll, cutOneWay, silence, resetLinks, slowLinks, storeDown, storeSlow,
	storeLoses, storeCut, storeTrims, configure, drainUp, crashUp, sickUp, badReload,
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
	clusterSpan = 800 * time.Millisecond // within which the faults of one series begin
	minFor      = 300 * time.Millisecond
	maxFor      = 3500 * time.Millisecond
	perSeries   = 3                       // at most, besides the first
	seriesGap   = 1500 * time.Millisecond // mean time between series
	rareShare   = 0.3                     // of the draws of kill-all that stay
)

// Draw returns the steps of a seed, which all end before span.
func Draw(seed uint64, span time.Duration, nodes, sites int) []Step {
	rnd := rand.New(rand.NewPCG(seed, 11))
	var out []Step
	for at := seriesGap / 2; at < span-maxFor; at += time.Duration(rnd.ExpFloat64() * float64(seriesGap)) {
		for range 1 + rnd.IntN(perSeries+1) {
			s := Step{
				At: at + time.Duration(rnd.Int64N(int64(clusterSpan))), Kind: kinds[rnd.IntN(len(kinds))],
				Duration: minFor + time.Duration(rnd.Int64N(int64(maxFor-minFor))),
				A:        rnd.IntN(nodes), BetweenDataCentres: rnd.IntN(3) == 0, Variant: rnd.IntN(1 << 16),
			}
			s.B = (s.A + 1 + rnd.IntN(nodes-1)) % nodes
			if s.BetweenDataCentres {
				s.A %= sites
				s.B = (s.A + 1 + rnd.IntN(sites-1)) % sites
			}
			if s.Kind == killAll && rnd.Float64() > rareShare {
				continue
			}
			out = append(out, s)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At < out[j].At })
	return out
}
