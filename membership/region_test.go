package membership_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/membership"
	"github.com/matryer/is"
)

// TestLastingChangesReachOtherRegionsAtOnce checks that a change of a Suspect flag is sent to another region only with the
// next heartbeat, and that a draining upstream or a leaving node is announced there at once.
func TestLastingChangesReachOtherRegionsAtOnce(t *testing.T) {
	upstreams := func(s membership.State, suspect bool) []membership.Upstream {
		return []membership.Upstream{{ID: "u", Service: "s", Slots: 1, State: s, Suspect: suspect}}
	}
	tests := []struct {
		name     string
		change   func(e *membership.Engine, now time.Time)
		wantSent bool
	}{
		{"a suspicion", func(e *membership.Engine, now time.Time) { e.SetUpstreams(now, upstreams(membership.Ready, true), nil) }, false},
		{"a draining upstream", func(e *membership.Engine, now time.Time) {
			e.SetUpstreams(now, upstreams(membership.Draining, false), nil)
		}, true},
		{"a node that leaves", func(e *membership.Engine, now time.Time) { e.SetStatus(now, membership.Leaving) }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			self := membership.Member{Name: "a", Incarnation: 1, Region: "r1", DataCentre: "d1", Address: "a:1"}
			e := membership.New(now, self, nil, rand.New(rand.NewPCG(1, 1)))
			remote := membership.Member{Name: "b", Incarnation: 1, Seq: 1, Status: membership.Alive, Region: "r2", DataCentre: "d2", Address: "b:1"}
			e.ReceiveHeartbeat(now, membership.Message{Name: "b", Members: []membership.Member{remote}})
			e.SetUpstreams(now, upstreams(membership.Ready, false), nil)
			e.Tick(now)
			e.Flush(now)
			e.TakeOutput()
			now = now.Add(50 * time.Millisecond)
			tt.change(e, now)
			e.Flush(now)
			sent := false
			for _, s := range e.TakeOutput().Heartbeats {
				sent = sent || s.Name == "b"
			}
			is.Equal(sent, tt.wantSent)
		})
	}
}

// TestSeparateGroupsMerge checks that all nodes find each other after a restart of the whole fleet in which they
// first form small groups: each node keeps contacting its seeds until it knows most of the nodes.
func TestSeparateGroupsMerge(t *testing.T) {
	is := is.New(t)
	const nodes = 24
	now := time.Unix(1_000_000, 0)
	addr := func(i int) string { return string(rune('a'+i)) + ":1" }
	var seeds []string
	for i := range nodes {
		seeds = append(seeds, addr(i))
	}
	engines := make(map[string]*membership.Engine)
	for i := range nodes {
		dc := []string{"d1", "d2"}[i%2]
		m := membership.Member{Name: string(rune('a' + i)), Incarnation: 1, Region: dc, DataCentre: dc, Address: addr(i)}
		engines[addr(i)] = membership.New(now, m, nil, rand.New(rand.NewPCG(uint64(i), 7)))
	}
	deliver := func() {
		for _, a := range seeds {
			e := engines[a]
			for _, s := range e.TakeOutput().Heartbeats {
				if to := engines[s.Address]; to != nil {
					e.ReceiveResponse(now, s, to.ReceiveHeartbeat(now, s.Message))
				}
			}
		}
	}
	for i := range nodes { // nodes first join in pairs
		e := engines[addr(i)]
		e.SetSeeds([]string{addr(i ^ 1)})
		e.Tick(now)
	}
	deliver()
	for i := range nodes {
		engines[addr(i)].SetSeeds(seeds)
	}
	for range 60 { // 60 steps of 50 ms
		now = now.Add(50 * time.Millisecond)
		for _, a := range seeds {
			engines[a].Tick(now)
		}
		deliver()
	}
	for _, a := range seeds {
		is.Equal(len(engines[a].Members()), nodes)
	}
}

// TestGroupsMergeThroughAnUnknownSeed checks that two groups which have formed apart, each around one of two seeds, find each other
// soon: a node keeps contacting the seeds at whose address it knows no live node.
func TestGroupsMergeThroughAnUnknownSeed(t *testing.T) {
	for seed := range uint64(50) {
		is := is.New(t)
		net := newSimNetwork(seed, 0, 1)
		for i := range 12 {
			net.add(fmt.Sprintf("n%02d", i), i%2, 1)
		}
		for _, a := range slices.Sorted(maps.Keys(net.nodes)) {
			for _, b := range slices.Sorted(maps.Keys(net.nodes)) {
				net.cutLinks[[2]string{a, b}] = nodeNumber(a)%2 != nodeNumber(b)%2
			}
		}
		net.run(10 * time.Second)
		clear(net.cutLinks)
		net.run(5 * time.Second)
		is.NoErr(net.checkConverged())
	}
}

// nodeNumber returns the number in the name of a node of a simulated network.
func nodeNumber(name string) int {
	n, err := strconv.Atoi(name[1:])
	if err != nil {
		panic(err)
	}
	return n
}
