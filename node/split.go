package node

import (
	"math"
	"math/rand/v2"
	"sync/atomic"

	"github.com/jasminevane/jasminevane/caller"
)

// split distributes the requests of one split route evenly according to its weights.
type split struct {
	start float64
	count atomic.Uint64
}

// point returns the next point in [0, 1) of a golden-ratio sequence, in which any run of consecutive points is evenly spread.
func (s *split) point() float64 {
	_, frac := math.Modf(s.start + float64(s.count.Add(1))*(math.Phi-1))
	return frac
}

// splitRoute chooses the target of a split route for the request.
func (n *Node) splitRoute(r *caller.Request) {
	route := r.Match.Route
	if route == nil || !route.IsSplit() {
		return
	}
	s, ok := n.trafficSplits.Load(route.Key())
	if !ok {
		s, _ = n.trafficSplits.LoadOrStore(route.Key(), &split{start: rand.Float64()})
	}
	r.Match = route.Target(s.(*split).point())
}
