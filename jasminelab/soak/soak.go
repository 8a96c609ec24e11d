package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fakeupstream"
	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/pkg/errors"
)

const (
	loadShare          = 0.3                    // offered load as a share of the servers' capacity
	checkInterval      = time.Second            // interval at which the promises on requests are checked
	recoveryBound      = 5 * time.Second        // time after the last fault within which service must recover
	recoveryWindow     = 3 * time.Second        // time after recoveryBound in which the served share is measured
	minServedShare     = 0.9                    // of the requests sent in recoveryWindow
	leavingShare       = 0.05                   // share of the requests whose callers leave early
	cancelBound        = 500 * time.Millisecond // time after a caller left within which work for it must stop
	cancelTolerance    = 5                      // requests that may start, or run on, after cancelBound
	maxUncanceledShare = 0.25                   // share of the requests running when their callers left that may run on after cancelBound
	stallInterval      = 20 * time.Millisecond  // interval at which stalls are measured
	maxStall           = 300 * time.Millisecond // longer stalls of the soak process itself make its time measurements unusable
	warmUp             = 2 * time.Second        // load without faults before the steps start
)

// Config describes one run.
type Config struct {
	Seed   uint64
	Span   time.Duration // time in which faults are injected
	Nodes  int           // at least 8
	LogDir string        // directory for the nodes' logs; may be empty
	Out    io.Writer     // receives a line for each step and breach; may be nil
}

// Violation is a promise that was broken.
type Violation struct {
	At        time.Duration // since the start of the steps
	Guarantee string
	Text      string
}

// Report is the result of one run.
type Report struct {
	Seed             uint64
	Steps            int // steps drawn
	Requests         int
	Served           int           // requests that got a complete response
	CanceledRequests int           // idempotent requests whose callers left early
	VersionProbes    int           // probes of which versions are in force
	ServedShare      float64       // share of the requests sent in recoveryWindow that were served
	MaxStall         time.Duration // longest stall of the soak process itself
	Violations       []Violation
}

// run is the state of one run.
type run struct {
	cfg   Config
	start time.Time
	fleet *fleet.Fleet
	load  *load.Generator

	mu       sync.Mutex
	reported map[string]bool // tags of the requests whose breach was reported
	report   Report
}

// Run runs the steps of one seed. The error says why the run could not be completed; broken promises are in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	shape := fleet.Carritos(3)
	opt := fleet.Options{Seed: cfg.Seed, Protocol: fakeupstream.Platform, LogDir: cfg.LogDir, ExtraNodes: max(0, cfg.Nodes-shape.Servers())}
	f, err := fleet.StartAndWait(ctx, shape, opt)
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

func (r *run) execute(ctx context.Context, shape fleet.Deployment) {
	d := newDisturbances()
	prober := newVersionProber(d, r.reportBreach)
	inj := &injector{fleet: r.fleet, disturbances: d, prober: prober, logf: r.logf, busy: make(map[string]bool)}
	for _, n := range r.fleet.Nodes() {
		inj.nodeNames = append(inj.nodeNames, n.Name)
	}
	steps := Draw(r.cfg.Seed, r.cfg.Span, len(inj.nodeNames), len(shape.DataCentres))
	r.report.Steps = len(steps)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for _, v := range shape.Services {
		for _, c := range v.Classes {
			r.load.Start(loadCtx, &load.Stream{Service: v, Class: c, Rate: shape.Capacity(v) * loadShare * c.Weight, CancelShare: leavingShare})
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
	stopLoad()
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
	b := Violation{At: time.Since(r.start), Guarantee: promise, Text: text}
	r.report.Violations = append(r.report.Violations, b)
	r.logf("%5.2fs BROKEN %s: %s", b.At.Seconds(), promise, text)
}

// checkPeriodically checks the promises on requests while the run goes on.
func (r *run) checkPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, checkInterval)
		r.checkRequests()
	}
}

// measureStall measures the longest stall of the soak process itself: the delay of a timer beyond its interval.
func (r *run) measureStall(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(stallInterval)
		r.mu.Lock()
		r.report.MaxStall = max(r.report.MaxStall, time.Since(before)-stallInterval)
		r.mu.Unlock()
	}
}

// stalled reports whether the soak process stalled so long that its time measurements are unusable.
func (r *run) stalled() bool { return r.report.MaxStall > maxStall }

// checkRequests checks every request against what the servers ran.
func (r *run) checkRequests() {
	records := r.load.Records()
	workByTag := load.RunsByTag(r.fleet.Upstreams(""))
	for i := range records {
		rec := &records[i]
		work := workByTag[rec.Tag]
		promise := rec.Violation(work)
		if work.Count > 0 && work.Origin != rec.Origin && promise == "" {
			promise = "origin"
		}
		if promise == "" || r.reported[rec.Tag] {
			continue
		}
		r.reported[rec.Tag] = true
		r.reportBreach(promise, fmt.Sprintf("%s %s through %s at %.2fs: %d %s, ran %d times, origin %q, held %v %s",
			rec.Stream.Class.Name, rec.Tag, rec.Node, rec.ScheduledAt.Sub(r.start).Seconds(), rec.Status, rec.Outcome, work.Count, work.Origin, rec.AttemptDuration.Round(time.Millisecond), rec.Err))
	}
}

// checkRecovery checks that enough of the requests sent after from were served.
func (r *run) checkRecovery(from time.Time) {
	sent, served := 0, 0
	for _, rec := range r.load.Records() {
		r.report.Requests++
		if rec.Complete {
			r.report.Served++
		}
		if rec.ScheduledAt.Before(from) || !rec.CanceledAt.IsZero() {
			continue
		}
		sent++
		if rec.Complete && rec.Status < 500 {
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

// checkDrains checks that no server started work later than drainBound after a node acknowledged that it drains.
func (r *run) checkDrains() {
	for _, u := range r.fleet.Upstreams("") {
		acked := u.DrainAckedAt()
		if acked.IsZero() {
			continue
		}
		for _, work := range u.Runs() {
			if late := work.Start.Sub(acked); late > drainBound {
				r.reportBreach("drain", fmt.Sprintf("%s started %s %v after the acknowledgement", u.ID(), work.Tag, late))
			}
		}
	}
}

// checkCancellation checks that work for callers that left early was stopped in time.
func (r *run) checkCancellation() {
	leftAt := make(map[string]time.Time)
	for _, rec := range r.load.Records() {
		if !rec.CanceledAt.IsZero() && rec.Stream.Class.Idempotent {
			leftAt[rec.Tag] = rec.CanceledAt
		}
	}
	startedLate, running, uncanceled := 0, 0, 0
	for _, u := range r.fleet.Upstreams("") {
		for _, work := range u.Runs() {
			left, ok := leftAt[work.Tag]
			switch {
			case !ok:
			case work.Start.Sub(left) > cancelBound:
				startedLate++
			case work.End.IsZero() || work.End.After(left):
				running++
				if work.End.IsZero() || work.End.Sub(left) > cancelBound {
					uncanceled++
				}
			}
		}
	}
	r.report.CanceledRequests = len(leftAt)
	if startedLate > cancelTolerance || uncanceled > cancelTolerance && float64(uncanceled) > maxUncanceledShare*float64(running) {
		r.reportBreach("gone", fmt.Sprintf("of %d callers that left %d requests started and %d of %d went on %v later", len(leftAt), startedLate, uncanceled, running, cancelBound))
	}
}
