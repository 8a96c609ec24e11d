package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/jasminevane/jasminevane/jasminelab/upstand"
	"github.com/pkg/errors"
)

const (
	loadShare          = 0.3             // of the servers' capacity
	checkInterval      = time.Second     // interval at which promises are checked
	recoveryBound      = 5 * time.Second // after the last fault, from which callers are served again
	recoveryWindow     = 3 * time.Second
	minServedShare     = 0.9
	leavingShare       = 0.05                   // of the callers, who leave early
	cancelBound        = 500 * time.Millisecond // after which nothing is done for a caller that has left
	cancelTolerance    = 5                      // requests that may reach a server later
	maxUncanceledShare = 0.25                   // of those that run when their callers leave, which may go on
	stallInterval      = 20 * time.Millisecond
	maxStall           = 300 * time.Millisecond // delay of the soak itself from which times are not judged
	warmUp             = 2 * time.Second
)

// Config describes one run.
type Config struct {
	Seed   uint64
	Span   time.Duration // of the faults
	Nodes  int           // at least 8
	LogDir string        // directory for the nodes' logs; may be empty
	Out    io.Writer
}

// Breach is a promise that was broken.
type Breach struct {
	At      time.Duration // after the start of traffic
	Promise string
	Text    string
}

// Report is the result of one run.
type Report struct {
	Seed          uint64
	Steps         int
	Requests      int
	Served        int           // of them, with a whole answer
	Left          int           // requests that may be repeated and whose callers left early
	VersionProbes int           // questions after the version in force
	ServedShare   float64       // of requests that were served once the faults were over
	MaxStall      time.Duration // longest delay of the soak itself
	Breaches      []Breach
}

// run is one run in work.
type run struct {
	cfg   Config
	start time.Time
	fleet *fleet.Fleet
	load  *load.Generator

	mu       sync.Mutex
	reported map[string]bool // faults of requests that were reported
	report   Report
}

// Run plays one seed; the error tells what kept it from being played, not the promises that were broken.
func Run(ctx context.Context, cfg Config) (Report, error) {
	shape := fleet.Carritos(3)
	opt := fleet.Options{Seed: cfg.Seed, Contract: upstand.Platform, LogDir: cfg.LogDir, ExtraNodes: max(0, cfg.Nodes-shape.Servers())}
	f, err := fleet.Up(ctx, shape, opt)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return Report{}, errors.Wrap(err, "soak")
	}
	r := &run{cfg: cfg, fleet: f, load: load.New(f, cfg.Seed), reported: make(map[string]bool), report: Report{Seed: cfg.Seed}}
	r.execute(ctx, shape)
	return r.report, ctx.Err()
}

func (r *run) execute(ctx context.Context, shape fleet.Shape) {
	d := newDisturbances()
	prober := newVersionProber(d, r.reportBreach)
	inj := &injector{fleet: r.fleet, disturbances: d, prober: prober, logf: r.logf, busy: make(map[string]bool)}
	for _, n := range r.fleet.Nodes() {
		inj.nodeNames = append(inj.nodeNames, n.Name)
	}
	steps := Draw(r.cfg.Seed, r.cfg.Span, len(inj.nodeNames), len(shape.DataCentres))
	r.report.Steps = len(steps)
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	for _, v := range shape.Services {
		for _, c := range v.Classes {
			r.load.Start(loadCtx, &load.Stream{Service: v, Class: c, Rate: shape.Capacity(v) * loadShare * c.Weight, Leaving: leavingShare})
		}
	}
	var wg sync.WaitGroup
	background := func(f func()) {
		wg.Add(1)
		go func() { defer wg.Done(); f() }()
	}
	sleep(ctx, warmUp)
	r.start = time.Now()
	background(func() { prober.run(loadCtx, r.fleet, rand.New(rand.NewPCG(r.cfg.Seed, 13))) })
	background(func() { r.checkPeriodically(loadCtx) })
	background(func() { r.measureStall(loadCtx) })
	inj.run(ctx, r.start, steps)
	faultsEnded := time.Now()
	sleepUntil(ctx, faultsEnded.Add(recoveryBound+recoveryWindow))
	stop()
	wg.Wait()
	r.load.Wait()
	r.checkRequests()
	r.checkRecovery(faultsEnded.Add(recoveryBound))
	r.checkDrains()
	r.checkCancellation()
	r.report.VersionProbes = prober.probes
}

func (r *run) logf(format string, args ...any) {
	if r.cfg.Out != nil {
		fmt.Fprintf(r.cfg.Out, "  "+format+"\n", args...)
	}
}

func (r *run) reportBreach(promise, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := Breach{At: time.Since(r.start), Promise: promise, Text: text}
	r.report.Breaches = append(r.report.Breaches, b)
	r.logf("%5.2fs BROKEN %s: %s", b.At.Seconds(), promise, text)
}

// checkPeriodically checks the promises on requests while the run goes on.
func (r *run) checkPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, checkInterval)
		r.checkRequests()
	}
}

// measureStall measures by how much the soak itself is held up.
func (r *run) measureStall(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(stallInterval)
		r.mu.Lock()
		r.report.MaxStall = max(r.report.MaxStall, time.Since(before)-stallInterval)
		r.mu.Unlock()
	}
}

// stalled reports whether the soak was held up so long that it can't judge times.
func (r *run) stalled() bool { return r.report.MaxStall > maxStall }

// checkRequests holds every request against what the servers ran.
func (r *run) checkRequests() {
	records := r.load.Records()
	workByTag := load.Works(r.fleet.Upstreams(""))
	for i := range records {
		rec := &records[i]
		work := workByTag[rec.Tag]
		promise := rec.Fault(work)
		if work.Runs > 0 && work.Origin != rec.Origin && promise == "" {
			promise = "origin"
		}
		if promise == "" || r.reported[rec.Tag] {
			continue
		}
		r.reported[rec.Tag] = true
		r.reportBreach(promise, fmt.Sprintf("%s %s through %s at %.2fs: %d %s, ran %d times, origin %q, held %v %s",
			rec.Stream.Class.Name, rec.Tag, rec.Node, rec.At.Sub(r.start).Seconds(), rec.Status, rec.Outcome, work.Runs, work.Origin, rec.Held.Round(time.Millisecond), rec.Err))
	}
}

// checkRecovery holds the requests sent after a time against the share that must be served.
func (r *run) checkRecovery(from time.Time) {
	sent, served := 0, 0
	for _, rec := range r.load.Records() {
		r.report.Requests++
		if rec.Whole {
			r.report.Served++
		}
		if rec.At.Before(from) || !rec.Left.IsZero() {
			continue
		}
		sent++
		if rec.Whole && rec.Status < 500 {
			served++
		}
	}
	if sent == 0 {
		return
	}
	r.report.ServedShare = float64(served) / float64(sent)
	if r.report.ServedShare < minServedShare && !r.stalled() {
		r.reportBreach("recovery", fmt.Sprintf("%d of %d requests are served %v after the last fault", served, sent, recoveryBound))
	}
}

// checkDrains holds the work that servers started after a node knew that they leave against the bound.
func (r *run) checkDrains() {
	for _, u := range r.fleet.Upstreams("") {
		acked := u.Acked()
		if acked.IsZero() {
			continue
		}
		for _, w := range u.Runs() {
			if late := w.At.Sub(acked); late > drainBound {
				r.reportBreach("drain", fmt.Sprintf("%s started %s %v after the acknowledgement", u.ID(), w.Tag, late))
			}
		}
	}
}

// checkCancellation holds what servers did for callers that had left against the bounds.
func (r *run) checkCancellation() {
	leftAt := make(map[string]time.Time)
	for _, rec := range r.load.Records() {
		if !rec.Left.IsZero() && rec.Stream.Class.Idempotent {
			leftAt[rec.Tag] = rec.Left
		}
	}
	startedLate, running, uncanceled := 0, 0, 0
	for _, u := range r.fleet.Upstreams("") {
		for _, w := range u.Runs() {
			at, ok := leftAt[w.Tag]
			switch {
			case !ok:
			case w.At.Sub(at) > cancelBound:
				startedLate++
			case w.End.IsZero() || w.End.After(at):
				running++
				if w.End.IsZero() || w.End.Sub(at) > cancelBound {
					uncanceled++
				}
			}
		}
	}
	r.report.Left = len(leftAt)
	if startedLate > cancelTolerance || uncanceled > cancelTolerance && float64(uncanceled) > maxUncanceledShare*float64(running) {
		r.reportBreach("gone", fmt.Sprintf("of %d callers that left %d requests started and %d of %d went on %v later", len(leftAt), startedLate, uncanceled, running, cancelBound))
	}
}
