package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the choice. Costs are in units of the value of one request.
const (
	maxCandidates           = 3    // maximum number of upstreams of one tier that are compared for a request
	saturationUtilization   = 0.9  // utilization above which an upstream counts as saturated
	utilizationCost         = 0.1  // cost of sending a request to an upstream whose slots are all in use
	latenessCost            = 0.5  // cost of a response that takes longer than the median by one objective (target response time)
	failureCost             = 0.25 // cost of sending a request to an upstream that reports a failure rate of 1
	unhealthyCost           = 0.9  // cost of sending a non-idempotent request to an upstream with suspicion 1
	unhealthyIdempotentCost = 0.2  // cost of sending an idempotent request, which can be retried, to an upstream with suspicion 1
	defaultTimeRatio        = 0.3  // ratio of the median service time to the objective if either is missing
	maxSlowdown             = 20.0 // upper bound on the ratio of an upstream's mean service time to the median
	unhealthyThreshold      = 0.3  // suspicion above which an upstream gets trial requests only
	forceThreshold          = 0.6  // suspicion above which an upstream gets no non-idempotent requests unless it is the only one of the service
	trialShare              = 0.08 // share of the idempotent requests that one unhealthy upstream gets as trial requests
	maxTrialShare           = 0.25 // maximum share of the idempotent requests that all unhealthy upstreams together get as trial requests
)

// tierCosts holds, for each tier, the cost of sending a request to an upstream of that tier.
var tierCosts = [tierCount]float64{0, 0.06, 1}

// Choice is the upstream chosen for one attempt.
type Choice struct {
	ID           string
	Node         string
	Tier         Tier
	Trial        bool          // a trial request that tests whether an unhealthy upstream has recovered
	Forced       bool          // the upstream is unhealthy and was chosen because no healthy one can be used
	Suspicion    float64       // probability, 0 to 1, that the upstream was unhealthy when it was chosen
	SuspicionAge time.Duration // age of the report from which Suspicion was computed; negative if there was none
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

// Refusal is the reason why no upstream was chosen for an attempt.
type Refusal string

// Reasons for choosing no upstream.
const (
	NoUpstream Refusal = "no-upstream" // no usable upstream exists
	Overloaded Refusal = "overload"    // usable upstreams exist, but they refuse requests or have no free capacity
)

// Error reports that no upstream could be chosen.
type Error struct {
	service    string
	reason     Refusal
	retryAfter time.Duration
}

// Reason returns why no upstream was chosen.
func (e *Error) Reason() Refusal { return e.reason }

// RetryAfter returns the time after which the upstreams that refuse expect room, or 0 if unknown.
func (e *Error) RetryAfter() time.Duration { return e.retryAfter }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("route to %s: %s", e.service, e.reason) }

// Query describes an attempt for which an upstream is to be chosen.
type Query struct {
	NonIdempotent       bool // the request must not be executed twice
	ClassIndex          int
	Priority            int           // effective priority; 0 is the most urgent
	ExcludedIDs         []string      // IDs of upstreams that earlier attempts used
	AllowTrial          bool          // the attempt may be a trial request to an unhealthy upstream
	DueTrialID          string        // ID of an unhealthy upstream whose gate is known to wait for a trial request now; empty if there is none
	Objective           time.Duration // target response time; 0 if there is none
	TimeLeft            time.Duration // time until the deadline
	AllowOtherRegion    bool          // upstreams in other regions may be used
	RequireFreeCapacity bool          // only an upstream with free capacity may be used
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
		return Choice{}, &Error{service: lb.service, reason: reason, retryAfter: lb.returnTime(now, &q, rnd)}
	}
	c := lb.choose(now, best)
	c.Forced = c.Suspicion > unhealthyThreshold
	return c, nil
}

// choose counts an attempt as in flight at the endpoint and returns the choice.
func (lb *Balancer) choose(now time.Time, e *endpoint) Choice {
	e.inFlight++
	c := Choice{ID: e.ID, Node: e.Node, Tier: e.Tier, Suspicion: e.suspicion(now), SuspicionAge: -time.Millisecond}
	if !e.suspicionAt.IsZero() {
		c.SuspicionAge = now.Sub(e.suspicionAt)
	}
	return c
}

// pickTrial returns an unhealthy upstream for a small share of the idempotent requests, to detect its recovery. Nodes don't know when the gates of
// others take the next trial, so they offer at random; one that is known to be due is offered the request at once.
func (lb *Balancer) pickTrial(now time.Time, q *Query, rnd *rand.Rand) *endpoint {
	if q.NonIdempotent || !q.AllowTrial || len(q.ExcludedIDs) > 0 {
		return nil
	}
	var candidates []*endpoint
	for t := SameDataCentre; t < OtherRegion; t++ {
		for _, e := range lb.ready[t] {
			if e.inFlight == 0 && !now.Before(e.avoidUntil) && e.awaitsTrial(now) {
				candidates = append(candidates, e)
			}
		}
	}
	if i := slices.IndexFunc(candidates, func(e *endpoint) bool { return e.ID == q.DueTrialID }); i >= 0 {
		return candidates[i]
	}
	if len(candidates) == 0 || rnd.Float64() >= min(maxTrialShare, trialShare*float64(len(candidates))) {
		return nil
	}
	return candidates[rnd.IntN(len(candidates))]
}

// awaitsTrial reports whether the upstream is to get trial requests: by what the node knows it is unhealthy, or was when the node last heard of it
// and its gate hasn't cleared it since. The gate needs a success to clear it, however old what the node knows is.
func (e *endpoint) awaitsTrial(now time.Time) bool {
	return e.suspicion(now) > unhealthyThreshold || e.Suspect && e.lastSuspicion > unhealthyThreshold
}

// cheapest compares a few upstreams of each tier, nearest first, and returns the one with the lowest cost, or nil if none can be used.
// It also reports whether any upstream was skipped because it would refuse the request.
func (lb *Balancer) cheapest(now time.Time, q *Query, threshold float64, rnd *rand.Rand) (best *endpoint, anyRefused bool) {
	lowestCost := math.Inf(1)
	for tier := SameDataCentre; tier <= q.farthestTier() && lowestCost > tierCosts[tier]; tier++ {
		e, cost, refused := lb.cheapestOfTier(now, q, threshold, tier, rnd)
		anyRefused = anyRefused || refused
		if e != nil && cost+tierCosts[tier] < lowestCost {
			best, lowestCost = e, cost+tierCosts[tier]
		}
	}
	return best, anyRefused
}

// cheapestOfTier compares a few upstreams of one tier and returns the one with the lowest cost, its cost, and whether any was skipped
// because it would refuse the request.
func (lb *Balancer) cheapestOfTier(now time.Time, q *Query, threshold float64, tier Tier, rnd *rand.Rand) (best *endpoint, lowestCost float64, anyRefused bool) {
	endpoints := lb.ready[tier]
	lowestCost = math.Inf(1)
	for range min(maxCandidates, len(endpoints)) {
		e, refused := lb.nextUsable(now, q, threshold, endpoints, rnd.IntN(len(endpoints)), best)
		anyRefused = anyRefused || refused
		if e == nil {
			break
		}
		if cost := lb.cost(now, e, q); cost < lowestCost {
			best, lowestCost = e, cost
		}
	}
	return best, lowestCost, anyRefused
}

// nextUsable returns the first usable endpoint at or after index start other than skip, or nil if there is none.
// It also reports whether any endpoint was skipped because it would refuse the request.
func (lb *Balancer) nextUsable(now time.Time, q *Query, threshold float64, endpoints []*endpoint, start int, skip *endpoint) (e *endpoint, refused bool) {
	for i := range endpoints {
		e = endpoints[(start+i)%len(endpoints)]
		if e == skip || e.suspicion(now) > threshold || !e.usable(now, q) {
			continue
		}
		if lb.refuses(now, e, q) {
			refused = true
			continue
		}
		return e, refused
	}
	return nil, refused
}

// usable reports whether the node of the upstream is not being avoided and the query does not exclude the upstream.
func (e *endpoint) usable(now time.Time, q *Query) bool {
	return !now.Before(e.avoidUntil) && !slices.Contains(q.ExcludedIDs, e.ID)
}

// refuses reports whether the upstream recently refused the class at the priority, or is in another region and is saturated.
func (lb *Balancer) refuses(now time.Time, e *endpoint, q *Query) bool {
	return e.classReport(q.ClassIndex).refusal.holds(now, q.Priority) || e.Tier == OtherRegion && lb.saturated(now, e)
}

// healthiest returns the usable upstream with the lowest suspicion.
// For a non-idempotent request it skips upstreams above forceThreshold unless the service has only one upstream.
func (lb *Balancer) healthiest(now time.Time, q *Query) *endpoint {
	var best *endpoint
	for tier := SameDataCentre; tier <= q.farthestTier(); tier++ {
		for _, e := range lb.ready[tier] {
			if !e.usable(now, q) || lb.refuses(now, e, q) || q.NonIdempotent && len(lb.byID) > 1 && e.suspicion(now) > forceThreshold {
				continue
			}
			if best == nil || e.suspicion(now) < best.suspicion(now) {
				best = e
			}
		}
	}
	return best
}

// saturated reports whether one more request would leave the upstream without free capacity.
func (lb *Balancer) saturated(now time.Time, e *endpoint) bool {
	return lb.utilizationWithOneMore(now, e) > saturationUtilization
}

// utilizationWithOneMore estimates the load per slot of the upstream with one more request.
func (lb *Balancer) utilizationWithOneMore(now time.Time, e *endpoint) float64 {
	age := now.Sub(e.loadAt)
	reportWeight := math.Exp(-float64(age) / float64(loadDecayTime))
	load := e.load*reportWeight + (1-reportWeight)*lb.expectedLoad(now, e) + float64(max(0, e.inFlight-e.inFlightAtLoad))
	load = max(load, float64(e.inFlight))
	return (load + 1) / (float64(max(1, e.limit)) * e.slowStartFactor(now))
}

// slowStartFactor returns the share of its capacity that the upstream is given. It rises to 1 during the slow start of a new upstream.
func (e *endpoint) slowStartFactor(now time.Time) float64 {
	if e.slowStartAt.IsZero() {
		return 1
	}
	elapsed := float64(now.Sub(e.slowStartAt)) / float64(slowStartTime)
	return min(1, slowStartShare+(1-slowStartShare)*max(0, elapsed))
}

// cost estimates the cost of sending a request to the upstream from its utilization, service time, failure rate and suspicion.
func (lb *Balancer) cost(now time.Time, e *endpoint, q *Query) float64 {
	medianLogMicros := lb.medianLogServiceTime(now, q.ClassIndex)
	timeRatio := defaultTimeRatio
	if medianLogMicros > 0 && q.Objective > 0 {
		timeRatio = min(1, math.Exp(medianLogMicros)/float64(q.Objective.Microseconds()))
	}
	utilization := lb.utilizationWithOneMore(now, e)
	cost := utilizationCost*utilization*utilization + max(0, utilization-1)*timeRatio
	riskCost := unhealthyCost
	if !q.NonIdempotent {
		riskCost = unhealthyIdempotentCost
	}
	cost += riskCost * e.suspicion(now)
	classReport := e.classReport(q.ClassIndex)
	if now.Sub(classReport.receivedAt) > reportTTL {
		return cost
	}
	if medianLogMicros > 0 && classReport.report.MeanLogMicros > medianLogMicros {
		slowdown := min(maxSlowdown, math.Exp(classReport.report.MeanLogMicros-medianLogMicros))
		cost += latenessCost * (slowdown - 1) * timeRatio
	}
	return cost + failureCost*classReport.report.FailureRate()
}
