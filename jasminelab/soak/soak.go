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
	offeredUtilization  = 0.3                    // offered load as a share of the servers' capacity
	checkInterval       = time.Second            // interval at which the records of requests are checked
	maxRecoveryTime     = 5 * time.Second        // maximum time from the end of the last fault until the fleet serves requests again
	recoveryWindow      = 3 * time.Second        // time after maxRecoveryTime in which the share of served requests is measured
	minServedShare      = 0.9                    // minimum share of the requests sent in recoveryWindow that must be served
	cancelShare         = 0.05                   // share of the requests that their callers cancel early
	maxCancellationTime = 500 * time.Millisecond // maximum time from the cancellation of a request until servers stop running it
	maxLateRequests     = 5                      // maximum number of canceled requests that start, or still run, after maxCancellationTime
	maxUncanceledShare  = 0.25                   // maximum share of the requests running when canceled that still run after maxCancellationTime
	stallInterval       = 20 * time.Millisecond  // interval of the timer whose delay shows stalls of the soak process
	maxStall            = 300 * time.Millisecond // longer stalls of the soak process itself make its time measurements unusable
	warmUp              = 2 * time.Second        // load without faults before the steps start
)

// Config describes one run.
type Config struct {
	Seed          uint64
	FaultDuration time.Duration // duration of fault injection
	NodeCount     int           // number of nodes; at least 8
	LogDir        string        // directory for the nodes' logs; may be empty
	Out           io.Writer     // receives a line for each step and violation; may be nil
}

// Violation is one violation of a guarantee.
type Violation struct {
	At        time.Duration // measured from the start of fault injection
	Guarantee string        // name of the violated guarantee
	Text      string        // what was observed
}

// Report is the result of one run.
type Report struct {
	Seed             uint64
	Steps            int           // number of steps drawn
	Restorations     int           // number of restorations of the store
	PeakAppends      int           // most writes of nodes to the store within one second
	Requests         int           // number of recorded requests
	Served           int           // requests that got a complete response
	CanceledRequests int           // idempotent requests that their callers canceled early
	VersionProbes    int           // number of answered probes for the version in force
	ServedShare      float64       // share of the requests sent in recoveryWindow that were served
	MaxStall         time.Duration // longest stall of the soak process itself
	Violations       []Violation
}

// soakRun is the state of one run.
type soakRun struct {
	cfg   Config
	start time.Time
	fleet *fleet.Fleet
	load  *load.Generator

	mu           sync.Mutex
	reportedTags map[string]bool // tags of the requests for which a violation was reported
	report       Report
}

// Run runs the steps of one seed. The error says why the run could not be completed; violations are in the report.
func Run(ctx context.Context, cfg Config) (Report, error) {
	deployment := fleet.Carritos(3)
	opt := fleet.Options{Seed: cfg.Seed, Protocol: fakeupstream.Platform, LogDir: cfg.LogDir, ExtraNodeCount: max(0, cfg.NodeCount-deployment.Servers())}
	f, err := fleet.StartAndWait(ctx, deployment, opt)
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return Report{}, errors.Wrap(err, "soak")
	}
	r := &soakRun{cfg: cfg, fleet: f, load: load.New(f, cfg.Seed), reportedTags: make(map[string]bool), report: Report{Seed: cfg.Seed}}
	r.execute(ctx, deployment)
	return r.report, ctx.Err()
}

func (r *soakRun) execute(ctx context.Context, deployment fleet.Deployment) {
	tracker := newFaultTracker()
	prober := newVersionProber(tracker, r.reportViolation)
	inj := &injector{fleet: r.fleet, faultTracker: tracker, prober: prober, logf: r.logf, claimed: make(map[string]bool)}
	for _, n := range r.fleet.Nodes() {
		inj.nodeNames = append(inj.nodeNames, n.Name)
	}
	steps := DrawSteps(r.cfg.Seed, r.cfg.FaultDuration, len(inj.nodeNames), len(deployment.DataCentres))
	r.report.Steps = len(steps)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for _, v := range deployment.Services {
		for _, c := range v.Classes {
			r.load.Start(loadCtx, &load.Stream{Service: v, Class: c, Rate: deployment.Capacity(v) * offeredUtilization * c.RequestShare, CancelShare: cancelShare})
		}
	}
	var wg sync.WaitGroup
	runInBackground := func(f func()) {
		wg.Add(1)
		go func() { defer wg.Done(); f() }()
	}
	sleep(ctx, warmUp)
	r.start = time.Now()
	runInBackground(func() { prober.run(loadCtx, r.fleet, rand.New(rand.NewPCG(r.cfg.Seed, 13))) })
	runInBackground(func() { r.checkPeriodically(loadCtx) })
	runInBackground(func() { r.measureStall(loadCtx) })
	inj.run(ctx, r.start, steps)
	faultsEnded := time.Now()
	sleepUntil(ctx, faultsEnded.Add(maxRecoveryTime+recoveryWindow))
	stopLoad()
	wg.Wait()
	r.load.Wait()
	r.checkRequests()
	r.checkRecovery(faultsEnded.Add(maxRecoveryTime))
	r.checkDrains()
	r.checkCancellation()
	r.checkRestorations(ctx, inj)
	r.report.Restorations, r.report.PeakAppends = len(inj.lost), r.fleet.Log.Counts().PeakAppendRate
	r.report.VersionProbes = prober.probeCount
}

func (r *soakRun) logf(format string, args ...any) {
	if r.cfg.Out != nil {
		fmt.Fprintf(r.cfg.Out, "  "+format+"\n", args...)
	}
}

func (r *soakRun) reportViolation(guarantee, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	violation := Violation{At: time.Since(r.start), Guarantee: guarantee, Text: text}
	r.report.Violations = append(r.report.Violations, violation)
	r.logf("%5.2fs BROKEN %s: %s", violation.At.Seconds(), guarantee, text)
}

// checkPeriodically checks the records of requests at checkInterval until ctx ends.
func (r *soakRun) checkPeriodically(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, checkInterval)
		r.checkRequests()
	}
}

// measureStall measures the longest stall of the soak process itself: the delay of a timer beyond its interval.
func (r *soakRun) measureStall(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(stallInterval)
		r.mu.Lock()
		r.report.MaxStall = max(r.report.MaxStall, time.Since(before)-stallInterval)
		r.mu.Unlock()
	}
}

// stalled reports whether the soak process stalled so long that its time measurements are unusable.
func (r *soakRun) stalled() bool { return r.report.MaxStall > maxStall }

// checkRequests checks the record of every request against the runs on the servers.
func (r *soakRun) checkRequests() {
	records := r.load.Records()
	runsByTag := load.RunsByTag(r.fleet.Upstreams(""))
	for i := range records {
		rec := &records[i]
		runs := runsByTag[rec.Tag]
		guarantee := rec.Violation(runs)
		if runs.Count > 0 && runs.Origin != rec.Origin && guarantee == "" {
			guarantee = "origin"
		}
		if guarantee == "" || r.reportedTags[rec.Tag] {
			continue
		}
		r.reportedTags[rec.Tag] = true
		r.reportViolation(guarantee, fmt.Sprintf("%s %s through %s at %.2fs: %d %s, ran %d times, origin %q, held %v %s",
			rec.Stream.Class.Name, rec.Tag, rec.Node, rec.ScheduledAt.Sub(r.start).Seconds(), rec.Status, rec.Outcome, runs.Count, runs.Origin, rec.AttemptDuration.Round(time.Millisecond), rec.Err))
	}
}

// checkRecovery checks that at least minServedShare of the requests sent after from were served.
func (r *soakRun) checkRecovery(from time.Time) {
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
		r.reportViolation("recovery", fmt.Sprintf("%d of %d requests are served %v after the last fault", served, sent, maxRecoveryTime))
	}
}

// checkDrains checks that no server started a request later than maxDispatchDelay after a node acknowledged that the server drains.
func (r *soakRun) checkDrains() {
	for _, u := range r.fleet.Upstreams("") {
		acked := u.DrainAckedAt()
		if acked.IsZero() {
			continue
		}
		for _, serverRun := range u.Runs() {
			if delay := serverRun.Start.Sub(acked); delay > maxDispatchDelay {
				r.reportViolation("drain", fmt.Sprintf("%s started %s %v after the acknowledgement", u.ID(), serverRun.Tag, delay))
			}
		}
	}
}

// checkCancellation checks that canceled requests stopped running in time.
func (r *soakRun) checkCancellation() {
	canceledAtByTag := make(map[string]time.Time)
	for _, rec := range r.load.Records() {
		if !rec.CanceledAt.IsZero() && rec.Stream.Class.Idempotent {
			canceledAtByTag[rec.Tag] = rec.CanceledAt
		}
	}
	startedLate, running, uncanceled := 0, 0, 0
	for _, u := range r.fleet.Upstreams("") {
		for _, serverRun := range u.Runs() {
			canceledAt, ok := canceledAtByTag[serverRun.Tag]
			switch {
			case !ok:
			case serverRun.Start.Sub(canceledAt) > maxCancellationTime:
				startedLate++
			case serverRun.End.IsZero() || serverRun.End.After(canceledAt):
				running++
				if serverRun.End.IsZero() || serverRun.End.Sub(canceledAt) > maxCancellationTime {
					uncanceled++
				}
			}
		}
	}
	r.report.CanceledRequests = len(canceledAtByTag)
	if startedLate > maxLateRequests || uncanceled > maxLateRequests && float64(uncanceled) > maxUncanceledShare*float64(running) {
		r.reportViolation("gone", fmt.Sprintf("of %d callers that left %d requests started and %d of %d went on %v later", len(canceledAtByTag), startedLate, uncanceled, running, maxCancellationTime))
	}
}
