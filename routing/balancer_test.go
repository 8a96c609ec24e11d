package routing_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/outlier"
	"github.com/jasminevane/jasminevane/routing"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func upstreams(count int, tier func(i int) routing.Tier) []routing.Upstream {
	var list []routing.Upstream
	for i := range count {
		list = append(list, routing.Upstream{ID: fmt.Sprintf("n%d/u%d", i, i), Node: fmt.Sprintf("n%d", i), Tier: tier(i), Slots: 5, Ready: true})
	}
	return list
}

func sameDataCentre(int) routing.Tier { return routing.SameDataCentre }

func TestPickPrefersNearTiers(t *testing.T) {
	tests := []struct {
		name             string
		sameDataCentre   int // requests running at each upstream of the same data centre
		sameRegion       int // requests running at each upstream in the rest of the region
		otherRegion      int // requests running at each upstream of the other region
		allowOtherRegion bool
		wantTier         routing.Tier
	}{
		{"idle", 0, 0, 0, true, routing.SameDataCentre},
		{"the data centre is full", 9, 0, 0, false, routing.SameRegion},
		{"the region is full and the work may not cross", 60, 30, 0, false, routing.SameRegion},
		{"the region is full and the work may cross", 60, 30, 0, true, routing.OtherRegion},
		{"the other region has a slot to spare", 60, 30, 3, true, routing.OtherRegion},
		{"the other region has none", 60, 30, 4, true, routing.SameRegion},
		{"the data centre is busy and the region is not", 5, 0, 0, true, routing.SameRegion},
		{"the region is busy and the work may cross", 8, 6, 0, true, routing.SameRegion},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			lb := routing.NewBalancer("s", "me", 0.5)
			list := upstreams(6, func(i int) routing.Tier { return routing.Tier(i / 2) })
			lb.Update(epoch, list)
			now := epoch.Add(time.Minute)
			for _, u := range list {
				load := [...]int{tt.sameDataCentre, tt.sameRegion, tt.otherRegion}[u.Tier]
				lb.RecordReport(now, u.ID, 0, routing.Observation{Reported: true, Load: admission.Load{Running: load, Limit: 5}})
			}
			choice, err := lb.Pick(now, routing.Query{AllowOtherRegion: tt.allowOtherRegion}, rand.New(rand.NewPCG(1, 1)))
			is.NoErr(err)
			is.Equal(choice.Tier, tt.wantTier)
		})
	}
}

// TestPickReturnsUsableUpstreams draws sequences of updates and attempts and checks that Pick never returns an upstream that is not ready,
// that the query excludes, or that is in another region when the query does not allow it.
func TestPickReturnsUsableUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstreamCount := rapid.IntRange(1, 12).Draw(t, "n")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		lb := routing.NewBalancer("s", "me", 0.5)
		list := upstreams(upstreamCount, func(i int) routing.Tier { return routing.Tier(i % 3) })
		now := epoch
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			for i := range list {
				list[i].Ready = rapid.IntRange(0, 4).Draw(t, "ready") > 0
			}
			lb.Update(now, list)
			q := routing.Query{ClassIndex: rapid.IntRange(0, 1).Draw(t, "class"), AllowOtherRegion: rapid.Bool().Draw(t, "far")}
			if rapid.Bool().Draw(t, "exclude") {
				q.ExcludedIDs = []string{list[0].ID}
			}
			choice, err := lb.Pick(now, q, rnd)
			if err != nil {
				var pickErr *routing.Error
				if !errors.As(err, &pickErr) {
					t.Fatalf("error %v", err)
				}
				continue
			}
			for _, u := range list {
				unusable := !u.Ready || u.Tier == routing.OtherRegion && !q.AllowOtherRegion || len(q.ExcludedIDs) > 0 && u.ID == q.ExcludedIDs[0]
				if u.ID == choice.ID && unusable {
					t.Fatalf("picked %+v for %+v", u, q)
				}
			}
			lb.Finish(now, choice, q.ClassIndex, routing.Observation{PathLost: rapid.IntRange(0, 5).Draw(t, "lost") == 0})
		}
	})
}

func TestFastFailureAttractsNoTraffic(t *testing.T) {
	is := is.New(t)
	lb := routing.NewBalancer("s", "me", 0.9) // at least 90% of the upstreams must stay in service, so none of the 4 can be ejected
	list := upstreams(4, sameDataCentre)
	lb.Update(epoch, list)
	rnd := rand.New(rand.NewPCG(1, 1))
	now, requestCounts := epoch, map[string]int{}
	for i := range 2000 {
		now = now.Add(time.Millisecond)
		choice, err := lb.Pick(now, routing.Query{}, rnd)
		is.NoErr(err)
		requestCounts[choice.ID]++
		observation := routing.Observation{Reported: true, Load: admission.Load{Running: 2, Limit: 5}}
		observation.ClassReport = outlier.Report{MeanLogMicros: 10, TotalSamples: uint64(i + 20), SampleCount: 50}
		if choice.ID == list[0].ID {
			observation.Load.Running = 0
			observation.ClassReport.FailureCount = 50
		}
		lb.Finish(now, choice, 0, observation)
	}
	is.True(requestCounts[list[0].ID] < 2000/4/2) // less than half of its fair share
}

func TestSubsetIsBoundedAndStable(t *testing.T) {
	is := is.New(t)
	nodeCounts := map[string]int{}
	list := upstreams(300, func(i int) routing.Tier { return routing.Tier(i % 3) })
	for nodeIndex := range 100 {
		lb := routing.NewBalancer("s", fmt.Sprintf("door%d", nodeIndex), 0.5)
		lb.Update(epoch, list)
		before := lb.Upstreams()
		is.True(len(before) <= 32)
		lb.Update(epoch, list[1:])
		removed := 0
		after := map[string]bool{}
		for _, u := range lb.Upstreams() {
			after[u.ID] = true
		}
		for _, u := range before {
			nodeCounts[u.ID]++
			if !after[u.ID] {
				removed++
			}
		}
		is.True(removed <= 1) // at most the upstream that left
	}
	for _, u := range list {
		is.True(nodeCounts[u.ID] > 0) // each upstream is in the subset of at least one node
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{8, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			lb := routing.NewBalancer("s", "me", 0.6)
			lb.Update(epoch, upstreams(n, sameDataCentre))
			rnd := rand.New(rand.NewPCG(1, 1))
			now := epoch
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Millisecond)
				c, err := lb.Pick(now, routing.Query{}, rnd)
				if err != nil {
					b.Fatal(err)
				}
				lb.Finish(now, c, 0, routing.Observation{Reported: true, Load: admission.Load{Running: 1, Limit: 5}})
			}
		})
	}
}

// TestFloorHolds draws Suspect flags and suspicions and checks that ejection never leaves fewer upstreams in service than the floor requires.
func TestFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		upstreamCount := rapid.IntRange(1, 20).Draw(t, "n")
		floor := rapid.Float64Range(0, 1).Draw(t, "floor")
		lb := routing.NewBalancer("s", "me", floor)
		list := upstreams(upstreamCount, sameDataCentre)
		now := epoch
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			for i := range list {
				list[i].Suspect = rapid.Bool().Draw(t, "suspect")
			}
			lb.Update(now, list)
			id := list[rapid.IntRange(0, upstreamCount-1).Draw(t, "who")].ID
			lb.RecordReport(now, id, 0, routing.Observation{Reported: true, Suspicion: rapid.Float64Range(0, 1).Draw(t, "sick"), Load: admission.Load{Limit: 5}})
			if inService := upstreamCount - len(lb.Ejected(now)); float64(inService) < floor*float64(upstreamCount)-1e-9 {
				t.Fatalf("%d of %d in service, floor %v", inService, upstreamCount, floor)
			}
		}
	})
}

// TestUnhealthyUpstreamGetsTrialsOnly checks that non-idempotent requests avoid an unhealthy upstream and that idempotent requests reach
// it only as occasional trial requests.
func TestUnhealthyUpstreamGetsTrialsOnly(t *testing.T) {
	is := is.New(t)
	lb := routing.NewBalancer("s", "me", 0.5)
	list := upstreams(5, sameDataCentre)
	lb.Update(epoch, list)
	rnd := rand.New(rand.NewPCG(1, 1))
	nonIdempotentRequests, trials := 0, 0
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		for index, u := range list {
			suspicion := 0.01
			if index == 0 {
				suspicion = 0.9
			}
			lb.RecordReport(now, u.ID, 0, routing.Observation{Reported: true, Suspicion: suspicion, Load: admission.Load{Running: 1, Limit: 5}})
		}
		choice, err := lb.Pick(now, routing.Query{NonIdempotent: true}, rnd)
		is.NoErr(err)
		if choice.ID == list[0].ID {
			nonIdempotentRequests++
		}
		lb.Finish(now, choice, 0, routing.Observation{})
		choice, err = lb.Pick(now, routing.Query{AllowTrial: true}, rnd)
		is.NoErr(err)
		is.Equal(choice.Trial, choice.ID == list[0].ID)
		if choice.Trial {
			trials++
		}
		lb.Finish(now, choice, 0, routing.Observation{})
	}
	is.Equal(nonIdempotentRequests, 0)
	is.True(trials > 20 && trials < 200)
}
