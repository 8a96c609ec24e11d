package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/routing"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestChangesGiveTheSameSubsetAsARebuild draws changes of upstreams and checks after each that a balancer which applied them one by one
// routes to the same upstreams as one that was given all at once.
func TestChangesGiveTheSameSubsetAsARebuild(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		lb := routing.NewBalancer("s", "me", 0.5)
		current := make(map[string]routing.Upstream)
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(10 * time.Millisecond)
			first := rapid.IntRange(0, 80).Draw(t, "first")
			var changed []routing.Upstream
			var removed []string
			for i := range rapid.IntRange(1, 20).Draw(t, "count") {
				id := fmt.Sprintf("n%d/u", first+i)
				if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
					removed = append(removed, id)
					delete(current, id)
					continue
				}
				u := routing.Upstream{ID: id, Node: fmt.Sprintf("n%d", first+i), Slots: 5}
				u.Tier = routing.Tier(rapid.IntRange(0, 2).Draw(t, "tier"))
				u.Ready = rapid.Bool().Draw(t, "ready")
				changed = append(changed, u)
				current[id] = u
			}
			lb.Apply(now, changed, removed)
			rebuilt := routing.NewBalancer("s", "me", 0.5)
			var all []routing.Upstream
			for _, u := range current {
				all = append(all, u)
			}
			rebuilt.Update(now, all)
			is.Equal(lb.Upstreams(), rebuilt.Upstreams())
		}
	})
}

// BenchmarkApply measures what one change of one upstream costs in services of different sizes.
func BenchmarkApply(b *testing.B) {
	for _, n := range []int{100, 354, 1000, 4000} {
		list := upstreams(n, func(i int) routing.Tier { return routing.Tier(i % 3) })
		b.Run(fmt.Sprint("health/", n), func(b *testing.B) {
			lb := routing.NewBalancer("s", "me", 0.5)
			lb.Update(epoch, list)
			b.ReportAllocs()
			for i := range b.N {
				u := list[i%n]
				u.Suspect = i/n%2 == 0
				lb.Apply(epoch, []routing.Upstream{u}, nil)
			}
		})
		b.Run(fmt.Sprint("leave-and-join/", n), func(b *testing.B) {
			lb := routing.NewBalancer("s", "me", 0.5)
			lb.Update(epoch, list)
			b.ReportAllocs()
			for i := range b.N {
				u := list[i%n]
				lb.Apply(epoch, nil, []string{u.ID})
				lb.Apply(epoch, []routing.Upstream{u}, nil)
			}
		})
	}
}
