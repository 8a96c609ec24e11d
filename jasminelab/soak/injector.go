package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fakelog"
	"github.com/jasminevane/jasminevane/jasminelab/fakeupstream"
	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/jasminevane/jasminevane/upstream"
)

const (
	maxDispatchDelay  = 3 * time.Second        // maximum time after a drain is acknowledged for which nodes still send requests
	drainGrace        = 2 * time.Second        // time for which a draining server still serves after maxDispatchDelay
	ackTimeout        = 5 * time.Second        // maximum time to wait until a node acknowledges that a server drains
	storeDelay        = 700 * time.Millisecond // delay of each call to a slow store; also the time that a flapping server stays in each state
	extraLinkDelay    = 300 * time.Millisecond // delay that a slow-links step adds in one direction
	lostResponseShare = 0.5                    // share of appends whose response is lost
	maxVersionGap     = 400 * time.Millisecond // upper limit of the time between two versions that one step publishes
	minStormGap       = 80 * time.Millisecond  // shortest interval between the versions of a storm
	maxVersions       = 4                      // maximum number of versions that one step publishes
	clockLag          = 30 * time.Second       // how far the clock of some replacement servers is behind
	storeName         = fleet.StoreSite        // name of the store in the fault tracker and on the simulated network
)

// injector executes the steps of a run on a fleet.
type injector struct {
	fleet        *fleet.Fleet
	faultTracker *faultTracker
	prober       *versionProber
	nodeNames    []string // names of all nodes; steps refer to them by index
	logf         func(format string, args ...any)

	mu               sync.Mutex
	claimed          map[string]bool // names of the nodes that a step has claimed
	storeFaults      fakelog.Faults  // current faults of the store
	replacementCount int             // number of replacement servers started so far
	lastKillAll      time.Time       // when all nodes were killed last
	lost             []lostRecords   // what restorations of the store removed
	wg               sync.WaitGroup
}

// run starts each step at its scheduled time and returns when all steps have ended.
func (inj *injector) run(ctx context.Context, start time.Time, steps []Step) {
	for _, s := range steps {
		sleepUntil(ctx, start.Add(s.At))
		if ctx.Err() != nil {
			break
		}
		inj.logf("%5.2fs %s", s.At.Seconds(), s)
		inj.wg.Add(1)
		go func() {
			defer inj.wg.Done()
			inj.inject(ctx, s)
		}()
	}
	inj.wg.Wait()
}

// String formats the step for the verbose output.
func (s Step) String() string {
	return fmt.Sprintf("%s for %v a=%d b=%d wide=%v pick=%d", s.Kind, s.Duration.Round(time.Millisecond), s.TargetIndex, s.PeerIndex, s.BetweenDataCentres, s.Variant)
}

func (inj *injector) inject(ctx context.Context, s Step) {
	switch s.Kind {
	case stopNode, killNode, pauseNode:
		inj.injectNodeFault(ctx, s)
	case killAll:
		inj.killAll(ctx, s)
	case cutOneWay, silence, slowLinks, resetLinks:
		inj.injectLinkFault(ctx, s)
	case silentConns:
		inj.silenceConnections(s)
	case storeDown, storeSilent, storeSlow, storeLoses:
		inj.injectStoreFault(ctx, s)
	case storeCut:
		inj.cutStoreLink(ctx, s)
	case storeBack:
		inj.restoreStore(ctx, s)
	case storeTrims:
		inj.fleet.Log.TrimAll(fleet.OperatorTopic)
	case configure:
		inj.publishVersions(ctx, s)
	case storm:
		inj.publishStorm(ctx, s)
	case drainServer, crashServer, sickServer:
		inj.injectServerFault(ctx, s)
	case badReload:
		inj.reloadBadSettings(ctx, s)
	}
}

// claim reserves the named node for one step and returns it with a function that releases it. The node is nil if another
// step has claimed it or it is not running.
func (inj *injector) claim(name string) (*fleet.Node, func()) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.claimed[name] {
		return nil, nil
	}
	for _, n := range inj.fleet.Nodes() {
		if n.Name != name {
			continue
		}
		inj.claimed[name] = true
		return n, func() {
			inj.mu.Lock()
			defer inj.mu.Unlock()
			delete(inj.claimed, name)
		}
	}
	return nil, nil
}

func (inj *injector) injectNodeFault(ctx context.Context, s Step) {
	n, release := inj.claim(inj.nodeNames[s.TargetIndex])
	if n == nil {
		return
	}
	defer release()
	defer inj.faultTracker.begin(n.Name)()
	switch s.Kind {
	case pauseNode:
		n.Pause(s.Duration)
		sleep(ctx, s.Duration)
		return
	case killNode:
		n.Kill()
	default:
		if err := n.Stop(); err != nil {
			inj.logf("stop node: %v", err)
		}
	}
	sleep(ctx, s.Duration/2)
	inj.restart(n)
}

func (inj *injector) restart(n *fleet.Node) {
	if _, err := inj.fleet.Restart(n); err != nil {
		inj.logf("restart node: %v", err)
	}
}

func (inj *injector) killAll(ctx context.Context, s Step) {
	var killed []*fleet.Node
	for _, name := range inj.nodeNames {
		n, release := inj.claim(name)
		if n == nil {
			continue
		}
		defer release()
		defer inj.faultTracker.begin(name)()
		killed = append(killed, n)
	}
	inj.mu.Lock()
	inj.lastKillAll = time.Now()
	inj.mu.Unlock()
	for _, n := range killed {
		n.Kill()
	}
	sleep(ctx, s.Duration/2)
	for _, n := range killed {
		inj.restart(n)
	}
}

// linkEnds returns the two nodes or data centres of a link fault and the names of the nodes that the fault affects.
func (inj *injector) linkEnds(s Step) (from, to string, affectedNodes []string) {
	if !s.BetweenDataCentres {
		return inj.nodeNames[s.TargetIndex], inj.nodeNames[s.PeerIndex], []string{inj.nodeNames[s.TargetIndex], inj.nodeNames[s.PeerIndex]}
	}
	from, to = inj.fleet.Deployment.DataCentres[s.TargetIndex].Name, inj.fleet.Deployment.DataCentres[s.PeerIndex].Name
	for _, n := range inj.fleet.Nodes() {
		if n.DataCentre.Name == from || n.DataCentre.Name == to {
			affectedNodes = append(affectedNodes, n.Name)
		}
	}
	return from, to, affectedNodes
}

func (inj *injector) injectLinkFault(ctx context.Context, s Step) {
	from, to, affectedNodes := inj.linkEnds(s)
	defer inj.faultTracker.begin(affectedNodes...)()
	l := inj.fleet.Link
	switch s.Kind {
	case resetLinks:
		l.ResetConnections(from, to)
		return
	case slowLinks:
		l.SetExtraDelay(from, to, extraLinkDelay)
		defer l.SetExtraDelay(from, to, 0)
	case silence:
		l.SetBlocked(to, from, true)
		defer l.SetBlocked(to, from, false)
		fallthrough
	default:
		l.SetBlocked(from, to, true)
		defer l.SetBlocked(from, to, false)
	}
	sleep(ctx, s.Duration)
}

// silenceConnections makes open connections go silent for good: every other time those of all nodes to the store, else those between two ends.
func (inj *injector) silenceConnections(s Step) {
	l := inj.fleet.Link
	if s.Variant%2 == 0 {
		defer inj.faultTracker.begin(inj.nodeNames...)()
		for _, name := range inj.nodeNames {
			l.Silence(name, storeName)
		}
		return
	}
	from, to, affectedNodes := inj.linkEnds(s)
	defer inj.faultTracker.begin(affectedNodes...)()
	l.Silence(from, to)
}

// injectStoreFault injects a fault into the store for the duration of the step. The first of several overlapping store faults
// to end clears them all.
func (inj *injector) injectStoreFault(ctx context.Context, s Step) {
	defer inj.faultTracker.begin(storeName)()
	inj.changeStoreFaults(func(f *fakelog.Faults) {
		switch s.Kind {
		case storeSlow:
			f.Delay = storeDelay
		case storeLoses:
			f.LostResponseShare, f.LostAppendDelay = lostResponseShare, s.Duration/2
		case storeSilent:
			f.Silent = true
		default:
			f.Down = true
		}
	})
	sleep(ctx, s.Duration)
	inj.changeStoreFaults(func(f *fakelog.Faults) { *f = fakelog.Faults{} })
}

func (inj *injector) changeStoreFaults(change func(*fakelog.Faults)) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	change(&inj.storeFaults)
	inj.fleet.Log.SetFaults(inj.storeFaults)
}

func (inj *injector) cutStoreLink(ctx context.Context, s Step) {
	name := inj.nodeNames[s.TargetIndex]
	defer inj.faultTracker.begin(name)()
	l := inj.fleet.Link
	l.SetBlocked(name, storeName, true)
	defer l.SetBlocked(name, storeName, false)
	sleep(ctx, s.Duration)
}

func (inj *injector) publishVersions(ctx context.Context, s Step) {
	for range 1 + s.Variant%maxVersions {
		if err := inj.prober.publish(inj.fleet); err != nil {
			inj.logf("publish version: %v", err)
			return
		}
		sleep(ctx, time.Duration(s.Variant%7)*maxVersionGap/7)
	}
}

// publishStorm publishes versions at one interval for the duration of the step.
func (inj *injector) publishStorm(ctx context.Context, s Step) {
	interval := minStormGap + time.Duration(s.Variant%5)*minStormGap
	for end := time.Now().Add(s.Duration); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, interval) {
		if err := inj.prober.publish(inj.fleet); err != nil {
			inj.logf("publish version: %v", err)
			return
		}
	}
}

func (inj *injector) injectServerFault(ctx context.Context, s Step) {
	n, release := inj.claim(inj.nodeNames[s.TargetIndex])
	if n == nil {
		return
	}
	defer release()
	u := inj.fleet.UpstreamOf(n)
	if u == nil {
		return
	}
	switch s.Kind {
	case sickServer:
		u.SetFaults(grayFailure(s.Variant))
		sleep(ctx, s.Duration)
		u.SetFaults(fakeupstream.Faults{})
		return
	case crashServer:
		u.Crash()
		sleep(ctx, s.Duration)
	default:
		inj.drain(ctx, u)
	}
	inj.mu.Lock()
	inj.replacementCount++
	id := fmt.Sprintf("%s-%d", strings.TrimRight(u.ID(), "0123456789-"), 1000+inj.replacementCount)
	inj.mu.Unlock()
	startTime := time.Now()
	if s.Variant%3 == 0 {
		startTime = startTime.Add(-clockLag)
	}
	if _, err := inj.fleet.RedeployUpstream(n, id, uint64(startTime.UnixMilli())); err != nil {
		inj.logf("redeploy server: %v", err)
	}
}

// drain drains a server as the platform's servers do: the server announces that it drains, still serves for
// maxDispatchDelay plus drainGrace after a node has acknowledged the announcement, and deregisters.
// Without an acknowledgement it deregisters after ackTimeout.
func (inj *injector) drain(ctx context.Context, u *fakeupstream.Server) {
	u.SetState(ctx, upstream.Draining)
	deadline := time.Now().Add(ackTimeout)
	for u.DrainAckedAt().IsZero() && time.Now().Before(deadline) {
		sleep(ctx, maxVersionGap/4)
	}
	if !u.DrainAckedAt().IsZero() {
		sleepUntil(ctx, u.DrainAckedAt().Add(maxDispatchDelay+drainGrace))
	}
	u.Deregister(ctx)
}

// grayFailure returns the faults of one of the gray failures; any variant number selects one.
func grayFailure(variant int) fakeupstream.Faults {
	failures := []fakeupstream.Faults{
		{FailShare: 0.5}, {SlowFactor: 10}, {Hang: true}, {TruncateShare: 0.4}, {ShedShare: 0.7}, {ResetShare: 0.4},
		{EarlyResponseShare: 0.5}, {ExtraResponseShare: 0.4}, {MalformedShare: 0.3}, {ResetReusedShare: 0.5}, {FailShare: 0.6, ResetShare: 0.3, FlapInterval: storeDelay},
	}
	return failures[variant%len(failures)]
}

// reloadBadSettings writes an invalid settings file and then restores the valid one.
func (inj *injector) reloadBadSettings(ctx context.Context, s Step) {
	n, release := inj.claim(inj.nodeNames[s.TargetIndex])
	if n == nil {
		return
	}
	defer release()
	valid, err := n.Settings()
	if err == nil {
		err = n.WriteSettings(valid[:len(valid)/2]+"\nunknown = 1\n", s.Variant%2 == 0)
	}
	sleep(ctx, s.Duration/2)
	if err == nil {
		err = n.WriteSettings(valid, s.Variant%3 != 0)
	}
	if err != nil {
		inj.logf("write settings: %v", err)
	}
}

func sleep(ctx context.Context, d time.Duration) { load.Sleep(ctx, d) }

func sleepUntil(ctx context.Context, t time.Time) { load.Sleep(ctx, time.Until(t)) }
