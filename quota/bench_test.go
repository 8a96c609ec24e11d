package quota_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/quota"
)

func fleetOf(n int) *quota.Fleet {
	f := newTestFleet()
	for i := range n {
		f.Update(epoch, nodeName(i), quota.Live)
	}
	return f
}

// BenchmarkBusyCaller measures requests that allowances admit, with the calls for these at both nodes.
func BenchmarkBusyCaller(b *testing.B) {
	for _, nodes := range []int{100, 900} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			f := fleetOf(nodes)
			l, a := quota.NewLimiter(f), quota.NewAllocator(epoch, f, testRule)
			limit := quota.Limit{Rate: 1e6, Burst: 1e6}
			now := epoch
			for range b.N {
				now = now.Add(time.Millisecond)
				if _, c := l.Admit(now, "x", limit); c != nil {
					l.Answered(now, c, a.Answer(now, c.Ask, limit))
				}
			}
		})
	}
}

// BenchmarkFirstRequest measures the choice of the allocator of a caller that is new to a node.
func BenchmarkFirstRequest(b *testing.B) {
	for _, nodes := range []int{100, 900} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			f := fleetOf(nodes)
			for range b.N {
				f.Allocator("x")
			}
		})
	}
}

// BenchmarkTick measures the upkeep of the buckets and accounts of 400 callers, which is due ten times a second.
func BenchmarkTick(b *testing.B) {
	f := fleetOf(100)
	l, a := quota.NewLimiter(f), quota.NewAllocator(epoch, f, testRule)
	limit := quota.Limit{Rate: 100, Burst: 100}
	for i := range 400 {
		caller := fmt.Sprint("c", i)
		_, c := l.Admit(epoch, caller, limit)
		l.Answered(epoch, c, a.Answer(epoch, c.Ask, limit))
	}
	for range b.N {
		a.Tick(epoch)
		l.Tick(epoch)
	}
}
