package experiment

import (
	"context"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/jasminevane/jasminevane/upstream"
)

func init() {
	experiments["flood"] = overload
	experiments["drain"] = drain
	experiments["limit"] = callerLimit
}

const (
	floodServiceTime      = 100 * time.Millisecond // median service time
	floodDuration         = 6 * time.Second        // duration of each overload phase
	floodBaselineDuration = 4 * time.Second        // duration of the measurement before the overload
	floodSettleTime       = 2 * time.Second        // time without measurement between phases, and duration of the recovery measurement
	floodUtilization      = 0.5                    // offered load as a share of capacity, without the overload
	greedyCallerRate      = 100                    // rate limit of the caller greedy in requests per second
	limitDuration         = 10 * time.Second       // duration of the measurement
	greedyCallerTOML      = "\n[[caller]]\nname = \"greedy\"\nrate = 100\nburst = 20\n"
)

// overload sends several times the capacity in requests of the least urgent class and then of the most urgent class,
// and measures goodput, the other classes and the recovery.
func overload(ctx context.Context, r *Run) error {
	deployment := r.deployment(1)
	deployment.Services = deployment.Services[:1]
	deployment.Services[0].MedianServiceTime = floodServiceTime
	env, err := r.startTestEnvironment(ctx, deployment, withoutRetries(streams(deployment, floodUtilization)))
	if err != nil {
		return err
	}
	defer env.close()
	f, g := env.fleet, env.load
	svc := deployment.Services[0]
	capacity := deployment.Capacity(svc)
	sleep(ctx, floodSettleTime)
	baselineStart := time.Now()
	sleep(ctx, floodBaselineDuration)
	baselineEnd := time.Now()
	leastUrgent, mostUrgent := svc.Classes[len(svc.Classes)-1], svc.Classes[0]
	for _, phase := range []struct {
		name   string
		class  fleet.Class
		factor float64
	}{{"low5", leastUrgent, 5}, {"low10", leastUrgent, 10}, {"urgent5", mostUrgent, 5}} {
		from := time.Now()
		phaseCtx, stopPhase := context.WithTimeout(env.ctx, floodDuration)
		excessStream := &load.Stream{Service: svc, Class: phase.class, Rate: capacity * phase.factor, CallerCount: 50, SendKey: !phase.class.Idempotent}
		g.Start(phaseCtx, excessStream)
		sleep(ctx, floodDuration)
		stopPhase()
		to := time.Now()
		sleep(ctx, floodSettleTime)
		recoveryStart := time.Now()
		sleep(ctx, floodSettleTime)
		r.reportOverload(phase.name, deployment, g.Records(), phase.class, [6]time.Time{baselineStart, baselineEnd, from.Add(time.Second), to, recoveryStart, time.Now()})
	}
	env.stopLoad()
	r.report("flood.unsent", float64(g.Unsent()), "requests")
	r.reportAudit("flood.", load.Check(g.Records(), f.Upstreams("")))
	return nil
}

// reportOverload prints the measurements of one overload phase.
// phaseTimes holds the start and end of the baseline, of the overload and of the recovery.
func (r *Run) reportOverload(name string, deployment fleet.Deployment, records []load.Record, overloaded fleet.Class, phaseTimes [6]time.Time) {
	svc := deployment.Services[0]
	before := load.Summarize(records, phaseTimes[0], phaseTimes[1])
	during := load.Summarize(records, phaseTimes[2], phaseTimes[3])
	after := load.Summarize(records, phaseTimes[4], phaseTimes[5])
	seconds := phaseTimes[3].Sub(phaseTimes[2]).Seconds()
	answered := 0
	for _, s := range during {
		answered += s.Answered
	}
	r.atLeast("flood."+name+".goodput", float64(answered)/seconds/deployment.Capacity(svc), "of capacity", 0.9)
	for _, class := range svc.Classes {
		className := svc.Name + "/" + class.Name
		baselineSummary, overloadSummary, recoverySummary := load.FindSummary(before, className), load.FindSummary(during, className), load.FindSummary(after, className)
		if class.Name == overloaded.Name {
			r.report("flood."+name+"."+class.Name+".rate", float64(overloadSummary.Answered)/seconds, "1/s")
			continue
		}
		answeredShare := float64(overloadSummary.Answered) / float64(max(1, overloadSummary.Sent))
		switch {
		case class.Priority == 0:
			r.atLeast("flood."+name+"."+class.Name+".kept", answeredShare, "share", 0.99)
			r.atMost("flood."+name+"."+class.Name+".p99", ratio(overloadSummary.P99, baselineSummary.P99), "of calm", 1.5)
		case overloaded.Priority == 0:
			guaranteed := min(float64(overloadSummary.Sent)/seconds, class.GuaranteedShare*deployment.Capacity(svc))
			r.atLeast("flood."+name+"."+class.Name+".guaranteed", float64(overloadSummary.Answered)/seconds/guaranteed, "share", 0.95)
		default:
			r.report("flood."+name+"."+class.Name+".kept", answeredShare, "share")
		}
		r.report("flood."+name+"."+class.Name+".p99ms", millis(overloadSummary.P99), "ms")
		r.atMost("flood."+name+"."+class.Name+".back", ratio(recoverySummary.P99, baselineSummary.P99), "of calm", 1.5)
	}
}

// drain drains an upstream under load, then stops and replaces nodes. It counts requests dispatched to the draining upstream.
func drain(ctx context.Context, r *Run) error {
	deployment := r.deployment(2)
	env, err := r.startTestEnvironment(ctx, deployment, streams(deployment, 0.4))
	if err != nil {
		return err
	}
	defer env.close()
	f, g := env.fleet, env.load
	sleep(ctx, warmUp/2)
	drainingUpstream := f.Upstreams("")[0]
	drainingUpstream.SetState(ctx, upstream.Draining)
	drainStart := time.Now()
	stopCount, batchSize := 20, 4
	stopErrors := make(chan error, stopCount)
	for stopped := 0; stopped < stopCount; stopped += batchSize {
		nodes := f.Nodes()
		for i := range batchSize {
			go func() {
				oldNode := nodes[i+1]
				stopErrors <- oldNode.Stop()
			}()
			if _, err := f.Replace(nodes[i+1]); err != nil {
				return err
			}
		}
		for range batchSize {
			if err := <-stopErrors; err != nil {
				return err
			}
		}
		r.progress("%d nodes stopped", stopped+batchSize)
	}
	lateStarts := len(drainingUpstream.StartTimes(drainStart.Add(2*time.Second), ""))
	env.stopLoad()
	r.atMost("drain.late", float64(lateStarts), "dispatches", 0)
	r.atMost("drain.unknown", float64(countUnknown(g.Records())), "requests", 0)
	r.printBrokenConnections(g.Records())
	r.reportAudit("drain.", load.Check(g.Records(), f.Upstreams("")))
	return nil
}

// countUnknown returns the number of requests with an unknown outcome.
func countUnknown(records []load.Record) int {
	count := 0
	for _, rec := range records {
		if rec.Outcome == "unknown" {
			count++
		}
	}
	return count
}

// callerLimit sends requests of one caller at ten times its rate limit through all nodes, in addition to the load of other callers.
func callerLimit(ctx context.Context, r *Run) error {
	deployment := r.deployment(1)
	deployment.ExtraBundleTOML = greedyCallerTOML
	env, err := r.startTestEnvironment(ctx, deployment, streams(deployment, 0.3))
	if err != nil {
		return err
	}
	defer env.close()
	g := env.load
	svc := deployment.Services[0]
	class := svc.Classes[1]
	greedyStream := &load.Stream{Service: svc, Class: class, Rate: 10 * greedyCallerRate, Caller: "greedy"}
	sleep(ctx, warmUp/2)
	g.Start(env.ctx, greedyStream)
	sleep(ctx, 2*time.Second)
	from := time.Now()
	sleep(ctx, limitDuration)
	to := time.Now()
	env.stopLoad()
	grantedCount, otherSent, otherAnswered := 0, 0, 0
	for _, rec := range between(g.Records(), from, to) {
		ok := rec.Outcome == "ran" && rec.Complete
		switch {
		case rec.Stream == greedyStream && ok:
			grantedCount++
		case rec.Stream != greedyStream:
			otherSent++
			if ok {
				otherAnswered++
			}
		}
	}
	grantedRatio := float64(grantedCount) / to.Sub(from).Seconds() / greedyCallerRate
	r.atMost("limit.granted", grantedRatio, "of limit", 1.1)
	r.atLeast("limit.granted", grantedRatio, "of limit", 0.9)
	r.atLeast("limit.others", float64(otherAnswered)/float64(max(1, otherSent)), "share", 0.999)
	return nil
}
