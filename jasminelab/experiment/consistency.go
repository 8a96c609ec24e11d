package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/jasminelab/fakelog"
	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
)

func init() {
	experiments["once"] = atMostOnce
	experiments["bundle"] = bundleRollout
	experiments["outage"] = logOutage
	experiments["split"] = partition
}

const (
	onceDuration       = 24 * time.Second // duration of fault injection
	onceUtilization    = 0.3              // offered load of each class as a share of capacity
	stepInterval       = 2 * time.Second  // time between faults
	onceFaultDuration  = 5 * time.Second  // duration of pauses and partitions
	maxReplacementTime = 2 * time.Second  // maximum time until a replacement node serves; also the timeout of reads from the log
)

// keyedStreams returns the streams of the non-idempotent classes, whose requests carry idempotency keys.
// Each stream alone offers the given share of its service's capacity.
func keyedStreams(deployment fleet.Deployment, utilization float64, retries int) []*load.Stream {
	var selected []*load.Stream
	for _, stream := range streams(deployment, utilization) {
		if !stream.Class.Idempotent {
			stream.Rate = deployment.Capacity(stream.Service) * utilization
			stream.MaxRetries = retries
			selected = append(selected, stream)
		}
	}
	return selected
}

// atMostOnce sends keyed requests, which callers retry through other nodes, while nodes are killed, replaced, paused and partitioned
// and the log service is down or loses responses. No request may run more than once.
func atMostOnce(ctx context.Context, r *Run) error {
	deployment := r.deployment(2)
	env, err := r.startTestEnvironment(ctx, deployment, keyedStreams(deployment, onceUtilization, 5))
	if err != nil {
		return err
	}
	defer env.close()
	f, g := env.fleet, env.load
	rnd := rand.New(rand.NewPCG(r.opt.Seed, 9))
	sleep(ctx, stepInterval)
	kills := 0
	for step, end := 0, time.Now().Add(onceDuration); time.Now().Before(end); step++ {
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
			n.Pause(onceFaultDuration)
		case 2:
			peer := nodes[rnd.IntN(len(nodes))]
			r.progress("cut %s to %s one way, log down", n.Name, peer.Name)
			f.Link.SetBlocked(n.Name, peer.Name, true)
			time.AfterFunc(onceFaultDuration, func() { f.Link.SetBlocked(n.Name, peer.Name, false) })
			f.Log.SetFaults(fakelog.Faults{Down: true})
		case 4:
			r.progress("log up, answers lost")
			f.Log.SetFaults(fakelog.Faults{LostResponseShare: 0.3})
		}
		sleep(ctx, stepInterval)
	}
	f.Log.SetFaults(fakelog.Faults{})
	sleep(ctx, stepInterval)
	env.stopLoad()
	records := g.Records()
	ranCount, unknownCount, retriedCount := 0, 0, 0
	for _, rec := range records {
		switch {
		case rec.Outcome == "ran":
			ranCount++
		case rec.Outcome == "unknown" || rec.NodeKilled:
			unknownCount++
		}
		if rec.Attempts > 1 {
			retriedCount++
		}
	}
	r.report("once.kills", float64(kills), "nodes")
	r.report("once.requests", float64(len(records)), "requests")
	for _, s := range load.Summarize(records, time.Time{}, time.Time{}) {
		r.progress("%+v", s)
	}
	r.atLeast("once.ran", float64(ranCount)/float64(len(records)), "share", 0.95)
	r.report("once.unknown", float64(unknownCount), "requests")
	r.report("once.repeated", float64(retriedCount), "requests")
	r.reportAudit("once.", load.Check(records, f.Upstreams("")))
	return nil
}

const (
	bundleNodeCount   = 30 // number of nodes, of which 8 have an upstream
	bundleChangeCount = 20 // number of changes that both operators publish together
)

// bundleRollout lets two operators publish changes concurrently and measures when each change is in force on every node.
func bundleRollout(ctx context.Context, r *Run) error {
	deployment := fleet.Carritos(3)
	f, err := fleet.StartAndWait(ctx, deployment, fleet.Options{Seed: r.opt.Seed, ExtraNodeCount: bundleNodeCount - 8})
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	duration := time.Minute
	if r.opt.Quick {
		duration = 15 * time.Second
	}
	appendsBefore := f.Log.Counts().Appends
	start := time.Now()
	acceptedIDs := raceOperators(ctx, f, duration)
	sleep(ctx, 3*time.Second)
	elapsed := time.Since(start).Seconds()
	delays, missing := activationDelays(ctx, f, acceptedIDs, platform.NewClient(f.StoreURL, maxReplacementTime, nil))
	r.report("bundle.accepted", float64(len(acceptedIDs)), "changes")
	r.atMost("bundle.force.p99", millis(quantile(delays, 0.99)), "ms", 2000)
	r.report("bundle.force.p50", millis(quantile(delays, 0.5)), "ms")
	r.atMost("bundle.missing", float64(missing), "node versions", 0)
	reverts, nodesBehind := 0, 0
	for _, n := range f.Nodes() {
		status, err := n.Admin().Status(ctx)
		if err != nil || status.BundleVersion != uint64(len(acceptedIDs)+1) {
			nodesBehind++
		}
	}
	events, err := eventsOfKind(ctx, f, event.Bundle)
	if err != nil {
		return err
	}
	reverts = countReverts(events)
	r.atMost("bundle.reverts", float64(reverts), "events", 0)
	r.atMost("bundle.behind", float64(nodesBehind), "nodes", 0)
	r.report("bundle.appends", float64(f.Log.Counts().Appends-appendsBefore)/float64(max(1, len(acceptedIDs))), "per change")
	r.report("bundle.bytes", float64(f.Link.InterRegionBytes()+f.Link.IntraRegionBytes())/elapsed/bundleNodeCount, "B/s per node")
	return nil
}

// raceOperators lets two operators publish changes concurrently through different nodes and returns the ids of the accepted changes.
func raceOperators(ctx context.Context, f *fleet.Fleet, duration time.Duration) []string {
	var mu sync.Mutex
	var acceptedIDs []string
	var wg sync.WaitGroup
	nodes := f.Nodes()
	for operatorIndex := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range bundleChangeCount / 2 {
				bundle := f.Deployment.Bundle() + fmt.Sprintf("\n[[caller]]\nname = \"op%d-%d\"\nrate = 10\nburst = 1\n", operatorIndex, i)
				for ctx.Err() == nil {
					result, err := f.Publish(ctx, bundle, nodes[operatorIndex*7])
					if err == nil && result.Result == rollout.Accepted {
						mu.Lock()
						acceptedIDs = append(acceptedIDs, result.ID)
						mu.Unlock()
						break
					}
				}
				sleep(ctx, duration/(bundleChangeCount/2))
			}
		}()
	}
	wg.Wait()
	return acceptedIDs
}

// activationDelays returns, for each change and node, the time from the append of the rollout record until the node put the
// change in force. missing counts the pairs of change and node without an activation event.
func activationDelays(ctx context.Context, f *fleet.Fleet, changeIDs []string, logClient platform.Log) (delays []time.Duration, missing int) {
	rolledAt := make(map[string]time.Time)
	page, err := logClient.Read(ctx, rollout.Stream, 0, 0)
	if err != nil {
		return nil, len(changeIDs)
	}
	for _, e := range page.Entries {
		if id, ok := strings.CutPrefix(e.ID, string(rollout.Roll)+"-"); ok {
			rolledAt[id] = e.Time
		}
	}
	events, err := eventsOfKind(ctx, f, event.Bundle)
	if err != nil {
		return nil, len(changeIDs)
	}
	for _, id := range changeIDs {
		activations := 0
		for _, e := range events {
			if strings.HasPrefix(e.Text, id+" "+string(rollout.Accepted)) {
				activations++
				delays = append(delays, max(0, e.Stamp.Time().Sub(rolledAt[id])))
			}
		}
		missing += len(f.Nodes()) - activations
	}
	return delays, missing
}

// countReverts counts the events in which a node accepted a version although it had accepted the same or a later one before.
// The events of a node must be in the order of acceptance.
func countReverts(events []event.Event) int {
	lastVersion := make(map[string]int)
	reverts := 0
	for _, e := range events {
		var id, result string
		var version int
		if _, err := fmt.Sscanf(e.Text, "%s %s version %d", &id, &result, &version); err != nil || result != string(rollout.Accepted) {
			continue
		}
		if version <= lastVersion[e.Node] {
			reverts++
		}
		lastVersion[e.Node] = version
	}
	return reverts
}

// logOutage replaces nodes while the log service is down and checks that no request is lost for that reason.
func logOutage(ctx context.Context, r *Run) error {
	deployment := r.deployment(2)
	env, err := r.startTestEnvironment(ctx, deployment, streams(deployment, 0.4))
	if err != nil {
		return err
	}
	defer env.close()
	f, g := env.fleet, env.load
	sleep(ctx, stepInterval)
	f.Log.SetFaults(fakelog.Faults{Down: true})
	r.progress("log down")
	var slowestReplacement time.Duration
	replacements := 5
	if !r.opt.Quick {
		replacements = 15
	}
	for range replacements {
		oldNode := f.Nodes()[1]
		stopResult := make(chan error, 1)
		go func() { stopResult <- oldNode.Stop() }()
		start := time.Now()
		n, err := f.Replace(oldNode)
		if err != nil {
			return err
		}
		elapsed, err := waitServing(ctx, n, start)
		if err != nil {
			return err
		}
		slowestReplacement = max(slowestReplacement, elapsed)
		if err := <-stopResult; err != nil {
			return err
		}
		sleep(ctx, stepInterval/2)
	}
	outageEnd := time.Now()
	f.Log.SetFaults(fakelog.Faults{})
	r.progress("log up")
	sleep(ctx, 4*time.Second)
	env.stopLoad()
	records := g.Records()
	lostRequests := 0
	for _, rec := range records {
		if rec.ScheduledAt.Before(outageEnd) && rec.Code == "key-owner" {
			lostRequests++
		}
	}
	for _, s := range load.Summarize(records, time.Time{}, time.Time{}) {
		r.progress("%+v", s)
	}
	r.atMost("outage.lost", float64(lostRequests), "requests", 0)
	r.atMost("outage.replaced.slowest", slowestReplacement.Seconds(), "s", maxReplacementTime.Seconds())
	r.atMost("outage.return.peak", float64(f.Log.Counts().PeakAppendRate), "appends/s", 300)
	r.reportAudit("outage.", load.Check(records, f.Upstreams("")))
	return nil
}

// waitServing waits until the node has a bundle in force and sees other members, and returns the time since start.
func waitServing(ctx context.Context, n *fleet.Node, start time.Time) (time.Duration, error) {
	for ctx.Err() == nil {
		status, err := n.Admin().Status(ctx)
		if err == nil && status.BundleVersion > 0 && status.Members > 1 {
			return time.Since(start), nil
		}
		sleep(ctx, 10*time.Millisecond)
	}
	return 0, ctx.Err()
}

// partition cuts the link between two regions in one direction, then in both directions, and then heals it.
func partition(ctx context.Context, r *Run) error {
	deployment := r.deployment(2)
	env, err := r.startTestEnvironment(ctx, deployment, streams(deployment, 0.25))
	if err != nil {
		return err
	}
	defer env.close()
	f, g := env.fleet, env.load
	sleep(ctx, stepInterval)
	west, east := deployment.DataCentres[0].Region, deployment.DataCentres[2].Region
	r.progress("cut %s to %s", west, east)
	f.Link.SetBlocked(west, east, true)
	sleep(ctx, 6*time.Second)
	r.progress("cut %s to %s", east, west)
	f.Link.SetBlocked(east, west, true)
	partitionStart := time.Now()
	sleep(ctx, 8*time.Second)
	f.Link.SetBlocked(west, east, false)
	f.Link.SetBlocked(east, west, false)
	healedAt := time.Now()
	r.progress("healed")
	healTime := waitFullMembership(ctx, f, healedAt)
	sleep(ctx, stepInterval)
	env.stopLoad()
	records := g.Records()
	for _, s := range load.Summarize(records, partitionStart.Add(4*time.Second), healedAt) {
		r.report("split."+s.Class+".answered", float64(s.Answered)/float64(s.Sent), "share")
		r.progress("%+v", s)
	}
	r.atMost("split.heal", healTime.Seconds(), "s", 3)
	r.reportAudit("split.", load.Check(records, f.Upstreams("")))
	return nil
}

// waitFullMembership waits, for up to 20 s, until every node sees all nodes as live, and returns the time since the partition healed.
func waitFullMembership(ctx context.Context, f *fleet.Fleet, healedAt time.Time) time.Duration {
	for time.Since(healedAt) < 20*time.Second {
		allLive := true
		for _, n := range f.Nodes() {
			status, err := n.Admin().Status(ctx)
			allLive = allLive && err == nil && status.Members == len(f.Nodes())
		}
		if allLive {
			break
		}
		sleep(ctx, 50*time.Millisecond)
	}
	return time.Since(healedAt)
}
