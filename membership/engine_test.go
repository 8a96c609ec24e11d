package membership_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/membership"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// simNetwork carries the messages between engines, with loss and one-way cuts.
type simNetwork struct {
	now   time.Time
	rnd   *rand.Rand
	nodes map[string]*membership.Engine // by address
	cuts  map[[2]string]bool
	loss  float64
}

func newSimNetwork(seed uint64, n int, dcs int) *simNetwork {
	w := &simNetwork{now: epoch, rnd: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*membership.Engine), cuts: make(map[[2]string]bool)}
	for i := range n {
		w.add(fmt.Sprintf("n%02d", i), i%dcs, 1)
	}
	return w
}

func (w *simNetwork) add(name string, dc int, inc uint64) {
	m := membership.Member{Name: name, Incarnation: inc, Region: fmt.Sprintf("r%d", dc/2), DataCentre: fmt.Sprintf("dc%d", dc), Address: name}
	w.nodes[name] = membership.New(w.now, m, []string{"n00", "n01"}, rand.New(rand.NewPCG(w.rnd.Uint64(), 1)))
}

// delivers reports whether one message gets through.
func (w *simNetwork) delivers(from, to string) bool {
	return w.nodes[to] != nil && !w.cuts[[2]string{from, to}] && w.rnd.Float64() >= w.loss
}

// run advances the time in steps; a round trip fails if either direction does.
func (w *simNetwork) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, addr := range slices.Sorted(maps.Keys(w.nodes)) {
			e := w.nodes[addr]
			e.Tick(w.now)
			for round := 0; round < 4; round++ {
				out := e.Take()
				for _, s := range out.Sends {
					w.send(addr, e, s)
				}
				for _, p := range out.Probes {
					ok := w.delivers(addr, p.ViaAddress) && w.delivers(p.ViaAddress, p.Address) && w.delivers(p.Address, p.ViaAddress) && w.delivers(p.ViaAddress, addr)
					e.ReceiveProbeResult(w.now, p, ok)
				}
			}
		}
	}
}

func (w *simNetwork) send(addr string, e *membership.Engine, s membership.Send) {
	if !w.delivers(addr, s.Address) {
		e.HeartbeatFailed(w.now, s)
		return
	}
	resp := w.nodes[s.Address].Receive(w.now, s.Message)
	if !w.delivers(s.Address, addr) {
		e.HeartbeatFailed(w.now, s)
		return
	}
	e.ReceiveResponse(w.now, s, resp)
}

// converged returns the first difference found between a view and the set of running nodes.
func (w *simNetwork) converged() error {
	for name, e := range w.nodes {
		live := map[string]bool{}
		for _, m := range e.Members() {
			if m.Status == membership.Alive {
				live[m.Name] = true
			}
		}
		for other := range w.nodes {
			if !live[other] {
				return fmt.Errorf("%s does not know %s", name, other)
			}
		}
		if len(live) != len(w.nodes) {
			return fmt.Errorf("%s knows %d nodes, %d run", name, len(live), len(w.nodes))
		}
	}
	return nil
}

// TestViewsConverge draws loss, cuts, replacements and changes of upstreams, and checks that all views agree after the network heals.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "nodes")
		w := newSimNetwork(rapid.Uint64().Draw(t, "seed"), n, rapid.IntRange(1, 4).Draw(t, "dcs"))
		w.run(5 * time.Second)
		inc := uint64(1)
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			a := fmt.Sprintf("n%02d", rapid.IntRange(0, n-1).Draw(t, "a"))
			b := fmt.Sprintf("n%02d", rapid.IntRange(0, n-1).Draw(t, "b"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				w.cuts[[2]string{a, b}] = true
			case 1:
				w.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
			case 2:
				inc++
				w.add(a, 0, inc) // replaced under the same name and address
			case 3:
				if e := w.nodes[a]; e != nil {
					e.SetUpstreams(w.now, []membership.Upstream{{ID: b, Service: "s", Slots: 1, State: membership.Ready}})
				}
			default:
				w.run(time.Duration(rapid.IntRange(1, 50).Draw(t, "ticks")) * 100 * time.Millisecond)
			}
		}
		clear(w.cuts)
		w.loss = 0
		w.run(20 * time.Second)
		if err := w.converged(); err != nil {
			t.Fatal(err)
		}
		var want uint64
		for name, e := range w.nodes {
			if want == 0 {
				want = e.Digest()
			}
			if e.Digest() != want {
				t.Fatalf("the view of %s differs", name)
			}
		}
	})
}

func TestCrashedNodeIsDetected(t *testing.T) {
	is := is.New(t)
	w := newSimNetwork(3, 12, 4)
	w.run(5 * time.Second)
	is.NoErr(w.converged())
	delete(w.nodes, "n05")
	w.run(5 * time.Second)
	is.NoErr(w.converged()) // no other node lists it as alive
}

func TestOneWayCutDeclaresNobodyDead(t *testing.T) {
	is := is.New(t)
	w := newSimNetwork(4, 8, 2)
	w.run(5 * time.Second)
	w.cuts[[2]string{"n02", "n04"}] = true // both nodes are in the same data centre
	w.cuts[[2]string{"n06", "n02"}] = true
	for range 100 {
		w.run(300 * time.Millisecond)
		is.NoErr(w.converged()) // indirect probes reach both nodes, so neither is declared dead
	}
}

func TestNewNodeLearnsFleetWithinOneSecond(t *testing.T) {
	is := is.New(t)
	w := newSimNetwork(5, 40, 4)
	w.run(8 * time.Second)
	w.add("n99", 1, 1)
	w.run(time.Second)
	is.NoErr(w.converged())
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := membership.New(epoch, membership.Member{Name: "me", Incarnation: 1, DataCentre: "dc0", Address: "me"}, nil, rand.New(rand.NewPCG(1, 1)))
			var list []membership.Member
			for i := range n {
				list = append(list, membership.Member{Name: fmt.Sprintf("n%d", i), Incarnation: 1, Seq: 1, Status: membership.Alive, DataCentre: fmt.Sprintf("dc%d", i%5), Address: fmt.Sprint(i)})
			}
			e.Receive(epoch, membership.Message{Name: "n0", Members: list})
			e.Take()
			now := epoch
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				e.Tick(now)
				e.Take()
			}
		})
	}
}
