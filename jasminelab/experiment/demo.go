package experiment

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/jasminevane/jasminevane/jasminelab/logstand"
	"github.com/jasminevane/jasminevane/jasminelab/upstand"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

const (
	demoScale = 3
	demoPart  = 0.4 // of capacity
	demoStep  = 4 * time.Second
)

// Demo brings up a small fleet on the platform's contract, sends traffic of all priorities while upstreams and nodes fail, and prints a table and the audit.
func Demo(ctx context.Context, opt Options) error {
	r := &Run{opt: opt}
	shape := fleet.Carritos(demoScale)
	r.progress("starting %s, scaled down", shape.Name)
	f, err := fleet.Up(ctx, shape, fleet.Options{Seed: opt.Seed, Contract: upstand.Platform})
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	r.progress("%d nodes serve version 1", len(f.Nodes()))
	g := load.New(f, opt.Seed)
	lctx, stop := context.WithCancel(ctx)
	defer stop()
	for _, s := range withoutRepeats(streams(shape, demoPart)) {
		g.Start(lctx, s)
	}
	if err := demoFaults(ctx, r, f); err != nil {
		return err
	}
	stop()
	g.Wait()
	records := g.Records()
	table(opt, load.Summarize(records, time.Time{}, time.Time{}))
	a := load.Check(records, f.Upstreams(""))
	fmt.Fprintln(opt.Out, a)
	if a.Sum() > 0 {
		return errors.New("a promise was broken")
	}
	return nil
}

func demoFaults(ctx context.Context, r *Run, f *fleet.Fleet) error {
	sleep(ctx, demoStep)
	gray := f.Upstreams("reservas")[0]
	r.progress("%s turns gray: 10 times slower", gray.ID())
	gray.SetFaults(upstand.Faults{Slow: 10})
	sleep(ctx, demoStep)
	leaving := f.Upstreams("flota")[0]
	r.progress("%s drains", leaving.ID())
	leaving.SetState(ctx, upstream.Draining)
	sleep(ctx, demoStep)
	old := f.Nodes()[1]
	r.progress("%s is replaced", old.Name)
	stopped := make(chan error, 1)
	go func() { stopped <- old.Stop() }()
	if _, err := f.Replace(old); err != nil {
		return err
	}
	if err := <-stopped; err != nil {
		return err
	}
	sleep(ctx, demoStep)
	r.progress("%s leaves; the store goes away", leaving.ID())
	leaving.Leave(ctx)
	f.Log.SetFaults(logstand.Faults{Down: true})
	sleep(ctx, demoStep)
	r.progress("the store is back and takes version 2; %s is well again", gray.ID())
	f.Log.SetFaults(logstand.Faults{})
	if err := f.Configure(f.Shape.Configuration(2)); err != nil {
		return err
	}
	gray.SetFaults(upstand.Faults{})
	sleep(ctx, demoStep)
	return f.WaitReady(ctx, 2)
}

func table(opt Options, list []load.Summary) {
	w := tabwriter.NewWriter(opt.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "priority\tclass\tsent\tanswered\tfailed\tnot run\tunknown\tp50\tp99\t")
	for _, s := range list {
		fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t%d\t%d\t%.1fms\t%.1fms\t\n",
			s.Priority, s.Class, s.Sent, s.Answered, s.Failed, s.NotRun, s.Unknown, millis(s.P50), millis(s.P99))
	}
	_ = w.Flush()
}
