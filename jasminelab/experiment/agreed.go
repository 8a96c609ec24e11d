package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/jasminevane/jasminevane/jasminelab/logstand"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
)

func init() {
	experiments["once"] = once
	experiments["bundle"] = bundles
	experiments["outage"] = outage
	experiments["split"] = split
}

const (
	onceSpan   = 24 * time.Second
	oncePart   = 0.3
	onceStep   = 2 * time.Second
	oncePause  = 5 * time.Second
	serveBound = 2 * time.Second
)

// keyed returns the streams of non-idempotent work with keys.
func keyed(s fleet.Shape, part float64, repeats int) []*load.Stream {
	var out []*load.Stream
	for _, st := range streams(s, part) {
		if !st.Class.Idempotent {
			st.Rate = s.Capacity(st.Service) * part
			st.Repeats = repeats
			out = append(out, st)
		}
	}
	return out
}

// once repeats keyed work through other nodes while nodes are killed, replaced, paused and cut off, with the log up and down.
func once(ctx context.Context, r *Run) error {
	shape := r.shape(2)
	b, err := r.up(ctx, shape, keyed(shape, oncePart, 5))
	if err != nil {
		return err
	}
	defer b.close()
	f, g := b.fleet, b.load
	rnd := rand.New(rand.NewPCG(r.opt.Seed, 9))
	sleep(ctx, onceStep)
	kills := 0
	for step, end := 0, time.Now().Add(onceSpan); time.Now().Before(end); step++ {
		nodes := f.Nodes()
		n := nodes[rnd.IntN(len(nodes))]
		switch step % 5 {
		case 0, 3:
			r.progress("kill %s", n.Name)
			kills++
			n.Kill()
			if _, err := f.Replace(n); err != nil {
				return err
			}
		case 1:
			r.progress("pause %s", n.Name)
			n.Pause(oncePause)
		case 2:
			o := nodes[rnd.IntN(len(nodes))]
			r.progress("cut %s to %s one way, log down", n.Name, o.Name)
			f.Link.Cut(n.Name, o.Name, true)
			time.AfterFunc(oncePause, func() { f.Link.Cut(n.Name, o.Name, false) })
			f.Log.SetFaults(logstand.Faults{Down: true})
		case 4:
			r.progress("log up, answers lost")
			f.Log.SetFaults(logstand.Faults{LoseShare: 0.3})
		}
		sleep(ctx, onceStep)
	}
	f.Log.SetFaults(logstand.Faults{})
	sleep(ctx, onceStep)
	b.end()
	records := g.Records()
	ran, unknown, died := 0, 0, 0
	for _, rec := range records {
		switch {
		case rec.Outcome == "ran":
			ran++
		case rec.Outcome == "unknown" || rec.Killed:
			unknown++
		}
		if rec.Tries > 1 {
			died++
		}
	}
	r.note("once.kills", float64(kills), "nodes")
	r.note("once.requests", float64(len(records)), "requests")
	for _, s := range load.Summarize(records, time.Time{}, time.Time{}) {
		r.progress("%+v", s)
	}
	r.atLeast("once.ran", float64(ran)/float64(len(records)), "share", 0.95)
	r.note("once.unknown", float64(unknown), "requests")
	r.note("once.repeated", float64(died), "requests")
	r.audit("once.", load.Check(records, f.Upstreams("")))
	return nil
}

const (
	bundleNodes   = 30
	bundleChanges = 20
)

// bundles rolls changes by two racing operators and measures when each is in force on every node.
func bundles(ctx context.Context, r *Run) error {
	shape := fleet.Carritos(3)
	f, err := fleet.Up(ctx, shape, fleet.Options{Seed: r.opt.Seed, ExtraNodes: bundleNodes - 8})
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	span := time.Minute
	if r.opt.Quick {
		span = 15 * time.Second
	}
	before := f.Log.Counts().Appends
	from := time.Now()
	accepted := raceOperators(ctx, f, span)
	sleep(ctx, 3*time.Second)
	elapsed := time.Since(from).Seconds()
	spread, missing := spreads(ctx, f, accepted, platform.NewClient(f.StoreURL, serveBound, nil))
	r.note("bundle.accepted", float64(len(accepted)), "changes")
	r.atMost("bundle.force.p99", millis(quantile(spread, 0.99)), "ms", 2000)
	r.note("bundle.force.p50", millis(quantile(spread, 0.5)), "ms")
	r.atMost("bundle.missing", float64(missing), "node versions", 0)
	reverts, behind := 0, 0
	for _, n := range f.Nodes() {
		st, err := n.Admin().Status(ctx)
		if err != nil || st.Version != uint64(len(accepted)+1) {
			behind++
		}
	}
	list, err := timelineKind(ctx, f, event.Bundle)
	if err != nil {
		return err
	}
	reverts = countReverts(list)
	r.atMost("bundle.reverts", float64(reverts), "events", 0)
	r.atMost("bundle.behind", float64(behind), "nodes", 0)
	r.note("bundle.appends", float64(f.Log.Counts().Appends-before)/float64(max(1, len(accepted))), "per change")
	r.note("bundle.bytes", float64(f.Link.FarBytes()+f.Link.NearBytes())/elapsed/bundleNodes, "B/s per node")
	return nil
}

// raceOperators lets two operators publish through different nodes and returns the accepted change ids.
func raceOperators(ctx context.Context, f *fleet.Fleet, span time.Duration) []string {
	var mu sync.Mutex
	var accepted []string
	var wg sync.WaitGroup
	nodes := f.Nodes()
	for op := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range bundleChanges / 2 {
				text := f.Shape.Bundle() + fmt.Sprintf("\n[[caller]]\nname = \"op%d-%d\"\nrate = 10\nburst = 1\n", op, i)
				for ctx.Err() == nil {
					fate, err := f.Publish(ctx, text, nodes[op*7])
					if err == nil && fate.Result == rollout.Accepted {
						mu.Lock()
						accepted = append(accepted, fate.ID)
						mu.Unlock()
						break
					}
				}
				sleep(ctx, span/(bundleChanges/2))
			}
		}()
	}
	wg.Wait()
	return accepted
}

// spreads returns the times from the roll's append until each node put the change in force.
func spreads(ctx context.Context, f *fleet.Fleet, ids []string, store platform.Log) (out []time.Duration, missing int) {
	rolled := make(map[string]time.Time)
	page, err := store.Read(ctx, rollout.Stream, 0, 0)
	if err != nil {
		return nil, len(ids)
	}
	for _, e := range page.Entries {
		if id, ok := strings.CutPrefix(e.ID, string(rollout.Roll)+"-"); ok {
			rolled[id] = e.Time
		}
	}
	list, err := timelineKind(ctx, f, event.Bundle)
	if err != nil {
		return nil, len(ids)
	}
	for _, id := range ids {
		seen := 0
		for _, e := range list {
			if strings.HasPrefix(e.Text, id+" "+string(rollout.Accepted)) {
				seen++
				out = append(out, max(0, e.Stamp.Time().Sub(rolled[id])))
			}
		}
		missing += len(f.Nodes()) - seen
	}
	return out, missing
}

// countReverts counts events in which a node accepted a version after a later one; events name versions in the order of acceptance.
func countReverts(list []event.Event) int {
	last := make(map[string]int)
	n := 0
	for _, e := range list {
		var id, result string
		var version int
		if _, err := fmt.Sscanf(e.Text, "%s %s version %d", &id, &result, &version); err != nil || result != string(rollout.Accepted) {
			continue
		}
		if version <= last[e.Node] {
			n++
		}
		last[e.Node] = version
	}
	return n
}

// outage keeps the log away while nodes are replaced.
func outage(ctx context.Context, r *Run) error {
	shape := r.shape(2)
	b, err := r.up(ctx, shape, streams(shape, 0.4))
	if err != nil {
		return err
	}
	defer b.close()
	f, g := b.fleet, b.load
	sleep(ctx, onceStep)
	f.Log.SetFaults(logstand.Faults{Down: true})
	r.progress("log down")
	var slowest time.Duration
	span := 5
	if !r.opt.Quick {
		span = 15
	}
	for range span {
		old := f.Nodes()[1]
		stopped := make(chan error, 1)
		go func() { stopped <- old.Stop() }()
		start := time.Now()
		n, err := f.Replace(old)
		if err != nil {
			return err
		}
		took, err := inForce(ctx, n, start)
		if err != nil {
			return err
		}
		slowest = max(slowest, took)
		if err := <-stopped; err != nil {
			return err
		}
		sleep(ctx, onceStep/2)
	}
	downTo := time.Now()
	f.Log.SetFaults(logstand.Faults{})
	r.progress("log up")
	sleep(ctx, 4*time.Second)
	b.end()
	records := g.Records()
	lost := 0
	for _, rec := range records {
		if rec.At.Before(downTo) && rec.Code == "key-owner" {
			lost++
		}
	}
	for _, s := range load.Summarize(records, time.Time{}, time.Time{}) {
		r.progress("%+v", s)
	}
	r.atMost("outage.lost", float64(lost), "requests", 0)
	r.atMost("outage.replaced.slowest", slowest.Seconds(), "s", serveBound.Seconds())
	r.atMost("outage.return.peak", float64(f.Log.Counts().Peak), "appends/s", 300)
	r.audit("outage.", load.Check(records, f.Upstreams("")))
	return nil
}

// inForce waits until the node serves with a bundle and knows other nodes, and returns the time since start.
func inForce(ctx context.Context, n *fleet.Node, start time.Time) (time.Duration, error) {
	for ctx.Err() == nil {
		st, err := n.Admin().Status(ctx)
		if err == nil && st.Version > 0 && st.Members > 1 {
			return time.Since(start), nil
		}
		sleep(ctx, 10*time.Millisecond)
	}
	return 0, ctx.Err()
}

// split cuts the regions one way, then both ways, and heals them.
func split(ctx context.Context, r *Run) error {
	shape := r.shape(2)
	b, err := r.up(ctx, shape, streams(shape, 0.25))
	if err != nil {
		return err
	}
	defer b.close()
	f, g := b.fleet, b.load
	sleep(ctx, onceStep)
	west, east := shape.DataCentres[0].Region, shape.DataCentres[2].Region
	r.progress("cut %s to %s", west, east)
	f.Link.Cut(west, east, true)
	sleep(ctx, 6*time.Second)
	r.progress("cut %s to %s", east, west)
	f.Link.Cut(east, west, true)
	from := time.Now()
	sleep(ctx, 8*time.Second)
	f.Link.Cut(west, east, false)
	f.Link.Cut(east, west, false)
	healed := time.Now()
	r.progress("healed")
	took := whole(ctx, f, healed)
	sleep(ctx, onceStep)
	b.end()
	records := g.Records()
	for _, s := range load.Summarize(records, from.Add(4*time.Second), healed) {
		r.note("split."+s.Class+".answered", float64(s.Answered)/float64(s.Sent), "share")
		r.progress("%+v", s)
	}
	r.atMost("split.heal", took.Seconds(), "s", 3)
	r.audit("split.", load.Check(records, f.Upstreams("")))
	return nil
}

// whole waits until every node knows all nodes as live and returns the time since the cut was healed.
func whole(ctx context.Context, f *fleet.Fleet, healed time.Time) time.Duration {
	for time.Since(healed) < 20*time.Second {
		ok := true
		for _, n := range f.Nodes() {
			st, err := n.Admin().Status(ctx)
			ok = ok && err == nil && st.Members == len(f.Nodes())
		}
		if ok {
			break
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return time.Since(healed)
}
