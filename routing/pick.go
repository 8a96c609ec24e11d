package routing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Parameters of the choice; costs are in parts of the worth of a request.
const (
	choices     = 3    // candidates of one tier compared for a request
	spareLoad   = 0.9  // load for each slot above which an upstream has nothing to spare
	loadWeight  = 0.1  // cost of a full upstream
	slowWeight  = 0.5  // cost of an answer that is late by one objective
	failWeight  = 0.25 // cost of a certain failure by the evidence
	sickWeight  = 0.9  // cost of a certain failure by the belief of the gate
	sickRepeat  = 0.2  // the same for work that may be repeated
	usualRatio  = 0.3  // ratio of the service time to the objective where it is not known
	maxSlowness = 20.0 // bound of the ratio of service times
	sickBar     = 0.3  // belief in sickness above which an upstream gets trials only
	forceBar    = 0.6  // belief above which it gets no work that must not run twice, whatever else there is
	sickTrial   = 0.08 // share of the work that may be repeated that a sick upstream gets
	maxTrials   = 0.25 // share that all sick upstreams get together
)

// tierCosts are the costs of distance.
var tierCosts = [tiers]float64{0, 0.06, 1}

// Choice is the upstream chosen for one attempt.
type Choice struct {
	ID     string
	Node   string
	Tier   Tier
	Trial  bool          // it finds out whether a sick upstream is well again
	Forced bool          // no upstream in better health is known
	UnhealthyProbability float64       // belief in the upstream's sickness on which it was chosen
	HealthAge    time.Duration // of what that belief rests on; negative where nothing was heard
}

// Label says in one word how the choice was made.
func (c Choice) Label() string {
	switch {
	case c.Trial:
		return "trial "
	case c.Forced:
		return "forced "
	}
	return ""
}

// Refusal says why no upstream was chosen.
type Refusal string

// The reasons for choosing none.
const (
	NoUpstream Refusal = "no-upstream"
	Overloaded       Refusal = "overload"
)

// Error reports that no upstream could be chosen.
type Error struct {
	service string
	reason  Refusal
}

// Reason returns why none was chosen.
func (e *Error) Reason() Refusal { return e.reason }

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("route to %s: %s", e.service, e.reason) }

// Query describes an attempt to be routed.
type Query struct {
	NonIdempotent      bool // the work must not run twice
	Class     int
	Exclude   []string      // upstreams that earlier attempts used
	Trial     bool          // the attempt may find out whether a sick upstream is well again
	Objective time.Duration // time within which an answer has its full worth; 0 where it is not known
	AllowOtherRegion       bool          // another region may be used
	RequireSpare     bool          // only an upstream with capacity to spare will do
}

// last returns the farthest tier that may be used.
func (q *Query) last() Tier {
	if q.AllowOtherRegion {
		return OtherRegion
	}
	return SameRegion
}

// Pick chooses the upstream for one attempt and counts it as running; the error is an *Error.
func (g *Balancer) Pick(now time.Time, q Query, rnd *rand.Rand) (Choice, error) {
	if e := g.trial(now, &q, rnd); e != nil {
		c := g.take(now, e)
		c.Trial = true
		return c, nil
	}
	best, busy := g.cheapest(now, &q, sickBar, rnd)
	if bar := g.bar(now); best == nil && bar > sickBar && !q.NonIdempotent {
		best, busy = g.cheapest(now, &q, bar, rnd) // the floor is needed
	}
	switch {
	case best != nil && q.RequireSpare && g.busy(now, best):
		best, busy = nil, true
	case best == nil && !q.RequireSpare:
		best = g.healthiest(now, &q)
	}
	if best == nil {
		reason := NoUpstream
		if busy {
			reason = Overloaded
		}
		return Choice{}, &Error{service: g.service, reason: reason}
	}
	c := g.take(now, best)
	c.Forced = c.UnhealthyProbability > sickBar
	return c, nil
}

func (g *Balancer) take(now time.Time, e *endpoint) Choice {
	e.own++
	c := Choice{ID: e.ID, Node: e.Node, Tier: e.Tier, UnhealthyProbability: e.health(now), HealthAge: -time.Millisecond}
	if !e.sickAt.IsZero() {
		c.HealthAge = now.Sub(e.sickAt)
	}
	return c
}

// trial returns a sick upstream for a small share of the requests that may be repeated, which finds out when it is well again.
func (g *Balancer) trial(now time.Time, q *Query, rnd *rand.Rand) *endpoint {
	if q.NonIdempotent || !q.Trial || len(q.Exclude) > 0 {
		return nil
	}
	var list []*endpoint
	for t := SameDataCentre; t < OtherRegion; t++ {
		for _, e := range g.ready[t] {
			if e.own == 0 && !now.Before(e.avoid) && e.health(now) > sickBar {
				list = append(list, e)
			}
		}
	}
	if len(list) == 0 || rnd.Float64() >= min(maxTrials, sickTrial*float64(len(list))) {
		return nil
	}
	return list[rnd.IntN(len(list))]
}

// cheapest compares a few candidates of each tier, nearest first, and reports whether some were passed because they refuse.
func (g *Balancer) cheapest(now time.Time, q *Query, bar float64, rnd *rand.Rand) (best *endpoint, busy bool) {
	cost := math.Inf(1)
	for t := SameDataCentre; t <= q.last() && cost > tierCosts[t]; t++ {
		e, c, refused := g.sample(now, q, bar, t, rnd)
		busy = busy || refused
		if e != nil && c+tierCosts[t] < cost {
			best, cost = e, c+tierCosts[t]
		}
	}
	return best, busy
}

// sample compares a few candidates of one tier and returns the cheapest with its cost.
func (g *Balancer) sample(now time.Time, q *Query, bar float64, t Tier, rnd *rand.Rand) (best *endpoint, cost float64, busy bool) {
	list := g.ready[t]
	cost = math.Inf(1)
	for range min(choices, len(list)) {
		e, refused := g.scan(now, q, bar, list, rnd.IntN(len(list)), best)
		busy = busy || refused
		if e == nil {
			break
		}
		if c := g.cost(now, e, q); c < cost {
			best, cost = e, c
		}
	}
	return best, cost, busy
}

// scan returns the first usable endpoint at or after start other than skip, and whether one was passed because it refuses.
func (g *Balancer) scan(now time.Time, q *Query, bar float64, list []*endpoint, start int, skip *endpoint) (e *endpoint, refused bool) {
	for i := range list {
		e = list[(start+i)%len(list)]
		if e == skip || e.health(now) > bar || !e.usable(now, q) {
			continue
		}
		if g.full(now, e, q.Class) {
			refused = true
			continue
		}
		return e, refused
	}
	return nil, refused
}

// usable reports whether the path to the upstream is there and no earlier attempt used it.
func (e *endpoint) usable(now time.Time, q *Query) bool {
	return !now.Before(e.avoid) && !slices.Contains(q.Exclude, e.ID)
}

// full reports whether the upstream would refuse the class, or is in another region and has no slot to spare.
func (g *Balancer) full(now time.Time, e *endpoint, class int) bool {
	return now.Sub(e.class(class).refused) < refusalAge || e.Tier == OtherRegion && g.busy(now, e)
}

// healthiest returns the upstream in the best health where none is well; work that must not run twice goes to a surely sick one only where there is no other.
func (g *Balancer) healthiest(now time.Time, q *Query) *endpoint {
	var best *endpoint
	for t := SameDataCentre; t <= q.last(); t++ {
		for _, e := range g.ready[t] {
			if !e.usable(now, q) || g.full(now, e, q.Class) || q.NonIdempotent && len(g.byID) > 1 && e.health(now) > forceBar {
				continue
			}
			if best == nil || e.health(now) < best.health(now) {
				best = e
			}
		}
	}
	return best
}

// busy reports whether the upstream has no slot to spare.
func (g *Balancer) busy(now time.Time, e *endpoint) bool { return g.use(now, e) > spareLoad }

// use estimates the work for each slot of the upstream, with one request more.
func (g *Balancer) use(now time.Time, e *endpoint) float64 {
	age := now.Sub(e.loadAt)
	fresh := math.Exp(-float64(age) / float64(loadDecay))
	load := e.load*fresh + (1-fresh)*g.usual(now, e) + float64(max(0, e.own-e.ownAtLoad))
	load = max(load, float64(e.own))
	return (load + 1) / (float64(max(1, e.limit)) * e.weight(now))
}

// weight is the share of its capacity that a new upstream is given.
func (e *endpoint) weight(now time.Time) float64 {
	if e.rampFrom.IsZero() {
		return 1
	}
	done := float64(now.Sub(e.rampFrom)) / float64(rampTime)
	return min(1, rampStart+(1-rampStart)*max(0, done))
}

// cost estimates what sending a request to the upstream costs: the risk that it fails, and the time by which it is late.
func (g *Balancer) cost(now time.Time, e *endpoint, q *Query) float64 {
	mean := g.mean(now, q.Class)
	ratio := usualRatio
	if mean > 0 && q.Objective > 0 {
		ratio = min(1, math.Exp(mean)/float64(q.Objective.Microseconds()))
	}
	use := g.use(now, e)
	cost := loadWeight*use*use + max(0, use-1)*ratio
	sick := sickWeight
	if !q.NonIdempotent {
		sick = sickRepeat
	}
	cost += sick * e.health(now)
	k := e.class(q.Class)
	if now.Sub(k.at) > reportAge {
		return cost
	}
	if mean > 0 && k.report.Mean > mean {
		slow := min(maxSlowness, math.Exp(k.report.Mean-mean))
		cost += slowWeight * (slow - 1) * ratio
	}
	return cost + failWeight*k.report.Failure()
}
