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
	experiments["gray"] = grayDetection
	experiments["calm"] = falseEjections
	experiments["floor"] = ejectionFloor
	experiments["retry"] = retryAmplification
}

// grayFault is one kind of gray failure.
type grayFault struct {
	name   string
	faults fakeupstream.Faults
}

func grayFaults() []grayFault {
	return []grayFault{
		{"slow10", fakeupstream.Faults{SlowFactor: 10}},
		{"hang", fakeupstream.Faults{Hang: true}},
		{"fail", fakeupstream.Faults{FailShare: 1}},
		{"slow3", fakeupstream.Faults{SlowFactor: 3}},
		{"fail30", fakeupstream.Faults{FailShare: 0.3}},
		{"truncate30", fakeupstream.Faults{TruncateShare: 0.3}},
		{"flap", fakeupstream.Faults{SlowFactor: 10, FlapInterval: 3 * time.Second}},
		{"callers", fakeupstream.Faults{FailShare: 1, EveryNthCaller: 3}},
	}
}

const (
	grayUtilization  = 0.6                     // offered load as a share of capacity
	warmUp           = 4 * time.Second         // time of load before a measurement
	maxFaultyShare   = 0.05                    // maximum share of its fair share of requests that a detected faulty upstream gets
	detectionWindow  = 500 * time.Millisecond  // window over which the request rate of a faulty upstream is measured
	sustainedWindow  = time.Second             // longer window over which the rate must be low, too
	quickObservation = 5 * time.Second         // duration of each gray failure in a quick run
	fullObservation  = 13 * time.Second        // duration of each gray failure in a full run
	grayRecoveryTime = 1500 * time.Millisecond // time between the end of a gray failure and the next round
)

// grayDetection measures the time from the onset of a gray failure until the faulty upstream gets less than 5%
// of its fair share of requests.
func grayDetection(ctx context.Context, r *Run) error {
	deployment := r.deployment(1)
	env, err := r.startTestEnvironment(ctx, deployment, streams(deployment, grayUtilization))
	if err != nil {
		return err
	}
	defer env.close()
	f, g := env.fleet, env.load
	sleep(ctx, warmUp)
	observation := fullObservation
	if r.opt.Quick {
		observation = quickObservation
	}
	var delays []time.Duration
	var before, after []load.Record
	failures := grayFaults()
	for round := 0; round*2 < len(failures) && ctx.Err() == nil; round++ {
		onset := time.Now()
		var faulty []*fakeupstream.Server
		for i, svc := range deployment.Services {
			failure := failures[(round*2+i+int(r.opt.Seed))%len(failures)]
			u := f.Upstreams(svc.Name)[round]
			u.SetFaults(failure.faults)
			faulty = append(faulty, u)
		}
		sleep(ctx, observation)
		for i, svc := range deployment.Services {
			failure := failures[(round*2+i+int(r.opt.Seed))%len(failures)]
			delay := timeToDetect(f, svc.Name, faulty[i], onset, observation)
			r.report("gray."+failure.name+".detect", millis(delay), "ms")
			delays = append(delays, delay)
			faulty[i].SetFaults(fakeupstream.Faults{})
		}
		records := g.Records()
		before = append(before, between(records, onset.Add(-grayRecoveryTime), onset)...)
		after = append(after, between(records, onset.Add(3*time.Second), onset.Add(observation))...)
		sleep(ctx, grayRecoveryTime)
	}
	env.stopLoad()
	r.atMost("gray.detect.median", millis(quantile(delays, 0.5)), "ms", 1000)
	r.atMost("gray.detect.p95", millis(quantile(delays, 0.95)), "ms", 3000)
	for _, summaryBefore := range load.Summarize(before, time.Time{}, time.Time{}) {
		summaryAfter := load.FindSummary(load.Summarize(after, time.Time{}, time.Time{}), summaryBefore.Class)
		r.report("gray."+summaryBefore.Class+".p99.before", millis(summaryBefore.P99), "ms")
		r.report("gray."+summaryBefore.Class+".p99.after", millis(summaryAfter.P99), "ms")
	}
	r.atMost("gray.p99.ratio", ratio(p99(after), p99(before)), "", 1.3)
	r.printHealthEvents(ctx, f)
	if ejected, err := eventsOfKind(ctx, f, event.Eject); err == nil {
		r.report("gray.ejections", float64(len(ejected)), "events")
	}
	r.reportAudit("gray.", load.Check(g.Records(), f.Upstreams("")))
	return nil
}

// between returns the records of the requests scheduled in [from, to).
func between(records []load.Record, from, to time.Time) []load.Record {
	var selected []load.Record
	for _, rec := range records {
		if !rec.ScheduledAt.Before(from) && rec.ScheduledAt.Before(to) {
			selected = append(selected, rec)
		}
	}
	return selected
}

// p99 returns the 99th percentile of the latency of the requests that ran and got a complete response.
func p99(records []load.Record) time.Duration {
	var latencies []time.Duration
	for _, rec := range records {
		if rec.Outcome == "ran" && rec.Complete {
			latencies = append(latencies, rec.Latency)
		}
	}
	return quantile(latencies, 0.99)
}

func ratio(a, b time.Duration) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// timeToDetect returns the time after onset from which the faulty upstream gets less than maxFaultyShare of its fair share of requests,
// both within detectionWindow and within sustainedWindow, or observation if there is none.
func timeToDetect(f *fleet.Fleet, service string, faulty *fakeupstream.Server, onset time.Time, observation time.Duration) time.Duration {
	servers := f.Upstreams(service)
	var allStarts []time.Time
	for _, u := range servers {
		allStarts = append(allStarts, u.StartTimes(onset, "")...)
	}
	fairRate := float64(len(allStarts)) / float64(len(servers)) / observation.Seconds()
	faultyStarts := faulty.StartTimes(onset, "")
	for delay := time.Duration(0); delay+sustainedWindow <= observation; delay += 20 * time.Millisecond {
		belowMaxShare := startRate(faultyStarts, onset.Add(delay), detectionWindow)/fairRate < maxFaultyShare && startRate(faultyStarts, onset.Add(delay), sustainedWindow)/fairRate < maxFaultyShare
		if belowMaxShare {
			return delay
		}
	}
	return observation
}

// startRate returns the number of starts per second within the window that begins at from.
func startRate(starts []time.Time, from time.Time, window time.Duration) float64 {
	count := 0
	for _, at := range starts {
		if !at.Before(from) && at.Before(from.Add(window)) {
			count++
		}
	}
	return float64(count) / window.Seconds()
}

// eventsOfKind returns the events of the kind from the timeline of all nodes.
func eventsOfKind(ctx context.Context, f *fleet.Fleet, kind event.Kind) ([]event.Event, error) {
	return f.Nodes()[0].Admin().Timeline(ctx, event.Filter{Kind: kind})
}

// falseEjections counts the ejections while no upstream has a gray failure.
func falseEjections(ctx context.Context, r *Run) error {
	deployment := r.deployment(1)
	env, err := r.startTestEnvironment(ctx, deployment, streams(deployment, grayUtilization))
	if err != nil {
		return err
	}
	defer env.close()
	f, g := env.fleet, env.load
	sleep(ctx, warmUp)
	rounds := 1
	if !r.opt.Quick {
		rounds = 4
	}
	for range rounds {
		injectBenignFaults(ctx, f)
	}
	env.stopLoad()
	ejections, err := eventsOfKind(ctx, f, event.Eject)
	if err != nil {
		return err
	}
	for _, e := range ejections {
		r.progress("ejected: %s %s %s", e.Node, e.Upstream, e.Text)
	}
	r.atMost("calm.ejections", float64(len(ejections)), "events", 0)
	r.reportAudit("calm.", load.Check(g.Records(), f.Upstreams("")))
	return nil
}

// injectBenignFaults applies conditions that must not cause ejections: pauses, load shedding, a cold start and a slowdown of all
// upstreams at once.
func injectBenignFaults(ctx context.Context, f *fleet.Fleet) {
	servers := f.Upstreams("")
	for i := range 4 {
		servers[(i*3)%len(servers)].SetFaults(fakeupstream.Faults{Pause: 200 * time.Millisecond})
		sleep(ctx, 700*time.Millisecond)
	}
	servers[2].SetFaults(fakeupstream.Faults{ShedShare: 0.3})
	sleep(ctx, 3*time.Second)
	servers[2].SetFaults(fakeupstream.Faults{})
	coldStart := servers[4]
	coldStart.SetState(ctx, upstream.Draining)
	sleep(ctx, time.Second)
	coldStart.SetFaults(fakeupstream.Faults{SlowFactor: 3})
	coldStart.SetState(ctx, upstream.Warming)
	sleep(ctx, 3*time.Second)
	coldStart.SetFaults(fakeupstream.Faults{})
	coldStart.SetState(ctx, upstream.Ready)
	for _, u := range servers {
		u.SetFaults(fakeupstream.Faults{SlowFactor: 3})
	}
	sleep(ctx, 5*time.Second)
	for _, u := range servers {
		u.SetFaults(fakeupstream.Faults{})
	}
	sleep(ctx, 3*time.Second)
}

// ejectionFloor makes half of the upstreams faulty and blocks some links between nodes in one direction. It polls every
// node and counts the views in which the share of a service's upstreams that are not ejected is below the service's floor.
func ejectionFloor(ctx context.Context, r *Run) error {
	deployment := r.deployment(1)
	env, err := r.startTestEnvironment(ctx, deployment, streams(deployment, grayUtilization/2))
	if err != nil {
		return err
	}
	defer env.close()
	f, g := env.fleet, env.load
	sleep(ctx, warmUp)
	faults := []fakeupstream.Faults{{SlowFactor: 10}, {FailShare: 1}, {SlowFactor: 5}}
	for i, u := range f.Upstreams("") {
		if i%2 == 0 {
			u.SetFaults(faults[i/2%len(faults)])
		}
	}
	nodes := f.Nodes()
	for i := range 4 {
		f.Link.SetBlocked(nodes[i].Name, nodes[i+5].Name, true)
	}
	floorViolations, leastServing, polls, mostEjected := 0, 1.0, 0, 0
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		for _, n := range nodes {
			for _, svc := range deployment.Services {
				total, serving := countServing(ctx, n, svc.Name)
				if total == 0 {
					continue
				}
				polls++
				mostEjected = max(mostEjected, total-serving)
				leastServing = min(leastServing, float64(serving)/float64(total))
				if float64(serving) < svc.Floor*float64(total)-1e-9 {
					floorViolations++
				}
			}
		}
		sleep(ctx, 200*time.Millisecond)
	}
	env.stopLoad()
	r.report("floor.polls", float64(polls), "views")
	r.report("floor.most_out", float64(mostEjected), "upstreams")
	r.report("floor.least", leastServing, "share")
	r.atMost("floor.breaches", float64(floorViolations), "views", 0)
	r.reportAudit("floor.", load.Check(g.Records(), f.Upstreams("")))
	return nil
}

// countServing returns the number of the service's upstreams in the node's view and the number of those that are not ejected
// for any class.
func countServing(ctx context.Context, n *fleet.Node, service string) (total, serving int) {
	upstreams, err := n.Admin().Upstreams(ctx)
	if err != nil {
		return 0, 0
	}
	for _, u := range upstreams {
		if u.Service != service {
			continue
		}
		total++
		if len(u.EjectedClasses) == 0 {
			serving++
		}
	}
	return total, serving
}

// retryAmplification measures the attempts per request that reach upstreams while some and then all upstreams fail.
func retryAmplification(ctx context.Context, r *Run) error {
	deployment := r.deployment(1)
	f, err := fleet.StartAndWait(ctx, deployment, fleet.Options{Seed: r.opt.Seed})
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	for _, phase := range []struct {
		name         string
		failingShare float64
	}{{"some", 0.3}, {"all", 1}} {
		g := load.New(f, r.opt.Seed)
		loadCtx, stopLoad := context.WithCancel(ctx)
		for _, s := range withoutRetries(streams(deployment, grayUtilization)) {
			g.Start(loadCtx, s)
		}
		sleep(ctx, warmUp)
		for _, svc := range deployment.Services {
			servers := f.Upstreams(svc.Name)
			for i, u := range servers {
				if float64(i) < phase.failingShare*float64(len(servers)) {
					u.SetFaults(fakeupstream.Faults{FailShare: 1})
				}
			}
		}
		attemptsBefore, requestsBefore := totalAttempts(f), len(g.Records())
		sleep(ctx, 6*time.Second)
		stopLoad()
		g.Wait()
		attempts, requests := totalAttempts(f)-attemptsBefore, len(g.Records())-requestsBefore
		r.atMost("retry."+phase.name+".attempts", float64(attempts)/float64(requests), "per request", 1.1)
		for _, u := range f.Upstreams("") {
			u.SetFaults(fakeupstream.Faults{})
		}
	}
	return nil
}

// totalAttempts returns the number of requests that all upstreams have started so far.
func totalAttempts(f *fleet.Fleet) int {
	count := 0
	for _, u := range f.Upstreams("") {
		count += u.RunCount()
	}
	return count
}

// printHealthEvents prints the ejections, trials and restorations of upstreams if JASMINELAB_DEBUG is set.
func (r *Run) printHealthEvents(ctx context.Context, f *fleet.Fleet) {
	if os.Getenv("JASMINELAB_DEBUG") == "" {
		return
	}
	for _, kind := range []event.Kind{event.Eject, event.Trial, event.Restore} {
		events, err := eventsOfKind(ctx, f, kind)
		if err != nil {
			return
		}
		for _, e := range events {
			r.progress("%s %s %s %s %s", e.Stamp.Time().Format("15:04:05.000"), e.Node, e.Kind, e.Upstream, e.Text)
		}
	}
}
