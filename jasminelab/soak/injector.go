package soak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/jasminevane/jasminevane/jasminelab/logstand"
	"github.com/jasminevane/jasminevane/jasminelab/upstand"
	"github.com/jasminevane/jasminevane/upstream"
)

const (
	drainBound        = 3 * time.Second // after the acknowledgement, for which a leaving server still serves
	drainGrace        = 2 * time.Second // for which it serves beyond the bound
	ackTimeout        = 5 * time.Second
	storeDelay        = 700 * time.Millisecond
	linkDelay         = 300 * time.Millisecond
	lostResponseShare = 0.5
	maxVersionGap     = 400 * time.Millisecond
	maxVersions       = 4
	clockLag          = 30 * time.Second
	storeName         = fleet.StoreSite
)

// injector carries out steps on a fleet.
type injector struct {
	fleet        *fleet.Fleet
	disturbances *disturbances
	prober       *versionProber
	nodeNames    []string // of the nodes
	logf         func(format string, args ...any)

	mu          sync.Mutex
	busy        map[string]bool // nodes that are stopped or whose server is replaced
	storeFaults logstand.Faults
	lastNumber  int // number of the next server
	wg          sync.WaitGroup
}

// run carries out the steps at their times and returns once all have ended.
func (a *injector) run(ctx context.Context, start time.Time, steps []Step) {
	for _, s := range steps {
		sleepUntil(ctx, start.Add(s.At))
		if ctx.Err() != nil {
			break
		}
		a.logf("%5.2fs %s", s.At.Seconds(), s)
		a.wg.Add(1)
		go func() {
			defer a.wg.Done()
			a.inject(ctx, s)
		}()
	}
	a.wg.Wait()
}

// String returns the step as one line of a report.
func (s Step) String() string {
	return fmt.Sprintf("%s for %v a=%d b=%d wide=%v pick=%d", s.Kind, s.Duration.Round(time.Millisecond), s.A, s.B, s.BetweenDataCentres, s.Variant)
}

func (a *injector) inject(ctx context.Context, s Step) {
	switch s.Kind {
	case stopNode, killNode, pauseNode:
		a.nodeFault(ctx, s)
	case killAll:
		a.killAll(ctx, s)
	case cutOneWay, silence, slowLinks, resetLinks:
		a.linkFault(ctx, s)
	case storeDown, storeSlow, storeLoses:
		a.storeFault(ctx, s)
	case storeCut:
		a.storeCut(ctx, s)
	case storeTrims:
		a.fleet.Log.Forget(fleet.OperatorTopic)
	case configure:
		a.publishVersions(ctx, s)
	case drainServer, crashServer, sickServer:
		a.serverFault(ctx, s)
	case badReload:
		a.reloadBadSettings(ctx, s)
	}
}

// claim returns the node of the name for one step alone, and what gives it back; nil while another step has it.
func (a *injector) claim(name string) (*fleet.Node, func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.busy[name] {
		return nil, nil
	}
	for _, n := range a.fleet.Nodes() {
		if n.Name != name {
			continue
		}
		a.busy[name] = true
		return n, func() {
			a.mu.Lock()
			defer a.mu.Unlock()
			delete(a.busy, name)
		}
	}
	return nil, nil
}

func (a *injector) nodeFault(ctx context.Context, s Step) {
	n, release := a.claim(a.nodeNames[s.A])
	if n == nil {
		return
	}
	defer release()
	defer a.disturbances.disturb(n.Name)()
	switch s.Kind {
	case pauseNode:
		n.Pause(s.Duration)
		sleep(ctx, s.Duration)
		return
	case killNode:
		n.Kill()
	default:
		if err := n.Stop(); err != nil {
			a.logf("stop: %v", err)
		}
	}
	sleep(ctx, s.Duration/2)
	a.restart(n)
}

func (a *injector) restart(n *fleet.Node) {
	if _, err := a.fleet.Restart(n); err != nil {
		a.logf("restart: %v", err)
	}
}

func (a *injector) killAll(ctx context.Context, s Step) {
	var killed []*fleet.Node
	for _, name := range a.nodeNames {
		n, release := a.claim(name)
		if n == nil {
			continue
		}
		defer release()
		defer a.disturbances.disturb(name)()
		killed = append(killed, n)
	}
	for _, n := range killed {
		n.Kill()
	}
	sleep(ctx, s.Duration/2)
	for _, n := range killed {
		a.restart(n)
	}
}

// linkEnds returns the two places of a step on links and the nodes that it touches.
func (a *injector) linkEnds(s Step) (from, to string, disturbed []string) {
	if !s.BetweenDataCentres {
		return a.nodeNames[s.A], a.nodeNames[s.B], []string{a.nodeNames[s.A], a.nodeNames[s.B]}
	}
	from, to = a.fleet.Shape.DataCentres[s.A].Name, a.fleet.Shape.DataCentres[s.B].Name
	for _, n := range a.fleet.Nodes() {
		if n.DataCentre.Name == from || n.DataCentre.Name == to {
			disturbed = append(disturbed, n.Name)
		}
	}
	return from, to, disturbed
}

func (a *injector) linkFault(ctx context.Context, s Step) {
	from, to, disturbed := a.linkEnds(s)
	defer a.disturbances.disturb(disturbed...)()
	l := a.fleet.Link
	switch s.Kind {
	case resetLinks:
		l.Reset(from, to)
		return
	case slowLinks:
		l.Slow(from, to, linkDelay)
		defer l.Slow(from, to, 0)
	case silence:
		l.Cut(to, from, true)
		defer l.Cut(to, from, false)
		fallthrough
	default:
		l.Cut(from, to, true)
		defer l.Cut(from, to, false)
	}
	sleep(ctx, s.Duration)
}

// storeFault changes the store's faults for a while; of faults that overlap, the first to end ends all.
func (a *injector) storeFault(ctx context.Context, s Step) {
	defer a.disturbances.disturb(storeName)()
	a.changeStoreFaults(func(f *logstand.Faults) {
		switch s.Kind {
		case storeSlow:
			f.Slow = storeDelay
		case storeLoses:
			f.LoseShare, f.Late = lostResponseShare, s.Duration/2
		default:
			f.Down = true
		}
	})
	sleep(ctx, s.Duration)
	a.changeStoreFaults(func(f *logstand.Faults) { *f = logstand.Faults{} })
}

func (a *injector) changeStoreFaults(change func(*logstand.Faults)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.storeFaults)
	a.fleet.Log.SetFaults(a.storeFaults)
}

func (a *injector) storeCut(ctx context.Context, s Step) {
	name := a.nodeNames[s.A]
	defer a.disturbances.disturb(name)()
	l := a.fleet.Link
	l.Cut(name, storeName, true)
	defer l.Cut(name, storeName, false)
	sleep(ctx, s.Duration)
}

func (a *injector) publishVersions(ctx context.Context, s Step) {
	for range 1 + s.Variant%maxVersions {
		if err := a.prober.publish(a.fleet); err != nil {
			a.logf("configure: %v", err)
			return
		}
		sleep(ctx, time.Duration(s.Variant%7)*maxVersionGap/7)
	}
}

func (a *injector) serverFault(ctx context.Context, s Step) {
	n, release := a.claim(a.nodeNames[s.A])
	if n == nil {
		return
	}
	defer release()
	u := a.fleet.UpstreamOf(n)
	if u == nil {
		return
	}
	switch s.Kind {
	case sickServer:
		u.SetFaults(grayFailure(s.Variant))
		sleep(ctx, s.Duration)
		u.SetFaults(upstand.Faults{})
		return
	case crashServer:
		u.Crash()
		sleep(ctx, s.Duration)
	default:
		a.drain(ctx, u)
	}
	a.mu.Lock()
	a.lastNumber++
	id := fmt.Sprintf("%s-%d", strings.TrimRight(u.ID(), "0123456789-"), 1000+a.lastNumber)
	a.mu.Unlock()
	startTime := time.Now()
	if s.Variant%3 == 0 {
		startTime = startTime.Add(-clockLag)
	}
	if _, err := a.fleet.RedeployUpstream(n, id, uint64(startTime.UnixMilli())); err != nil {
		a.logf("renew: %v", err)
	}
}

// drain lets a server leave as the platform's servers do.
func (a *injector) drain(ctx context.Context, u *upstand.Server) {
	u.SetState(ctx, upstream.Draining)
	deadline := time.Now().Add(ackTimeout)
	for u.Acked().IsZero() && time.Now().Before(deadline) {
		sleep(ctx, maxVersionGap/4)
	}
	if !u.Acked().IsZero() {
		sleepUntil(ctx, u.Acked().Add(drainBound+drainGrace))
	}
	u.Leave(ctx)
}

// grayFailure returns one of the gray failures.
func grayFailure(variant int) upstand.Faults {
	failures := []upstand.Faults{
		{Fail: 0.5}, {Slow: 10}, {Hang: true}, {Truncate: 0.4}, {Shed: 0.7}, {Reset: 0.4},
		{Early: 0.5}, {Extra: 0.4}, {Unframed: 0.3}, {Forget: 0.5}, {Fail: 0.6, Reset: 0.3, Flap: storeDelay},
	}
	return failures[variant%len(failures)]
}

// reloadBadSettings writes settings that can't be read, and then the former ones.
func (a *injector) reloadBadSettings(ctx context.Context, s Step) {
	n, release := a.claim(a.nodeNames[s.A])
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
		a.logf("reload: %v", err)
	}
}

func sleep(ctx context.Context, d time.Duration) { load.Sleep(ctx, d) }

func sleepUntil(ctx context.Context, t time.Time) { load.Sleep(ctx, time.Until(t)) }
