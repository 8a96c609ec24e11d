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

// simNetwork simulates a network between engines that loses messages and has links that are cut in one direction.
type simNetwork struct {
	now      time.Time
	rnd      *rand.Rand
	nodes    map[string]*membership.Engine // engines by address
	cutLinks map[[2]string]bool
	lossRate float64
	recalled map[string][]membership.Departure // departures that nodes were told of, by name
}

func newSimNetwork(seed uint64, n int, dcs int) *simNetwork {
	net := &simNetwork{now: epoch, rnd: rand.New(rand.NewPCG(seed, 1)), nodes: make(map[string]*membership.Engine), cutLinks: make(map[[2]string]bool), recalled: make(map[string][]membership.Departure)}
	for i := range n {
		net.add(fmt.Sprintf("n%02d", i), i%dcs, 1)
	}
	return net
}

func (net *simNetwork) add(name string, dc int, incarnation uint64) {
	m := membership.Member{Name: name, Incarnation: incarnation, Region: fmt.Sprintf("r%d", dc/2), DataCentre: fmt.Sprintf("dc%d", dc), Address: name}
	net.nodes[name] = membership.New(net.now, m, []string{"n00", "n01"}, rand.New(rand.NewPCG(net.rnd.Uint64(), 1)))
}

// messageArrives reports whether a message from one address to the other arrives.
func (net *simNetwork) messageArrives(from, to string) bool {
	return net.nodes[to] != nil && !net.cutLinks[[2]string{from, to}] && net.rnd.Float64() >= net.lossRate
}

// run advances the simulated time by d in steps of 100 ms. A heartbeat fails if either the request or the response is lost.
func (net *simNetwork) run(d time.Duration) {
	for end := net.now.Add(d); net.now.Before(end); {
		net.now = net.now.Add(100 * time.Millisecond)
		for _, addr := range slices.Sorted(maps.Keys(net.nodes)) {
			e := net.nodes[addr]
			e.Tick(net.now)
			for round := 0; round < 4; round++ {
				out := e.TakeOutput()
				net.recalled[addr] = append(net.recalled[addr], out.Recalled...)
				for _, s := range out.Heartbeats {
					net.send(addr, e, s)
				}
				for _, p := range out.Probes {
					ok := net.messageArrives(addr, p.ViaAddress) && net.messageArrives(p.ViaAddress, p.Address) && net.messageArrives(p.Address, p.ViaAddress) && net.messageArrives(p.ViaAddress, addr)
					e.ReceiveProbeResult(net.now, p, ok)
				}
			}
		}
	}
}

func (net *simNetwork) send(addr string, e *membership.Engine, s membership.OutgoingHeartbeat) {
	if !net.messageArrives(addr, s.Address) {
		e.HeartbeatFailed(net.now, s)
		return
	}
	resp := net.nodes[s.Address].ReceiveHeartbeat(net.now, s.Message)
	if !net.messageArrives(s.Address, addr) {
		e.HeartbeatFailed(net.now, s)
		return
	}
	e.ReceiveResponse(net.now, s, resp)
}

// checkConverged returns an error if the live nodes in any view are not exactly the running nodes.
func (net *simNetwork) checkConverged() error {
	for name, e := range net.nodes {
		live := map[string]bool{}
		for _, m := range e.Members() {
			if m.Status == membership.Alive {
				live[m.Name] = true
			}
		}
		for other := range net.nodes {
			if !live[other] {
				return fmt.Errorf("%s does not know %s", name, other)
			}
		}
		if len(live) != len(net.nodes) {
			return fmt.Errorf("%s knows %d nodes, %d run", name, len(live), len(net.nodes))
		}
	}
	return nil
}

// TestViewsConverge draws message loss, cut links, replaced nodes and changes of upstreams, and checks that all views agree after
// the network heals.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "nodes")
		net := newSimNetwork(rapid.Uint64().Draw(t, "seed"), n, rapid.IntRange(1, 4).Draw(t, "dcs"))
		net.run(5 * time.Second)
		incarnation := uint64(1)
		for range rapid.IntRange(1, 15).Draw(t, "steps") {
			a := fmt.Sprintf("n%02d", rapid.IntRange(0, n-1).Draw(t, "a"))
			b := fmt.Sprintf("n%02d", rapid.IntRange(0, n-1).Draw(t, "b"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				net.cutLinks[[2]string{a, b}] = true
			case 1:
				net.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss")
			case 2:
				incarnation++
				net.add(a, 0, incarnation) // a new run of the node under the same name and address
			case 3:
				if e := net.nodes[a]; e != nil {
					e.SetUpstreams(net.now, []membership.Upstream{{ID: b, Service: "s", Slots: 1, State: membership.Ready}}, nil)
				}
			default:
				net.run(time.Duration(rapid.IntRange(1, 50).Draw(t, "ticks")) * 100 * time.Millisecond)
			}
		}
		clear(net.cutLinks)
		net.lossRate = 0
		net.run(20 * time.Second)
		if err := net.checkConverged(); err != nil {
			t.Fatal(err)
		}
		var firstDigest uint64
		for name, e := range net.nodes {
			if firstDigest == 0 {
				firstDigest = e.Digest()
			}
			if e.Digest() != firstDigest {
				t.Fatalf("the view of %s differs", name)
			}
		}
	})
}

func TestCrashedNodeIsDetected(t *testing.T) {
	is := is.New(t)
	net := newSimNetwork(3, 12, 4)
	net.run(5 * time.Second)
	is.NoErr(net.checkConverged())
	delete(net.nodes, "n05")
	net.run(5 * time.Second)
	is.NoErr(net.checkConverged()) // no other node lists n05 as alive
}

func TestOneWayCutDeclaresNobodyDead(t *testing.T) {
	is := is.New(t)
	net := newSimNetwork(4, 8, 2)
	net.run(5 * time.Second)
	net.cutLinks[[2]string{"n02", "n04"}] = true // both nodes are in the same data centre
	net.cutLinks[[2]string{"n06", "n02"}] = true
	for range 100 {
		net.run(300 * time.Millisecond)
		is.NoErr(net.checkConverged()) // indirect probes reach both nodes, so neither is declared dead
	}
}

func TestNewNodeLearnsFleetWithinOneSecond(t *testing.T) {
	is := is.New(t)
	net := newSimNetwork(5, 40, 4)
	net.run(8 * time.Second)
	net.add("n99", 1, 1)
	net.run(time.Second)
	is.NoErr(net.checkConverged())
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{100, 900} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := membership.New(epoch, membership.Member{Name: "me", Incarnation: 1, DataCentre: "dc0", Address: "me"}, nil, rand.New(rand.NewPCG(1, 1)))
			var members []membership.Member
			for i := range n {
				members = append(members, membership.Member{Name: fmt.Sprintf("n%d", i), Incarnation: 1, Seq: 1, Status: membership.Alive, DataCentre: fmt.Sprintf("dc%d", i%5), Address: fmt.Sprint(i)})
			}
			e.ReceiveHeartbeat(epoch, membership.Message{Name: "n0", Members: members})
			e.TakeOutput()
			now := epoch
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				e.Tick(now)
				e.TakeOutput()
			}
		})
	}
}
