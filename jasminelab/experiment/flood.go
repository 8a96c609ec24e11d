package experiment

import (
	"context"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/jasminevane/jasminevane/upstream"
)

func init() {
	experiments["flood"] = flood
	experiments["drain"] = drain
	experiments["limit"] = limit
}

const (
	floodMean  = 100 * time.Millisecond
	floodSpan  = 6 * time.Second
	floodCalm  = 4 * time.Second
	floodRest  = 2 * time.Second
	floodLoad  = 0.5
	limitRate  = 100
	limitSpan  = 10 * time.Second
	limitExtra = "\n[[caller]]\nname = \"greedy\"\nrate = 100\nburst = 20\n"
)

// flood sends work far beyond capacity, first of the least urgent and then of the most urgent class.
func flood(ctx context.Context, r *Run) error {
	shape := r.shape(1)
	shape.Services = shape.Services[:1]
	shape.Services[0].Mean = floodMean
	b, err := r.up(ctx, shape, withoutRepeats(streams(shape, floodLoad)))
	if err != nil {
		return err
	}
	defer b.close()
	f, g := b.fleet, b.load
	v := shape.Services[0]
	capacity := shape.Capacity(v)
	sleep(ctx, floodRest)
	calmFrom := time.Now()
	sleep(ctx, floodCalm)
	calmTo := time.Now()
	low, urgent := v.Classes[len(v.Classes)-1], v.Classes[0]
	for _, wave := range []struct {
		name  string
		class fleet.Class
		times float64
	}{{"low5", low, 5}, {"low10", low, 10}, {"urgent5", urgent, 5}} {
		from := time.Now()
		wctx, end := context.WithTimeout(b.ctx, floodSpan)
		extra := &load.Stream{Service: v, Class: wave.class, Rate: capacity * wave.times, Callers: 50, SendKey: !wave.class.Idempotent}
		g.Start(wctx, extra)
		sleep(ctx, floodSpan)
		end()
		to := time.Now()
		sleep(ctx, floodRest)
		backFrom := time.Now()
		sleep(ctx, floodRest)
		r.wave(wave.name, shape, g.Records(), wave.class, [6]time.Time{calmFrom, calmTo, from.Add(time.Second), to, backFrom, time.Now()})
	}
	b.end()
	r.note("flood.unsent", float64(g.Unsent()), "requests")
	r.audit("flood.", load.Check(g.Records(), f.Upstreams("")))
	return nil
}

// wave prints the figures of one flood: t holds start and end of the calm, of the flood and of the time after it.
func (r *Run) wave(name string, shape fleet.Shape, records []load.Record, flooded fleet.Class, t [6]time.Time) {
	v := shape.Services[0]
	before := load.Summarize(records, t[0], t[1])
	during := load.Summarize(records, t[2], t[3])
	after := load.Summarize(records, t[4], t[5])
	span := t[3].Sub(t[2]).Seconds()
	good := 0
	for _, s := range during {
		good += s.Answered
	}
	r.atLeast("flood."+name+".goodput", float64(good)/span/shape.Capacity(v), "of capacity", 0.9)
	for _, c := range v.Classes {
		class := v.Name + "/" + c.Name
		b, d, a := load.Find(before, class), load.Find(during, class), load.Find(after, class)
		if c.Name == flooded.Name {
			r.note("flood."+name+"."+c.Name+".rate", float64(d.Answered)/span, "1/s")
			continue
		}
		kept := float64(d.Answered) / float64(max(1, d.Sent))
		switch {
		case c.Priority == 0:
			r.atLeast("flood."+name+"."+c.Name+".kept", kept, "share", 0.99)
			r.atMost("flood."+name+"."+c.Name+".p99", ratio(d.P99, b.P99), "of calm", 1.5)
		case flooded.Priority == 0:
			guaranteed := min(float64(d.Sent)/span, c.Share*shape.Capacity(v))
			r.atLeast("flood."+name+"."+c.Name+".guaranteed", float64(d.Answered)/span/guaranteed, "share", 0.95)
		default:
			r.note("flood."+name+"."+c.Name+".kept", kept, "share")
		}
		r.note("flood."+name+"."+c.Name+".p99ms", millis(d.P99), "ms")
		r.atMost("flood."+name+"."+c.Name+".back", ratio(a.P99, b.P99), "of calm", 1.5)
	}
}

// drain announces a leaving server and stops nodes under load.
func drain(ctx context.Context, r *Run) error {
	shape := r.shape(2)
	b, err := r.up(ctx, shape, streams(shape, 0.4))
	if err != nil {
		return err
	}
	defer b.close()
	f, g := b.fleet, b.load
	sleep(ctx, warmUp/2)
	leaving := f.Upstreams("")[0]
	leaving.SetState(ctx, upstream.Draining)
	at := time.Now()
	stops, batch := 20, 4
	errs := make(chan error, stops)
	for done := 0; done < stops; done += batch {
		nodes := f.Nodes()
		for i := range batch {
			go func() {
				old := nodes[i+1]
				errs <- old.Stop()
			}()
			if _, err := f.Replace(nodes[i+1]); err != nil {
				return err
			}
		}
		for range batch {
			if err := <-errs; err != nil {
				return err
			}
		}
		r.progress("%d nodes stopped", done+batch)
	}
	late := len(leaving.StartTimes(at.Add(2*time.Second), ""))
	b.end()
	r.atMost("drain.late", float64(late), "dispatches", 0)
	r.atMost("drain.unknown", float64(unknowns(g.Records())), "requests", 0)
	r.cuts(g.Records())
	r.audit("drain.", load.Check(g.Records(), f.Upstreams("")))
	return nil
}

func unknowns(records []load.Record) int {
	n := 0
	for _, rec := range records {
		if rec.Outcome == "unknown" {
			n++
		}
	}
	return n
}

// limit sends one caller's work far beyond its limit through all nodes.
func limit(ctx context.Context, r *Run) error {
	shape := r.shape(1)
	shape.Extra = limitExtra
	b, err := r.up(ctx, shape, streams(shape, 0.3))
	if err != nil {
		return err
	}
	defer b.close()
	g := b.load
	v := shape.Services[0]
	class := v.Classes[1]
	greedy := &load.Stream{Service: v, Class: class, Rate: 10 * limitRate, Caller: "greedy"}
	sleep(ctx, warmUp/2)
	g.Start(b.ctx, greedy)
	sleep(ctx, 2*time.Second)
	from := time.Now()
	sleep(ctx, limitSpan)
	to := time.Now()
	b.end()
	granted, others, kept := 0, 0, 0
	for _, rec := range between(g.Records(), from, to) {
		ok := rec.Outcome == "ran" && rec.Complete
		switch {
		case rec.Stream == greedy && ok:
			granted++
		case rec.Stream != greedy:
			others++
			if ok {
				kept++
			}
		}
	}
	got := float64(granted) / to.Sub(from).Seconds() / limitRate
	r.atMost("limit.granted", got, "of limit", 1.1)
	r.atLeast("limit.granted", got, "of limit", 0.9)
	r.atLeast("limit.others", float64(kept)/float64(max(1, others)), "share", 0.999)
	return nil
}
