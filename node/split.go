package node

import (
	"math"
	"math/rand/v2"
	"sync/atomic"

	"github.com/jasminevane/jasminevane/caller"
)

// split spreads the requests of one divided route evenly over its weights.
type split struct {
	start float64
	count atomic.Uint64
}

// point returns the next point from 0 to 1; the points of any run of requests lie evenly.
func (s *split) point() float64 {
	_, frac := math.Modf(s.start + float64(s.count.Add(1))*(math.Phi-1))
	return frac
}

// splitRoute chooses the part of a divided route that takes the request.
func (n *Node) splitRoute(r *caller.Request) {
	route := r.Match.Route
	if route == nil || !route.IsSplit() {
		return
	}
	s, ok := n.splits.Load(route.Key())
	if !ok {
		s, _ = n.splits.LoadOrStore(route.Key(), &split{start: rand.Float64()})
	}
	r.Match = route.Target(s.(*split).point())
}
