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
	drainBound  = 3 * time.Second // after the acknowledgement, for which a leaving server still serves
	drainMore   = 2 * time.Second // for which it serves beyond the bound
	ackWait     = 5 * time.Second
	slowStore   = 700 * time.Millisecond
	slowLink    = 300 * time.Millisecond
	loseShare   = 0.5
	versionGap  = 400 * time.Millisecond
	maxVersions = 4
	clockBack   = 30 * time.Second
	storeName   = fleet.StoreSite
)

// actor carries out steps on a fleet.
type actor struct {
	fleet *fleet.Fleet
	touch *touch
	marks *marks
	names []string // of the nodes
	say   func(format string, args ...any)

	mu    sync.Mutex
	busy  map[string]bool // nodes that are stopped or whose server is replaced
	store logstand.Faults
	next  int // number of the next server
	wg    sync.WaitGroup
}

// play carries out the steps at their times and returns once all have ended.
func (a *actor) play(ctx context.Context, start time.Time, steps []Step) {
	for _, s := range steps {
		sleepUntil(ctx, start.Add(s.At))
		if ctx.Err() != nil {
			break
		}
		a.say("%5.2fs %s", s.At.Seconds(), s)
		a.wg.Add(1)
		go func() {
			defer a.wg.Done()
			a.do(ctx, s)
		}()
	}
	a.wg.Wait()
}

// String returns the step as one line of a report.
func (s Step) String() string {
	return fmt.Sprintf("%s for %v a=%d b=%d wide=%v pick=%d", s.Kind, s.Duration.Round(time.Millisecond), s.A, s.B, s.BetweenDataCentres, s.Variant)
}

func (a *actor) do(ctx context.Context, s Step) {
	switch s.Kind {
	case stopNode, killNode, pauseNode:
		a.node(ctx, s)
	case killAll:
		a.killAll(ctx, s)
	case cutOneWay, silence, slowLinks, resetLinks:
		a.links(ctx, s)
	case storeDown, storeSlow, storeLoses:
		a.storeFault(ctx, s)
	case storeCut:
		a.storeCut(ctx, s)
	case storeTrims:
		a.fleet.Log.Forget(fleet.OperatorTopic)
	case configure:
		a.configure(ctx, s)
	case drainUp, crashUp, sickUp:
		a.server(ctx, s)
	case badReload:
		a.reload(ctx, s)
	}
}

// claim returns the node of the name for one step alone, and what gives it back; nil while another step has it.
func (a *actor) claim(name string) (*fleet.Node, func()) {
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

func (a *actor) node(ctx context.Context, s Step) {
	n, release := a.claim(a.names[s.A])
	if n == nil {
		return
	}
	defer release()
	defer a.touch.disturb(n.Name)()
	switch s.Kind {
	case pauseNode:
		n.Pause(s.Duration)
		sleep(ctx, s.Duration)
		return
	case killNode:
		n.Kill()
	default:
		if err := n.Stop(); err != nil {
			a.say("stop: %v", err)
		}
	}
	sleep(ctx, s.Duration/2)
	a.restart(n)
}

func (a *actor) restart(n *fleet.Node) {
	if _, err := a.fleet.Restart(n); err != nil {
		a.say("restart: %v", err)
	}
}

func (a *actor) killAll(ctx context.Context, s Step) {
	var down []*fleet.Node
	for _, name := range a.names {
		n, release := a.claim(name)
		if n == nil {
			continue
		}
		defer release()
		defer a.touch.disturb(name)()
		down = append(down, n)
	}
	for _, n := range down {
		n.Kill()
	}
	sleep(ctx, s.Duration/2)
	for _, n := range down {
		a.restart(n)
	}
}

// ends returns the two places of a step on links and the nodes that it touches.
func (a *actor) ends(s Step) (from, to string, touched []string) {
	if !s.BetweenDataCentres {
		return a.names[s.A], a.names[s.B], []string{a.names[s.A], a.names[s.B]}
	}
	from, to = a.fleet.Shape.DataCentres[s.A].Name, a.fleet.Shape.DataCentres[s.B].Name
	for _, n := range a.fleet.Nodes() {
		if n.DataCentre.Name == from || n.DataCentre.Name == to {
			touched = append(touched, n.Name)
		}
	}
	return from, to, touched
}

func (a *actor) links(ctx context.Context, s Step) {
	from, to, touched := a.ends(s)
	defer a.touch.disturb(touched...)()
	l := a.fleet.Link
	switch s.Kind {
	case resetLinks:
		l.Reset(from, to)
		return
	case slowLinks:
		l.Slow(from, to, slowLink)
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
func (a *actor) storeFault(ctx context.Context, s Step) {
	defer a.touch.disturb(storeName)()
	a.setStore(func(f *logstand.Faults) {
		switch s.Kind {
		case storeSlow:
			f.Slow = slowStore
		case storeLoses:
			f.LoseShare, f.Late = loseShare, s.Duration/2
		default:
			f.Down = true
		}
	})
	sleep(ctx, s.Duration)
	a.setStore(func(f *logstand.Faults) { *f = logstand.Faults{} })
}

func (a *actor) setStore(change func(*logstand.Faults)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	change(&a.store)
	a.fleet.Log.SetFaults(a.store)
}

func (a *actor) storeCut(ctx context.Context, s Step) {
	name := a.names[s.A]
	defer a.touch.disturb(name)()
	l := a.fleet.Link
	l.Cut(name, storeName, true)
	defer l.Cut(name, storeName, false)
	sleep(ctx, s.Duration)
}

func (a *actor) configure(ctx context.Context, s Step) {
	for range 1 + s.Variant%maxVersions {
		if err := a.marks.publish(a.fleet); err != nil {
			a.say("configure: %v", err)
			return
		}
		sleep(ctx, time.Duration(s.Variant%7)*versionGap/7)
	}
}

func (a *actor) server(ctx context.Context, s Step) {
	n, release := a.claim(a.names[s.A])
	if n == nil {
		return
	}
	defer release()
	u := a.fleet.UpstreamOf(n)
	if u == nil {
		return
	}
	switch s.Kind {
	case sickUp:
		u.SetFaults(sickness(s.Variant))
		sleep(ctx, s.Duration)
		u.SetFaults(upstand.Faults{})
		return
	case crashUp:
		u.Crash()
		sleep(ctx, s.Duration)
	default:
		a.drain(ctx, u)
	}
	a.mu.Lock()
	a.next++
	id := fmt.Sprintf("%s-%d", strings.TrimRight(u.ID(), "0123456789-"), 1000+a.next)
	a.mu.Unlock()
	born := time.Now()
	if s.Variant%3 == 0 {
		born = born.Add(-clockBack)
	}
	if _, err := a.fleet.RedeployUpstream(n, id, uint64(born.UnixMilli())); err != nil {
		a.say("renew: %v", err)
	}
}

// drain lets a server leave as the platform's servers do.
func (a *actor) drain(ctx context.Context, u *upstand.Server) {
	u.SetState(ctx, upstream.Draining)
	end := time.Now().Add(ackWait)
	for u.Acked().IsZero() && time.Now().Before(end) {
		sleep(ctx, versionGap/4)
	}
	if !u.Acked().IsZero() {
		sleepUntil(ctx, u.Acked().Add(drainBound+drainMore))
	}
	u.Leave(ctx)
}

// sickness returns one of the gray failures.
func sickness(pick int) upstand.Faults {
	list := []upstand.Faults{
		{Fail: 0.5}, {Slow: 10}, {Hang: true}, {Truncate: 0.4}, {Shed: 0.7}, {Reset: 0.4},
		{Early: 0.5}, {Extra: 0.4}, {Unframed: 0.3}, {Forget: 0.5}, {Fail: 0.6, Reset: 0.3, Flap: slowStore},
	}
	return list[pick%len(list)]
}

// reload writes settings that can't be read, and then the former ones.
func (a *actor) reload(ctx context.Context, s Step) {
	n, release := a.claim(a.names[s.A])
	if n == nil {
		return
	}
	defer release()
	good, err := n.Settings()
	if err == nil {
		err = n.WriteSettings(good[:len(good)/2]+"\nunknown = 1\n", s.Variant%2 == 0)
	}
	sleep(ctx, s.Duration/2)
	if err == nil {
		err = n.WriteSettings(good, s.Variant%3 != 0)
	}
	if err != nil {
		a.say("reload: %v", err)
	}
}

func sleep(ctx context.Context, d time.Duration) { load.Sleep(ctx, d) }

func sleepUntil(ctx context.Context, t time.Time) { load.Sleep(ctx, time.Until(t)) }
