package experiment

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fakelog"
	"github.com/jasminevane/jasminevane/jasminelab/fakeupstream"
	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

const (
	demoScale        = 3               // divisor of the number of servers
	demoUtilization  = 0.4             // offered load as a share of capacity
	demoStepInterval = 4 * time.Second // time between faults
)

// Demo starts a small fleet that uses the platform's protocols and sends traffic of all priorities while upstreams, nodes
// and the log service fail. It prints a table of the results and the audit.
func Demo(ctx context.Context, opt Options) error {
	r := &Run{opt: opt}
	deployment := fleet.Carritos(demoScale)
	r.progress("starting %s, scaled down", deployment.Name)
	f, err := fleet.StartAndWait(ctx, deployment, fleet.Options{Seed: opt.Seed, Protocol: fakeupstream.Platform})
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	r.progress("%d nodes serve version 1", len(f.Nodes()))
	g := load.New(f, opt.Seed)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for _, s := range withoutRetries(streams(deployment, demoUtilization)) {
		g.Start(loadCtx, s)
	}
	if err := demoFaults(ctx, r, f); err != nil {
		return err
	}
	stopLoad()
	g.Wait()
	records := g.Records()
	printTable(opt, load.Summarize(records, time.Time{}, time.Time{}))
	audit := load.Check(records, f.Upstreams(""))
	fmt.Fprintln(opt.Out, audit)
	if audit.Total() > 0 {
		return errors.New("the audit found violated guarantees")
	}
	return nil
}

func demoFaults(ctx context.Context, r *Run, f *fleet.Fleet) error {
	sleep(ctx, demoStepInterval)
	grayUpstream := f.Upstreams("reservas")[0]
	r.progress("%s turns gray: 10 times slower", grayUpstream.ID())
	grayUpstream.SetFaults(fakeupstream.Faults{SlowFactor: 10})
	sleep(ctx, demoStepInterval)
	drainingUpstream := f.Upstreams("flota")[0]
	r.progress("%s drains", drainingUpstream.ID())
	drainingUpstream.SetState(ctx, upstream.Draining)
	sleep(ctx, demoStepInterval)
	oldNode := f.Nodes()[1]
	r.progress("%s is replaced", oldNode.Name)
	stopResult := make(chan error, 1)
	go func() { stopResult <- oldNode.Stop() }()
	if _, err := f.Replace(oldNode); err != nil {
		return err
	}
	if err := <-stopResult; err != nil {
		return err
	}
	sleep(ctx, demoStepInterval)
	r.progress("%s leaves; the store goes away", drainingUpstream.ID())
	drainingUpstream.Deregister(ctx)
	f.Log.SetFaults(fakelog.Faults{Down: true})
	sleep(ctx, demoStepInterval)
	r.progress("the store is back and takes version 2; %s is well again", grayUpstream.ID())
	f.Log.SetFaults(fakelog.Faults{})
	if err := f.Configure(f.Deployment.Configuration(2)); err != nil {
		return err
	}
	grayUpstream.SetFaults(fakeupstream.Faults{})
	sleep(ctx, demoStepInterval)
	return f.WaitReady(ctx, 2)
}

func printTable(opt Options, summaries []load.Summary) {
	w := tabwriter.NewWriter(opt.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "priority\tclass\tsent\tanswered\tfailed\tnot run\tunknown\tp50\tp99\t")
	for _, s := range summaries {
		fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t%d\t%d\t%.1fms\t%.1fms\t\n",
			s.Priority, s.Class, s.Sent, s.Answered, s.Failed, s.NotRun, s.Unknown, millis(s.P50), millis(s.P99))
	}
	_ = w.Flush()
}
