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
		sameDataCentre   int // running at each upstream of the same data centre
		sameRegion       int // running at each upstream in the rest of the region
		otherRegion      int // running at each upstream of the other region
		allowOtherRegion bool
		want             routing.Tier
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
			c, err := lb.Pick(now, routing.Query{AllowOtherRegion: tt.allowOtherRegion}, rand.New(rand.NewPCG(1, 1)))
			is.NoErr(err)
			is.Equal(c.Tier, tt.want)
		})
	}
}

// TestPickReturnsUsableUpstreams draws sequences of updates and attempts and checks that Pick never returns an upstream that is not ready,
// is excluded, or is in another region when that is not allowed.
func TestPickReturnsUsableUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "n")
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		lb := routing.NewBalancer("s", "me", 0.5)
		list := upstreams(n, func(i int) routing.Tier { return routing.Tier(i % 3) })
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
			c, err := lb.Pick(now, q, rnd)
			if err != nil {
				var none *routing.Error
				if !errors.As(err, &none) {
					t.Fatalf("error %v", err)
				}
				continue
			}
			for _, u := range list {
				unusable := !u.Ready || u.Tier == routing.OtherRegion && !q.AllowOtherRegion || len(q.ExcludedIDs) > 0 && u.ID == q.ExcludedIDs[0]
				if u.ID == c.ID && unusable {
					t.Fatalf("picked %+v for %+v", u, q)
				}
			}
			lb.Finish(now, c, q.ClassIndex, routing.Observation{PathLost: rapid.IntRange(0, 5).Draw(t, "lost") == 0})
		}
	})
}

func TestFastFailureAttractsNoTraffic(t *testing.T) {
	is := is.New(t)
	lb := routing.NewBalancer("s", "me", 0.9) // the floor prevents ejection
	list := upstreams(4, sameDataCentre)
	lb.Update(epoch, list)
	rnd := rand.New(rand.NewPCG(1, 1))
	now, counts := epoch, map[string]int{}
	for i := range 2000 {
		now = now.Add(time.Millisecond)
		c, err := lb.Pick(now, routing.Query{}, rnd)
		is.NoErr(err)
		counts[c.ID]++
		o := routing.Observation{Reported: true, Load: admission.Load{Running: 2, Limit: 5}}
		o.ClassReport = outlier.Report{MeanLogMicros: 10, TotalSamples: uint64(i + 20), SampleCount: 50}
		if c.ID == list[0].ID {
			o.Load.Running = 0
			o.ClassReport.FailureCount = 50
		}
		lb.Finish(now, c, 0, o)
	}
	is.True(counts[list[0].ID] < 2000/4/2) // under half of its fair share
}

func TestSubsetIsBoundedAndStable(t *testing.T) {
	is := is.New(t)
	nodesByUpstream := map[string]int{}
	list := upstreams(300, func(i int) routing.Tier { return routing.Tier(i % 3) })
	for d := range 100 {
		lb := routing.NewBalancer("s", fmt.Sprintf("door%d", d), 0.5)
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
			nodesByUpstream[u.ID]++
			if !after[u.ID] {
				removed++
			}
		}
		is.True(removed <= 1) // only the upstream that left
	}
	for _, u := range list {
		is.True(nodesByUpstream[u.ID] > 0) // some node routes to each upstream
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

// TestFloorHolds draws Suspect flags and suspicions and checks that ejection never leaves fewer upstreams in service than the floor demands.
func TestFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "n")
		floor := rapid.Float64Range(0, 1).Draw(t, "floor")
		lb := routing.NewBalancer("s", "me", floor)
		list := upstreams(n, sameDataCentre)
		now := epoch
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			for i := range list {
				list[i].Suspect = rapid.Bool().Draw(t, "suspect")
			}
			lb.Update(now, list)
			id := list[rapid.IntRange(0, n-1).Draw(t, "who")].ID
			lb.RecordReport(now, id, 0, routing.Observation{Reported: true, Suspicion: rapid.Float64Range(0, 1).Draw(t, "sick"), Load: admission.Load{Limit: 5}})
			if in := n - len(lb.Ejected(now)); float64(in) < floor*float64(n)-1e-9 {
				t.Fatalf("%d of %d in service, floor %v", in, n, floor)
			}
		}
	})
}

// TestUnhealthyUpstreamGetsTrialsOnly checks that non-idempotent work avoids an unhealthy upstream and that idempotent work reaches it only
// as occasional trial requests.
func TestUnhealthyUpstreamGetsTrialsOnly(t *testing.T) {
	is := is.New(t)
	lb := routing.NewBalancer("s", "me", 0.5)
	list := upstreams(5, sameDataCentre)
	lb.Update(epoch, list)
	rnd := rand.New(rand.NewPCG(1, 1))
	nonIdempotent, trials := 0, 0
	for i := range 1000 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		for k, u := range list {
			suspicion := 0.01
			if k == 0 {
				suspicion = 0.9
			}
			lb.RecordReport(now, u.ID, 0, routing.Observation{Reported: true, Suspicion: suspicion, Load: admission.Load{Running: 1, Limit: 5}})
		}
		c, err := lb.Pick(now, routing.Query{NonIdempotent: true}, rnd)
		is.NoErr(err)
		if c.ID == list[0].ID {
			nonIdempotent++
		}
		lb.Finish(now, c, 0, routing.Observation{})
		c, err = lb.Pick(now, routing.Query{AllowTrial: true}, rnd)
		is.NoErr(err)
		is.Equal(c.Trial, c.ID == list[0].ID)
		if c.Trial {
			trials++
		}
		lb.Finish(now, c, 0, routing.Observation{})
	}
	is.Equal(nonIdempotent, 0)
	is.True(trials > 20 && trials < 200)
}
