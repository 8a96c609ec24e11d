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
	drainBound        = 3 * time.Second        // time after the acknowledgement in which a draining server may still be sent requests
	drainGrace        = 2 * time.Second        // further time for which the server still serves
	ackTimeout        = 5 * time.Second        // for the acknowledgement that a server drains
	storeDelay        = 700 * time.Millisecond // also for how long a flapping server stays in each state
	linkDelay         = 300 * time.Millisecond
	lostResponseShare = 0.5
	maxVersionGap     = 400 * time.Millisecond // bound of the time between versions that are published in succession
	maxVersions       = 4
	clockLag          = 30 * time.Second // by which the clock of some replacement servers is behind
	storeName         = fleet.StoreSite
)

// injector carries out the steps of a run on a fleet.
type injector struct {
	fleet        *fleet.Fleet
	disturbances *disturbances
	prober       *versionProber
	nodeNames    []string
	logf         func(format string, args ...any)

	mu          sync.Mutex
	busy        map[string]bool // nodes that a step has claimed, by name
	storeFaults fakelog.Faults
	lastNumber  int // number of the newest replacement server
	wg          sync.WaitGroup
}

// run starts each step at its time and returns when all have ended.
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

// String returns the step as it is printed in the verbose output.
func (s Step) String() string {
	return fmt.Sprintf("%s for %v a=%d b=%d wide=%v pick=%d", s.Kind, s.Duration.Round(time.Millisecond), s.TargetIndex, s.PeerIndex, s.BetweenDataCentres, s.Variant)
}

func (inj *injector) inject(ctx context.Context, s Step) {
	switch s.Kind {
	case stopNode, killNode, pauseNode:
		inj.nodeFault(ctx, s)
	case killAll:
		inj.killAll(ctx, s)
	case cutOneWay, silence, slowLinks, resetLinks:
		inj.linkFault(ctx, s)
	case storeDown, storeSlow, storeLoses:
		inj.storeFault(ctx, s)
	case storeCut:
		inj.storeCut(ctx, s)
	case storeTrims:
		inj.fleet.Log.TrimAll(fleet.OperatorTopic)
	case configure:
		inj.publishVersions(ctx, s)
	case drainServer, crashServer, sickServer:
		inj.serverFault(ctx, s)
	case badReload:
		inj.reloadBadSettings(ctx, s)
	}
}

// claim reserves the named node for one step and returns it with a function that releases it. The node is nil while another
// step has claimed it or it is not running.
func (inj *injector) claim(name string) (*fleet.Node, func()) {
	inj.mu.Lock()
	defer inj.mu.Unlock()
	if inj.busy[name] {
		return nil, nil
	}
	for _, n := range inj.fleet.Nodes() {
		if n.Name != name {
			continue
		}
		inj.busy[name] = true
		return n, func() {
			inj.mu.Lock()
			defer inj.mu.Unlock()
			delete(inj.busy, name)
		}
	}
	return nil, nil
}

func (inj *injector) nodeFault(ctx context.Context, s Step) {
	n, release := inj.claim(inj.nodeNames[s.TargetIndex])
	if n == nil {
		return
	}
	defer release()
	defer inj.disturbances.begin(n.Name)()
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
		defer inj.disturbances.begin(name)()
		killed = append(killed, n)
	}
	for _, n := range killed {
		n.Kill()
	}
	sleep(ctx, s.Duration/2)
	for _, n := range killed {
		inj.restart(n)
	}
}

// linkEnds returns the two nodes or data centres of a link fault and the names of the nodes that it disturbs.
func (inj *injector) linkEnds(s Step) (from, to string, disturbed []string) {
	if !s.BetweenDataCentres {
		return inj.nodeNames[s.TargetIndex], inj.nodeNames[s.PeerIndex], []string{inj.nodeNames[s.TargetIndex], inj.nodeNames[s.PeerIndex]}
	}
	from, to = inj.fleet.Deployment.DataCentres[s.TargetIndex].Name, inj.fleet.Deployment.DataCentres[s.PeerIndex].Name
	for _, n := range inj.fleet.Nodes() {
		if n.DataCentre.Name == from || n.DataCentre.Name == to {
			disturbed = append(disturbed, n.Name)
		}
	}
	return from, to, disturbed
}

func (inj *injector) linkFault(ctx context.Context, s Step) {
	from, to, disturbed := inj.linkEnds(s)
	defer inj.disturbances.begin(disturbed...)()
	l := inj.fleet.Link
	switch s.Kind {
	case resetLinks:
		l.ResetConnections(from, to)
		return
	case slowLinks:
		l.SetExtraDelay(from, to, linkDelay)
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

// storeFault gives the store a fault for the duration of the step. When store faults overlap, the end of the first ends all.
func (inj *injector) storeFault(ctx context.Context, s Step) {
	defer inj.disturbances.begin(storeName)()
	inj.changeStoreFaults(func(f *fakelog.Faults) {
		switch s.Kind {
		case storeSlow:
			f.Delay = storeDelay
		case storeLoses:
			f.LostResponseShare, f.LostAppendDelay = lostResponseShare, s.Duration/2
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

func (inj *injector) storeCut(ctx context.Context, s Step) {
	name := inj.nodeNames[s.TargetIndex]
	defer inj.disturbances.begin(name)()
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

func (inj *injector) serverFault(ctx context.Context, s Step) {
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
	inj.lastNumber++
	id := fmt.Sprintf("%s-%d", strings.TrimRight(u.ID(), "0123456789-"), 1000+inj.lastNumber)
	inj.mu.Unlock()
	startTime := time.Now()
	if s.Variant%3 == 0 {
		startTime = startTime.Add(-clockLag)
	}
	if _, err := inj.fleet.RedeployUpstream(n, id, uint64(startTime.UnixMilli())); err != nil {
		inj.logf("redeploy server: %v", err)
	}
}

// drain drains a server as the platform's servers do: the server announces that it drains, serves for a while after a node
// has acknowledged that, and deregisters. Without an acknowledgement it deregisters after ackTimeout.
func (inj *injector) drain(ctx context.Context, u *fakeupstream.Server) {
	u.SetState(ctx, upstream.Draining)
	deadline := time.Now().Add(ackTimeout)
	for u.DrainAckedAt().IsZero() && time.Now().Before(deadline) {
		sleep(ctx, maxVersionGap/4)
	}
	if !u.DrainAckedAt().IsZero() {
		sleepUntil(ctx, u.DrainAckedAt().Add(drainBound+drainGrace))
	}
	u.Deregister(ctx)
}

// grayFailure returns the faults of a variant of gray failure.
func grayFailure(variant int) fakeupstream.Faults {
	failures := []fakeupstream.Faults{
		{FailShare: 0.5}, {SlowFactor: 10}, {Hang: true}, {Truncate: 0.4}, {Shed: 0.7}, {Reset: 0.4},
		{EarlyResponse: 0.5}, {ExtraResponse: 0.4}, {Malformed: 0.3}, {ResetReused: 0.5}, {FailShare: 0.6, Reset: 0.3, FlapInterval: storeDelay},
	}
	return failures[variant%len(failures)]
}

// reloadBadSettings writes an invalid settings file, and then the former one.
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
