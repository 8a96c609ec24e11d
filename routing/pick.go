package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the choice; costs are fractions of the value of a request.
const (
	maxCandidates           = 3    // candidates of one tier compared for a request
	maxSpareUtilization     = 0.9  // utilization above which an upstream has no spare capacity
	utilizationCost         = 0.1  // cost of an upstream at full utilization
	latenessCost            = 0.5  // cost of a response that is late by one objective
	failureCost             = 0.25 // cost of a failure that is certain by the reported failure rate
	unhealthyCost           = 0.9  // cost of a certainly unhealthy upstream for non-idempotent work
	unhealthyIdempotentCost = 0.2  // the same for idempotent work, which can be retried
	defaultTimeRatio        = 0.3  // ratio of the service time to the objective if either is not known
	maxSlowness             = 20.0 // bound on the ratio of a service time to the median
	unhealthyThreshold      = 0.3  // suspicion above which an upstream gets trial requests only
	forceThreshold          = 0.6  // suspicion above which an upstream gets no non-idempotent work unless it is the only one
	trialShare              = 0.08 // share of the idempotent work that one unhealthy upstream gets as trial requests
	maxTrialShare           = 0.25 // share that all unhealthy upstreams get together
)

// tierCosts are the costs of each tier.
var tierCosts = [tierCount]float64{0, 0.06, 1}

// Choice is the upstream chosen for one attempt.
type Choice struct {
	ID           string
	Node         string
	Tier         Tier
	Trial        bool          // a trial request that tests whether an unhealthy upstream has recovered
	Forced       bool          // the upstream is unhealthy and was chosen because no healthy one can be used
	Suspicion    float64       // probability that the upstream is unhealthy, 0 to 1, when the upstream was chosen
	SuspicionAge time.Duration // age of the report behind Suspicion; negative if there was none
}

// Label returns a prefix for the request trace that marks trial and forced choices.
func (c Choice) Label() string {
	switch {
	case c.Trial:
		return "trial "
	case c.Forced:
		return "forced "
	}
	return ""
}

// Refusal is the reason why no upstream was chosen.
type Refusal string

// Reasons for choosing no upstream.
const (
	NoUpstream Refusal = "no-upstream"
	Overloaded Refusal = "overload"
)

// Error reports that no upstream could be chosen.
type Error struct {
	service string
	reason  Refusal
}

// Reason returns why no upstream was chosen.
func (e *Error) Reason() Refusal { return e.reason }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("route to %s: %s", e.service, e.reason) }

// Query describes an attempt to be routed.
type Query struct {
	NonIdempotent       bool // the work must not run twice
	ClassIndex          int
	ExcludedIDs         []string      // IDs of upstreams that earlier attempts used
	AllowTrial          bool          // the attempt may be a trial request to an unhealthy upstream
	Objective           time.Duration // target response time; 0 if it is not known
	AllowOtherRegion    bool          // upstreams in other regions may be used
	RequireFreeCapacity bool          // only an upstream with spare capacity may be used
}

// farthestTier returns the farthest tier that may be used.
func (q *Query) farthestTier() Tier {
	if q.AllowOtherRegion {
		return OtherRegion
	}
	return SameRegion
}

// Pick chooses the upstream for one attempt and counts the attempt as in flight; the error is an *Error.
func (lb *Balancer) Pick(now time.Time, q Query, rnd *rand.Rand) (Choice, error) {
	if e := lb.pickTrial(now, &q, rnd); e != nil {
		c := lb.choose(now, e)
		c.Trial = true
		return c, nil
	}
	best, refused := lb.cheapest(now, &q, unhealthyThreshold, rnd)
	if threshold := lb.ejectionThreshold(now); best == nil && threshold > unhealthyThreshold && !q.NonIdempotent {
		best, refused = lb.cheapest(now, &q, threshold, rnd) // use upstreams that the floor keeps in service
	}
	switch {
	case best != nil && q.RequireFreeCapacity && lb.saturated(now, best):
		best, refused = nil, true
	case best == nil && !q.RequireFreeCapacity:
		best = lb.healthiest(now, &q)
	}
	if best == nil {
		reason := NoUpstream
		if refused {
			reason = Overloaded
		}
		return Choice{}, &Error{service: lb.service, reason: reason}
	}
	c := lb.choose(now, best)
	c.Forced = c.Suspicion > unhealthyThreshold
	return c, nil
}

func (lb *Balancer) choose(now time.Time, e *endpoint) Choice {
	e.inFlight++
	c := Choice{ID: e.ID, Node: e.Node, Tier: e.Tier, Suspicion: e.suspicion(now), SuspicionAge: -time.Millisecond}
	if !e.suspicionAt.IsZero() {
		c.SuspicionAge = now.Sub(e.suspicionAt)
	}
	return c
}

// pickTrial returns an unhealthy upstream for a small share of the idempotent requests, to detect its recovery.
func (lb *Balancer) pickTrial(now time.Time, q *Query, rnd *rand.Rand) *endpoint {
	if q.NonIdempotent || !q.AllowTrial || len(q.ExcludedIDs) > 0 {
		return nil
	}
	var list []*endpoint
	for t := SameDataCentre; t < OtherRegion; t++ {
		for _, e := range lb.ready[t] {
			if e.inFlight == 0 && !now.Before(e.avoidUntil) && e.suspicion(now) > unhealthyThreshold {
				list = append(list, e)
			}
		}
	}
	if len(list) == 0 || rnd.Float64() >= min(maxTrialShare, trialShare*float64(len(list))) {
		return nil
	}
	return list[rnd.IntN(len(list))]
}

// cheapest compares a few candidates of each tier, nearest first, and reports whether some were skipped because they would refuse.
func (lb *Balancer) cheapest(now time.Time, q *Query, threshold float64, rnd *rand.Rand) (best *endpoint, anyRefused bool) {
	cost := math.Inf(1)
	for t := SameDataCentre; t <= q.farthestTier() && cost > tierCosts[t]; t++ {
		e, c, refused := lb.cheapestOfTier(now, q, threshold, t, rnd)
		anyRefused = anyRefused || refused
		if e != nil && c+tierCosts[t] < cost {
			best, cost = e, c+tierCosts[t]
		}
	}
	return best, anyRefused
}

// cheapestOfTier compares a few candidates of one tier and returns the cheapest with its cost.
func (lb *Balancer) cheapestOfTier(now time.Time, q *Query, threshold float64, t Tier, rnd *rand.Rand) (best *endpoint, cost float64, anyRefused bool) {
	list := lb.ready[t]
	cost = math.Inf(1)
	for range min(maxCandidates, len(list)) {
		e, refused := lb.nextUsable(now, q, threshold, list, rnd.IntN(len(list)), best)
		anyRefused = anyRefused || refused
		if e == nil {
			break
		}
		if c := lb.cost(now, e, q); c < cost {
			best, cost = e, c
		}
	}
	return best, cost, anyRefused
}

// nextUsable returns the first usable endpoint at or after start other than skip, and whether one was skipped because it would refuse.
func (lb *Balancer) nextUsable(now time.Time, q *Query, threshold float64, list []*endpoint, start int, skip *endpoint) (e *endpoint, refused bool) {
	for i := range list {
		e = list[(start+i)%len(list)]
		if e == skip || e.suspicion(now) > threshold || !e.usable(now, q) {
			continue
		}
		if lb.refuses(now, e, q.ClassIndex) {
			refused = true
			continue
		}
		return e, refused
	}
	return nil, refused
}

// usable reports whether the upstream is reachable and no earlier attempt used it.
func (e *endpoint) usable(now time.Time, q *Query) bool {
	return !now.Before(e.avoidUntil) && !slices.Contains(q.ExcludedIDs, e.ID)
}

// refuses reports whether the upstream recently refused the class, or is in another region and has no spare capacity.
func (lb *Balancer) refuses(now time.Time, e *endpoint, class int) bool {
	return now.Sub(e.class(class).refusedAt) < refusalTTL || e.Tier == OtherRegion && lb.saturated(now, e)
}

// healthiest returns the usable upstream with the lowest suspicion.
// Non-idempotent work skips upstreams above forceThreshold unless the service has only one upstream.
func (lb *Balancer) healthiest(now time.Time, q *Query) *endpoint {
	var best *endpoint
	for t := SameDataCentre; t <= q.farthestTier(); t++ {
		for _, e := range lb.ready[t] {
			if !e.usable(now, q) || lb.refuses(now, e, q.ClassIndex) || q.NonIdempotent && len(lb.byID) > 1 && e.suspicion(now) > forceThreshold {
				continue
			}
			if best == nil || e.suspicion(now) < best.suspicion(now) {
				best = e
			}
		}
	}
	return best
}

// saturated reports whether the upstream has no spare capacity.
func (lb *Balancer) saturated(now time.Time, e *endpoint) bool {
	return lb.utilizationWithOneMore(now, e) > maxSpareUtilization
}

// utilizationWithOneMore estimates the load per slot of the upstream with one more request.
func (lb *Balancer) utilizationWithOneMore(now time.Time, e *endpoint) float64 {
	age := now.Sub(e.loadAt)
	weight := math.Exp(-float64(age) / float64(loadDecayTime))
	load := e.load*weight + (1-weight)*lb.expectedLoad(now, e) + float64(max(0, e.inFlight-e.inFlightAtLoad))
	load = max(load, float64(e.inFlight))
	return (load + 1) / (float64(max(1, e.limit)) * e.slowStartFactor(now))
}

// slowStartFactor returns the share of its capacity that a new upstream is given, which rises to 1.
func (e *endpoint) slowStartFactor(now time.Time) float64 {
	if e.slowStartAt.IsZero() {
		return 1
	}
	elapsed := float64(now.Sub(e.slowStartAt)) / float64(slowStartTime)
	return min(1, slowStartShare+(1-slowStartShare)*max(0, elapsed))
}

// cost estimates the cost of sending a request to the upstream from its utilization, lateness and risk of failure.
func (lb *Balancer) cost(now time.Time, e *endpoint, q *Query) float64 {
	median := lb.medianLogTime(now, q.ClassIndex)
	ratio := defaultTimeRatio
	if median > 0 && q.Objective > 0 {
		ratio = min(1, math.Exp(median)/float64(q.Objective.Microseconds()))
	}
	utilization := lb.utilizationWithOneMore(now, e)
	cost := utilizationCost*utilization*utilization + max(0, utilization-1)*ratio
	riskCost := unhealthyCost
	if !q.NonIdempotent {
		riskCost = unhealthyIdempotentCost
	}
	cost += riskCost * e.suspicion(now)
	r := e.class(q.ClassIndex)
	if now.Sub(r.at) > reportTTL {
		return cost
	}
	if median > 0 && r.report.MeanLogMicros > median {
		slowdown := min(maxSlowness, math.Exp(r.report.MeanLogMicros-median))
		cost += latenessCost * (slowdown - 1) * ratio
	}
	return cost + failureCost*r.report.FailureRate()
}
