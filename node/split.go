package node

import (
	"math"
	"math/rand/v2"
	"sync/atomic"

	"github.com/jasminevane/jasminevane/caller"
)

// routeSplit generates, for one traffic-split route, the points in [0, 1) that select a target for each request.
type routeSplit struct {
	startPoint   float64       // random start of the sequence, in [0, 1)
	requestCount atomic.Uint64 // number of points returned so far
}

// nextPoint returns the next point of a golden-ratio sequence in [0, 1). Consecutive points are evenly spread,
// so that even short runs of requests follow the weights of the route.
func (s *routeSplit) nextPoint() float64 {
	_, fraction := math.Modf(s.startPoint + float64(s.requestCount.Add(1))*(math.Phi-1))
	return fraction
}

// splitRoute replaces the match of a request to a traffic-split route by the target chosen for it.
func (n *Node) splitRoute(req *caller.Request) {
	route := req.Match.Route
	if route == nil || !route.IsSplit() {
		return
	}
	split, ok := n.trafficSplits.Load(route.Key())
	if !ok {
		split, _ = n.trafficSplits.LoadOrStore(route.Key(), &routeSplit{startPoint: rand.Float64()})
	}
	req.Match = route.Target(split.(*routeSplit).nextPoint())
}
