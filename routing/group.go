package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/outlier"
)

// Parameters of what a group remembers.
const (
	maxSubset     = 32                     // upstreams of one service that a node routes to
	loadDecay     = 500 * time.Millisecond // time constant with which a reported load is forgotten
	usageDecay    = 2 * time.Second        // time constant with which the load of a region is forgotten
	usageWeight   = 0.2                    // weight of one report in the load of a region
	refusalAge    = 75 * time.Millisecond  // span for which a reported refusal is believed
	reportAge     = 5 * time.Second        // age after which a report is no evidence
	minSamples    = 8                      // samples before an upstream's service time is compared
	rampTime      = 3 * time.Second        // time until a new upstream has its full share
	rampStart     = 0.4                    // share of a new upstream
	suspectBelief = 0.7                    // belief in the sickness of an upstream that its gate suspects
	clearedBelief = 0.1                    // belief after the gate has withdrawn its suspicion
	firstAvoid    = time.Second            // time for which a node is avoided after a path failure
	maxAvoid      = 30 * time.Second       // longest time for which a node is avoided
	meanInterval  = 50 * time.Millisecond  // interval at which the group's mean is renewed
)

// Tier is the distance of an upstream.
type Tier int

// The tiers, nearest first.
const (
	SameDataCentre Tier = iota
	SameRegion
	OtherRegion
	tiers
)

// Upstream is one upstream as known from membership.
type Upstream struct {
	ID      string
	Node    string
	Tier    Tier
	Slots   int
	Ready   bool
	Suspect bool // its gate holds it for sick
}

// Observation is what one attempt showed.
type Observation struct {
	Load     admission.Load
	Reported bool           // an answer with load and evidence arrived
	Refusing bool           // the class of the attempt is being refused
	Evidence outlier.Report // on the class of the attempt
	UnhealthyProbability     float64        // belief of the gate that the upstream is sick
	PathLost bool           // the node of the upstream could not be reached or did not answer
}

// evidence is what was last reported of one class of work at one upstream.
type evidence struct {
	report  outlier.Report
	at      time.Time
	refused time.Time
}

type endpoint struct {
	Upstream
	own       int // attempts of this node that are running
	load      float64
	ownAtLoad int
	loadAt    time.Time
	limit     int
	classes   []evidence
	rampFrom  time.Time
	sick      float64 // belief of its gate at sickAt
	sickAt    time.Time
	avoid     time.Time
	avoidFor  time.Duration
}

// class returns what is known of one class of work.
func (e *endpoint) class(i int) *evidence {
	for len(e.classes) <= i {
		e.classes = append(e.classes, evidence{})
	}
	return &e.classes[i]
}

// usage is the load for each slot that upstreams of one region last reported.
type usage struct {
	load float64
	at   time.Time
}

// average is the typical service time of one class over the group.
type average struct {
	mean float64 // of the natural logarithm of microseconds; 0 where too few are known
	at   time.Time
}

// Balancer routes the requests of one service.
type Balancer struct {
	service string
	self    string
	floor   float64
	byID    map[string]*endpoint
	ready   [tiers][]*endpoint // in order of their ids
	usage   [2]usage           // of the own region and of others
	means   []average          // by class
	started bool
}

// NewBalancer returns a group for one service of a node; floor is the share of upstreams that sickness leaves in service.
func NewBalancer(service, self string, floor float64) *Balancer {
	return &Balancer{service: service, self: self, floor: floor, byID: make(map[string]*endpoint)}
}

// SetFloor changes the share of upstreams that sickness leaves in service.
func (g *Balancer) SetFloor(floor float64) { g.floor = floor }

// Update replaces the upstreams of the service by those known from membership.
func (g *Balancer) Update(now time.Time, list []Upstream) {
	list = g.subset(list)
	seen := make(map[string]bool, len(list))
	for _, u := range list {
		seen[u.ID] = true
		g.put(now, u)
	}
	for id := range g.byID {
		if !seen[id] {
			delete(g.byID, id)
		}
	}
	g.started = g.started || len(list) > 0
	g.index()
}

func (g *Balancer) put(now time.Time, u Upstream) {
	e := g.byID[u.ID]
	if e == nil {
		e = &endpoint{limit: u.Slots}
		if g.started {
			e.rampFrom = now
		}
		g.byID[u.ID] = e
	}
	if u.Ready && !e.Ready && e.ID != "" {
		e.rampFrom = now
	}
	if u.Node != e.Node {
		e.avoid, e.avoidFor = time.Time{}, 0
	}
	e.hear(now, u.Suspect)
	e.Upstream = u
}

// hear takes what the gate tells all nodes of the health of its upstream, where that changed.
func (e *endpoint) hear(now time.Time, suspect bool) {
	switch {
	case suspect && (!e.Suspect || e.ID == ""):
		e.sick, e.sickAt = max(suspectBelief, e.health(now)), now
	case !suspect && e.Suspect:
		e.sick, e.sickAt = min(clearedBelief, e.health(now)), now
	}
}

// health returns the belief at now that the upstream is sick.
func (e *endpoint) health(now time.Time) float64 {
	if e.sickAt.IsZero() {
		return outlier.Prior
	}
	return outlier.Decay(e.sick, now.Sub(e.sickAt))
}

// subset keeps at most maxSubset upstreams: near ones first, then those that rank highest for this node.
func (g *Balancer) subset(list []Upstream) []Upstream {
	if len(list) <= maxSubset {
		return list
	}
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b Upstream) int {
		return cmp.Compare(g.rank(b), g.rank(a))
	})
	var kept, rest []Upstream
	quota := [tiers]int{maxSubset / 2, maxSubset / 4, maxSubset / 4}
	for _, u := range out {
		if quota[u.Tier] > 0 {
			quota[u.Tier]--
			kept = append(kept, u)
			continue
		}
		rest = append(rest, u)
	}
	n := maxSubset - len(kept)
	return append(kept, rest[:min(n, len(rest))]...)
}

func (g *Balancer) rank(u Upstream) uint64 { return xxhash.Sum64String(g.self + "|" + u.ID) }

// index rebuilds the lists from which Pick samples.
func (g *Balancer) index() {
	for t := range g.ready {
		g.ready[t] = g.ready[t][:0]
	}
	ids := make([]string, 0, len(g.byID))
	for id := range g.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if e := g.byID[id]; e.Ready {
			g.ready[e.Tier] = append(g.ready[e.Tier], e)
		}
	}
}

// Finish ends an attempt and takes what it showed.
func (g *Balancer) Finish(now time.Time, c Choice, class int, o Observation) {
	e := g.byID[c.ID]
	if e == nil {
		return
	}
	e.own = max(0, e.own-1)
	if o.PathLost {
		e.avoidPath(now)
		return
	}
	if o.Reported {
		g.RecordReport(now, c.ID, class, o)
	}
}

// RecordReport takes load and evidence that arrived with an answer or on request.
func (g *Balancer) RecordReport(now time.Time, id string, class int, o Observation) {
	e := g.byID[id]
	if e == nil {
		return
	}
	e.avoid, e.avoidFor = time.Time{}, 0
	e.load = float64(o.Load.Running + o.Load.Queued)
	e.ownAtLoad = e.own
	e.loadAt = now
	e.limit = o.Load.Limit
	e.sick, e.sickAt = o.UnhealthyProbability, now
	k := e.class(class)
	k.report, k.at, k.refused = o.Evidence, now, time.Time{}
	if o.Refusing {
		k.refused = now
	}
	g.learnUsage(now, e)
}

// MarkUnreachable routes around the node of the upstream because the path to it is lost.
func (g *Balancer) MarkUnreachable(now time.Time, id string) {
	if e := g.byID[id]; e != nil {
		e.avoidPath(now)
	}
}

// avoidPath routes around the node for a time that doubles with each failure in a row.
func (e *endpoint) avoidPath(now time.Time) {
	if now.Before(e.avoid) {
		return
	}
	e.avoidFor = min(maxAvoid, max(firstAvoid, 2*e.avoidFor))
	e.avoid = now.Add(e.avoidFor)
}

// usual returns the load that is to be expected of an upstream of which no recent report is known: that of others in its region.
func (g *Balancer) usual(now time.Time, e *endpoint) float64 {
	u := &g.usage[region(e.Tier)]
	return u.load * math.Exp(-float64(now.Sub(u.at))/float64(usageDecay)) * float64(e.limit)
}

// learnUsage takes the reported load of one upstream as a sign of the load of the others in its region.
func (g *Balancer) learnUsage(now time.Time, e *endpoint) {
	u := &g.usage[region(e.Tier)]
	old := u.load * math.Exp(-float64(now.Sub(u.at))/float64(usageDecay))
	u.load, u.at = old+usageWeight*(e.load/float64(max(1, e.limit))-old), now
}

// region returns 0 for the tiers of the own region and 1 for those of others.
func region(t Tier) int {
	if t == OtherRegion {
		return 1
	}
	return 0
}

// mean returns the group's typical service time of the class as a logarithm, or 0 where too few are known.
func (g *Balancer) mean(now time.Time, class int) float64 {
	for len(g.means) <= class {
		g.means = append(g.means, average{})
	}
	a := &g.means[class]
	if now.Sub(a.at) >= meanInterval {
		a.at, a.mean = now, g.median(now, class)
	}
	return a.mean
}

// median returns the median of the mean service times reported for the class.
func (g *Balancer) median(now time.Time, class int) float64 {
	var list []float64
	for _, e := range g.byID {
		if k := e.class(class); k.report.Mean > 0 && k.report.Seq >= minSamples && now.Sub(k.at) <= reportAge {
			list = append(list, k.report.Mean)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// TypicalServiceTime returns the group's typical service time of the class, or 0 where it is not known.
func (g *Balancer) TypicalServiceTime(now time.Time, class int) time.Duration {
	m := g.mean(now, class)
	if m == 0 {
		return 0
	}
	return time.Duration(math.Exp(m)) * time.Microsecond
}

// Upstreams returns the upstreams that the node routes to, sorted by ID.
func (g *Balancer) Upstreams() []Upstream {
	out := make([]Upstream, 0, len(g.byID))
	for _, e := range g.byID {
		out = append(out, e.Upstream)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Ejected returns the upstreams that sickness keeps from their share of the work.
func (g *Balancer) Ejected(now time.Time) []string {
	bar := g.bar(now)
	var out []string
	for id, e := range g.byID {
		if e.health(now) > bar {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// bar returns the belief in sickness above which an upstream gets trials only when its group is short of well ones: the healthiest that the floor demands stay below it.
func (g *Balancer) bar(now time.Time) float64 {
	need := int(math.Ceil(g.floor*float64(len(g.byID)) - 1e-9))
	if need == 0 {
		return sickBar
	}
	list := make([]float64, 0, len(g.byID))
	for _, e := range g.byID {
		list = append(list, e.health(now))
	}
	slices.Sort(list)
	return max(sickBar, list[need-1])
}
