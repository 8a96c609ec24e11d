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

// net carries the messages of engines with loss, delay and one-way cuts.
type net struct {
	now   time.Time
	rnd   *rand.Rand
	nodes map[string]*membership.Engine // by address
	cuts  map[[2]string]bool
	loss  float64
}

func newNet(seed uint64, n int, dcs int) *net {
	w := &net{now: epoch, rnd: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*membership.Engine), cuts: make(map[[2]string]bool)}
	for i := range n {
		w.add(fmt.Sprintf("n%02d", i), i%dcs, 1)
	}
	return w
}

func (w *net) add(name string, dc int, inc uint64) {
	m := membership.Member{Name: name, Incarnation: inc, Region: fmt.Sprintf("r%d", dc/2), DataCentre: fmt.Sprintf("dc%d", dc), Address: name}
	w.nodes[name] = membership.New(w.now, m, []string{"n00", "n01"}, rand.New(rand.NewPCG(w.rnd.Uint64(), 1)))
}

// reach reports whether one message passes.
func (w *net) reach(from, to string) bool {
	return w.nodes[to] != nil && !w.cuts[[2]string{from, to}] && w.rnd.Float64() >= w.loss
}

// run lets time pass; a round trip fails if either of its directions does.
func (w *net) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(100 * time.Millisecond)
		for _, addr := range slices.Sorted(maps.Keys(w.nodes)) {
			e := w.nodes[addr]
			e.Tick(w.now)
			for more := 0; more < 4; more++ {
				out := e.Take()
				for _, s := range out.Sends {
					w.send(addr, e, s)
				}
				for _, p := range out.Probes {
					ok := w.reach(addr, p.ViaAddress) && w.reach(p.ViaAddress, p.Address) && w.reach(p.Address, p.ViaAddress) && w.reach(p.ViaAddress, addr)
					e.ReceiveProbeResult(w.now, p, ok)
				}
			}
		}
	}
}

func (w *net) send(addr string, e *membership.Engine, s membership.Send) {
	if !w.reach(addr, s.Address) {
		e.HeartbeatFailed(w.now, s)
		return
	}
	ans := w.nodes[s.Address].Receive(w.now, s.Message)
	if !w.reach(s.Address, addr) {
		e.HeartbeatFailed(w.now, s)
		return
	}
	e.ReceiveResponse(w.now, s, ans)
}

// whole returns the first difference between the views and the nodes that run.
func (w *net) whole() error {
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

// TestViewsBecomeEqual draws loss, cuts, crashes and replacements, and checks that all views agree once the network is whole.
func TestViewsBecomeEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "nodes")
		w := newNet(rapid.Uint64().Draw(t, "seed"), n, rapid.IntRange(1, 4).Draw(t, "dcs"))
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
		if err := w.whole(); err != nil {
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

func TestDeathIsNoticed(t *testing.T) {
	is := is.New(t)
	w := newNet(3, 12, 4)
	w.run(5 * time.Second)
	is.NoErr(w.whole())
	delete(w.nodes, "n05")
	w.run(5 * time.Second)
	is.NoErr(w.whole()) // all know that it is gone
}

func TestOneWayCutIsNoDeath(t *testing.T) {
	is := is.New(t)
	w := newNet(4, 8, 2)
	w.run(5 * time.Second)
	w.cuts[[2]string{"n02", "n04"}] = true // of one data centre
	w.cuts[[2]string{"n06", "n02"}] = true
	for range 100 {
		w.run(300 * time.Millisecond)
		is.NoErr(w.whole()) // others reach both, so nobody is declared dead
	}
}

func TestNewNodeLearnsTheFleetQuickly(t *testing.T) {
	is := is.New(t)
	w := newNet(5, 40, 4)
	w.run(8 * time.Second)
	w.add("n99", 1, 1)
	w.run(time.Second)
	is.NoErr(w.whole())
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
