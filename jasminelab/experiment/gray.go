package experiment

import (
	"context"
	"os"
	"time"

	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/jasminelab/fakeupstream"
	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/jasminevane/jasminevane/upstream"
)

func init() {
	experiments["gray"] = gray
	experiments["calm"] = calm
	experiments["floor"] = floor
	experiments["retry"] = retry
}

// sickness is one kind of gray failure.
type sickness struct {
	name   string
	faults fakeupstream.Faults
}

func sicknesses() []sickness {
	return []sickness{
		{"slow10", fakeupstream.Faults{Slow: 10}},
		{"hang", fakeupstream.Faults{Hang: true}},
		{"fail", fakeupstream.Faults{Fail: 1}},
		{"slow3", fakeupstream.Faults{Slow: 3}},
		{"fail30", fakeupstream.Faults{Fail: 0.3}},
		{"truncate30", fakeupstream.Faults{Truncate: 0.3}},
		{"flap", fakeupstream.Faults{Slow: 10, Flap: 3 * time.Second}},
		{"callers", fakeupstream.Faults{Fail: 1, EveryNthCaller: 3}},
	}
}

const (
	grayLoad    = 0.6
	warmUp      = 4 * time.Second
	sharePart   = 0.05
	shareWindow = 500 * time.Millisecond
	shareAfter  = time.Second // time for which the share must stay low
	quickWatch  = 5 * time.Second
	fullWatch   = 13 * time.Second
	grayRest    = 1500 * time.Millisecond
)

// gray measures the time from the onset of a sickness until the sick server gets under 5% of its fair share.
func gray(ctx context.Context, r *Run) error {
	shape := r.shape(1)
	b, err := r.up(ctx, shape, streams(shape, grayLoad))
	if err != nil {
		return err
	}
	defer b.close()
	f, g := b.fleet, b.load
	sleep(ctx, warmUp)
	watch := fullWatch
	if r.opt.Quick {
		watch = quickWatch
	}
	var all []time.Duration
	var before, after []load.Record
	kinds := sicknesses()
	for round := 0; round*2 < len(kinds) && ctx.Err() == nil; round++ {
		onset := time.Now()
		var sick []*fakeupstream.Server
		for i, v := range shape.Services {
			k := kinds[(round*2+i+int(r.opt.Seed))%len(kinds)]
			u := f.Upstreams(v.Name)[round]
			u.SetFaults(k.faults)
			sick = append(sick, u)
		}
		sleep(ctx, watch)
		for i, v := range shape.Services {
			k := kinds[(round*2+i+int(r.opt.Seed))%len(kinds)]
			d := detection(f, v.Name, sick[i], onset, watch)
			r.note("gray."+k.name+".detect", millis(d), "ms")
			all = append(all, d)
			sick[i].SetFaults(fakeupstream.Faults{})
		}
		records := g.Records()
		before = append(before, between(records, onset.Add(-grayRest), onset)...)
		after = append(after, between(records, onset.Add(3*time.Second), onset.Add(watch))...)
		sleep(ctx, grayRest)
	}
	b.end()
	r.atMost("gray.detect.median", millis(quantile(all, 0.5)), "ms", 1000)
	r.atMost("gray.detect.p95", millis(quantile(all, 0.95)), "ms", 3000)
	for _, c := range load.Summarize(before, time.Time{}, time.Time{}) {
		a := load.Find(load.Summarize(after, time.Time{}, time.Time{}), c.Class)
		r.note("gray."+c.Class+".p99.before", millis(c.P99), "ms")
		r.note("gray."+c.Class+".p99.after", millis(a.P99), "ms")
	}
	r.atMost("gray.p99.ratio", ratio(p99(after), p99(before)), "", 1.3)
	r.standings(ctx, f)
	if ejected, err := timelineKind(ctx, f, event.Eject); err == nil {
		r.note("gray.ejections", float64(len(ejected)), "events")
	}
	r.audit("gray.", load.Check(g.Records(), f.Upstreams("")))
	return nil
}

func between(records []load.Record, from, to time.Time) []load.Record {
	var out []load.Record
	for _, rec := range records {
		if !rec.ScheduledAt.Before(from) && rec.ScheduledAt.Before(to) {
			out = append(out, rec)
		}
	}
	return out
}

func p99(records []load.Record) time.Duration {
	var list []time.Duration
	for _, rec := range records {
		if rec.Outcome == "ran" && rec.Complete {
			list = append(list, rec.Latency)
		}
	}
	return quantile(list, 0.99)
}

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// detection returns the time after which the sick server's share of new work stays under the bound.
func detection(f *fleet.Fleet, service string, sick *fakeupstream.Server, onset time.Time, watch time.Duration) time.Duration {
	ups := f.Upstreams(service)
	var total []time.Time
	for _, u := range ups {
		total = append(total, u.StartTimes(onset, "")...)
	}
	fair := float64(len(total)) / float64(len(ups)) / watch.Seconds()
	own := sick.StartTimes(onset, "")
	for d := time.Duration(0); d+shareAfter <= watch; d += 20 * time.Millisecond {
		low := share(own, onset.Add(d), shareWindow)/fair < sharePart && share(own, onset.Add(d), shareAfter)/fair < sharePart
		if low {
			return d
		}
	}
	return watch
}

func share(list []time.Time, from time.Time, span time.Duration) float64 {
	n := 0
	for _, at := range list {
		if !at.Before(from) && at.Before(from.Add(span)) {
			n++
		}
	}
	return float64(n) / span.Seconds()
}

func timelineKind(ctx context.Context, f *fleet.Fleet, kind event.Kind) ([]event.Event, error) {
	return f.Nodes()[0].Admin().Timeline(ctx, event.Filter{Kind: kind})
}

// calm counts ejections while no server is sick.
func calm(ctx context.Context, r *Run) error {
	shape := r.shape(1)
	b, err := r.up(ctx, shape, streams(shape, grayLoad))
	if err != nil {
		return err
	}
	defer b.close()
	f, g := b.fleet, b.load
	sleep(ctx, warmUp)
	rounds := 1
	if !r.opt.Quick {
		rounds = 4
	}
	for range rounds {
		calmRound(ctx, f)
	}
	b.end()
	list, err := timelineKind(ctx, f, event.Eject)
	if err != nil {
		return err
	}
	for _, e := range list {
		r.progress("ejected: %s %s %s", e.Node, e.Upstream, e.Text)
	}
	r.atMost("calm.ejections", float64(len(list)), "events", 0)
	r.audit("calm.", load.Check(g.Records(), f.Upstreams("")))
	return nil
}

// calmRound shows what is no sickness: pauses, shedding, a cold start and a slowdown of the whole group.
func calmRound(ctx context.Context, f *fleet.Fleet) {
	ups := f.Upstreams("")
	for i := range 4 {
		ups[(i*3)%len(ups)].SetFaults(fakeupstream.Faults{Pause: 200 * time.Millisecond})
		sleep(ctx, 700*time.Millisecond)
	}
	ups[2].SetFaults(fakeupstream.Faults{Shed: 0.3})
	sleep(ctx, 3*time.Second)
	ups[2].SetFaults(fakeupstream.Faults{})
	cold := ups[4]
	cold.SetState(ctx, upstream.Draining)
	sleep(ctx, time.Second)
	cold.SetFaults(fakeupstream.Faults{Slow: 3})
	cold.SetState(ctx, upstream.Warming)
	sleep(ctx, 3*time.Second)
	cold.SetFaults(fakeupstream.Faults{})
	cold.SetState(ctx, upstream.Ready)
	for _, u := range ups {
		u.SetFaults(fakeupstream.Faults{Slow: 3})
	}
	sleep(ctx, 5*time.Second)
	for _, u := range ups {
		u.SetFaults(fakeupstream.Faults{})
	}
	sleep(ctx, 3*time.Second)
}

// floor makes half of the servers sick, cuts paths one way and counts the moments at which a node leaves fewer in service than the floor.
func floor(ctx context.Context, r *Run) error {
	shape := r.shape(1)
	b, err := r.up(ctx, shape, streams(shape, grayLoad/2))
	if err != nil {
		return err
	}
	defer b.close()
	f, g := b.fleet, b.load
	sleep(ctx, warmUp)
	kinds := []fakeupstream.Faults{{Slow: 10}, {Fail: 1}, {Slow: 5}}
	for i, u := range f.Upstreams("") {
		if i%2 == 0 {
			u.SetFaults(kinds[i/2%len(kinds)])
		}
	}
	nodes := f.Nodes()
	for i := range 4 {
		f.Link.SetBlocked(nodes[i].Name, nodes[i+5].Name, true)
	}
	breaches, least, polls, most := 0, 1.0, 0, 0
	end := time.Now().Add(15 * time.Second)
	for time.Now().Before(end) {
		for _, n := range nodes {
			for _, v := range shape.Services {
				known, in := inService(ctx, n, v.Name)
				if known == 0 {
					continue
				}
				polls++
				most = max(most, known-in)
				least = min(least, float64(in)/float64(known))
				if float64(in) < v.Floor*float64(known)-1e-9 {
					breaches++
				}
			}
		}
		sleep(ctx, 200*time.Millisecond)
	}
	b.end()
	r.note("floor.polls", float64(polls), "views")
	r.note("floor.most_out", float64(most), "upstreams")
	r.note("floor.least", least, "share")
	r.atMost("floor.breaches", float64(breaches), "views", 0)
	r.audit("floor.", load.Check(g.Records(), f.Upstreams("")))
	return nil
}

func inService(ctx context.Context, n *fleet.Node, service string) (known, in int) {
	list, err := n.Admin().Upstreams(ctx)
	if err != nil {
		return 0, 0
	}
	for _, u := range list {
		if u.Service != service {
			continue
		}
		known++
		if len(u.Out) == 0 {
			in++
		}
	}
	return known, in
}

// retry counts the attempts at servers for each request while some and then all of them fail.
func retry(ctx context.Context, r *Run) error {
	shape := r.shape(1)
	f, err := fleet.Up(ctx, shape, fleet.Options{Seed: r.opt.Seed})
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	for _, phase := range []struct {
		name string
		part float64
	}{{"some", 0.3}, {"all", 1}} {
		g := load.New(f, r.opt.Seed)
		lctx, stop := context.WithCancel(ctx)
		for _, s := range withoutRepeats(streams(shape, grayLoad)) {
			g.Start(lctx, s)
		}
		sleep(ctx, warmUp)
		for _, v := range shape.Services {
			ups := f.Upstreams(v.Name)
			for i, u := range ups {
				if float64(i) < phase.part*float64(len(ups)) {
					u.SetFaults(fakeupstream.Faults{Fail: 1})
				}
			}
		}
		from, asked := total(f), len(g.Records())
		sleep(ctx, 6*time.Second)
		stop()
		g.Wait()
		attempts, requests := total(f)-from, len(g.Records())-asked
		r.atMost("retry."+phase.name+".attempts", float64(attempts)/float64(requests), "per request", 1.1)
		for _, u := range f.Upstreams("") {
			u.SetFaults(fakeupstream.Faults{})
		}
	}
	return nil
}

func total(f *fleet.Fleet) int {
	n := 0
	for _, u := range f.Upstreams("") {
		n += u.RunCount()
	}
	return n
}

// standings shows the changes of standing while the lab is debugged.
func (r *Run) standings(ctx context.Context, f *fleet.Fleet) {
	if os.Getenv("JASMINELAB_DEBUG") == "" {
		return
	}
	for _, kind := range []event.Kind{event.Eject, event.Trial, event.Restore} {
		list, err := timelineKind(ctx, f, kind)
		if err != nil {
			return
		}
		for _, e := range list {
			r.progress("%s %s %s %s %s", e.Stamp.Time().Format("15:04:05.000"), e.Node, e.Kind, e.Upstream, e.Text)
		}
	}
}
