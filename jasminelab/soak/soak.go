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
	loadPart     = 0.3             // of the servers' capacity
	checkEvery   = time.Second     // interval at which promises are checked
	recoverBound = 5 * time.Second // after the last fault, from which callers are served again
	recoverWatch = 3 * time.Second
	recoverShare = 0.9
	leavingShare = 0.05                   // of the callers, who leave early
	goneBound    = 500 * time.Millisecond // after which nothing is done for a caller that has left
	goneFew      = 5                      // requests that may reach a server later
	goneShare    = 0.25                   // of those that run when their callers leave, which may go on
	stallEvery   = 20 * time.Millisecond
	stallLimit   = 300 * time.Millisecond // delay of the soak itself from which times are not judged
	quietStart   = 2 * time.Second
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

	mu   sync.Mutex
	said map[string]bool // faults of requests that were reported
	rep  Report
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
	r := &run{cfg: cfg, fleet: f, load: load.New(f, cfg.Seed), said: make(map[string]bool), rep: Report{Seed: cfg.Seed}}
	r.play(ctx, shape)
	return r.rep, ctx.Err()
}

func (r *run) play(ctx context.Context, shape fleet.Shape) {
	t := newTouch()
	m := newMarks(t, r.breach)
	a := &actor{fleet: r.fleet, touch: t, marks: m, say: r.say, busy: make(map[string]bool)}
	for _, n := range r.fleet.Nodes() {
		a.names = append(a.names, n.Name)
	}
	steps := Draw(r.cfg.Seed, r.cfg.Span, len(a.names), len(shape.DataCentres))
	r.rep.Steps = len(steps)
	lctx, stop := context.WithCancel(ctx)
	defer stop()
	for _, v := range shape.Services {
		for _, c := range v.Classes {
			r.load.Start(lctx, &load.Stream{Service: v, Class: c, Rate: shape.Capacity(v) * loadPart * c.Weight, Leaving: leavingShare})
		}
	}
	var wg sync.WaitGroup
	spawn := func(f func()) {
		wg.Add(1)
		go func() { defer wg.Done(); f() }()
	}
	sleep(ctx, quietStart)
	r.start = time.Now()
	spawn(func() { m.run(lctx, r.fleet, rand.New(rand.NewPCG(r.cfg.Seed, 13))) })
	spawn(func() { r.watch(lctx) })
	spawn(func() { r.clock(lctx) })
	a.play(ctx, r.start, steps)
	healed := time.Now()
	sleepUntil(ctx, healed.Add(recoverBound+recoverWatch))
	stop()
	wg.Wait()
	r.load.Wait()
	r.check()
	r.recovery(healed.Add(recoverBound))
	r.drains()
	r.gone()
	r.rep.VersionProbes = m.asked
}

func (r *run) say(format string, args ...any) {
	if r.cfg.Out != nil {
		fmt.Fprintf(r.cfg.Out, "  "+format+"\n", args...)
	}
}

func (r *run) breach(promise, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b := Breach{At: time.Since(r.start), Promise: promise, Text: text}
	r.rep.Breaches = append(r.rep.Breaches, b)
	r.say("%5.2fs BROKEN %s: %s", b.At.Seconds(), promise, text)
}

// watch checks the promises on requests while the run goes on.
func (r *run) watch(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, checkEvery)
		r.check()
	}
}

// clock measures by how much the soak itself is held up.
func (r *run) clock(ctx context.Context) {
	for ctx.Err() == nil {
		before := time.Now()
		time.Sleep(stallEvery)
		r.mu.Lock()
		r.rep.MaxStall = max(r.rep.MaxStall, time.Since(before)-stallEvery)
		r.mu.Unlock()
	}
}

// stalled reports whether the soak was held up so long that it can't judge times.
func (r *run) stalled() bool { return r.rep.MaxStall > stallLimit }

// check holds every request against what the servers ran.
func (r *run) check() {
	records := r.load.Records()
	works := load.Works(r.fleet.Upstreams(""))
	for i := range records {
		rec := &records[i]
		w := works[rec.Tag]
		fault := rec.Fault(w)
		if w.Runs > 0 && w.Origin != rec.Origin && fault == "" {
			fault = "origin"
		}
		if fault == "" || r.said[rec.Tag] {
			continue
		}
		r.said[rec.Tag] = true
		r.breach(fault, fmt.Sprintf("%s %s through %s at %.2fs: %d %s, ran %d times, origin %q, held %v %s",
			rec.Stream.Class.Name, rec.Tag, rec.Node, rec.At.Sub(r.start).Seconds(), rec.Status, rec.Outcome, w.Runs, w.Origin, rec.Held.Round(time.Millisecond), rec.Err))
	}
}

// recovery holds the requests sent after a time against the share that must be served.
func (r *run) recovery(from time.Time) {
	sent, served := 0, 0
	for _, rec := range r.load.Records() {
		r.rep.Requests++
		if rec.Whole {
			r.rep.Served++
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
	r.rep.ServedShare = float64(served) / float64(sent)
	if r.rep.ServedShare < recoverShare && !r.stalled() {
		r.breach("recovery", fmt.Sprintf("%d of %d requests are served %v after the last fault", served, sent, recoverBound))
	}
}

// drains holds the work that servers started after a node knew that they leave against the bound.
func (r *run) drains() {
	for _, u := range r.fleet.Upstreams("") {
		acked := u.Acked()
		if acked.IsZero() {
			continue
		}
		for _, w := range u.Runs() {
			if late := w.At.Sub(acked); late > drainBound {
				r.breach("drain", fmt.Sprintf("%s started %s %v after the acknowledgement", u.ID(), w.Tag, late))
			}
		}
	}
}

// gone holds what servers did for callers that had left against the bounds.
func (r *run) gone() {
	left := make(map[string]time.Time)
	for _, rec := range r.load.Records() {
		if !rec.Left.IsZero() && rec.Stream.Class.Idempotent {
			left[rec.Tag] = rec.Left
		}
	}
	late, running, on := 0, 0, 0
	for _, u := range r.fleet.Upstreams("") {
		for _, w := range u.Runs() {
			at, ok := left[w.Tag]
			switch {
			case !ok:
			case w.At.Sub(at) > goneBound:
				late++
			case w.End.IsZero() || w.End.After(at):
				running++
				if w.End.IsZero() || w.End.Sub(at) > goneBound {
					on++
				}
			}
		}
	}
	r.rep.Left = len(left)
	if late > goneFew || on > goneFew && float64(on) > goneShare*float64(running) {
		r.breach("gone", fmt.Sprintf("of %d callers that left %d requests started and %d of %d went on %v later", len(left), late, on, running, goneBound))
	}
}
