package routing

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/outlier"
)

// Parameters of the choice.
const (
	maxSubset     = 32                     // upstreams of one service that a node routes to
	choices       = 2                      // candidates compared for a request
	loadDecay     = 500 * time.Millisecond // time constant with which a reported load is forgotten
	refusalAge    = 75 * time.Millisecond  // span for which a reported refusal is believed
	spareLoad     = 0.9                    // load for each slot above which an upstream has nothing to spare
	usageDecay    = 2 * time.Second        // time constant with which the load of a region is forgotten
	usageWeight   = 0.2                    // weight of one report in the load of a region
	rampTime      = 5 * time.Second        // time until a new upstream has its full share
	rampStart     = 0.1                    // share of a new upstream
	trialShare    = 0.03                   // share of its fair load that an upstream on trial gets
	loadWeight    = 0.1                    // cost of a full upstream, in parts of the worth of a request
	slowWeight    = 0.5                    // cost of an answer that is late by one objective
	failWeight    = 0.25                   // cost of a certain failure by the evidence
	sickWeight    = 0.9                    // cost of a certain failure by the belief of the gate
	sickRepeat    = 0.2                    // the same for work that may be repeated
	usualRatio    = 0.3                    // ratio of the service time to the objective where it is not known
	maxSlowness   = 20.0                   // bound of the slowness in the score
	firstAvoid    = time.Second            // time for which a node is avoided after a path failure
	maxAvoid      = 30 * time.Second       // longest time for which a node is avoided
	sickBar       = 0.3                    // belief in sickness above which an upstream gets trials only
	forceBar      = 0.6                    // belief above which it gets no work that must not run twice, whatever else there is
	suspectBelief = 0.7                    // belief in the sickness of an upstream that its gate suspects
	clearedBelief = 0.1                    // belief after the gate has withdrawn its suspicion
	sickTrial     = 0.12                   // share of the work that may be repeated that a sick upstream gets
	maxTrials     = 0.4                    // share that all sick upstreams get together
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
	ID    string
	Node  string
	Tier  Tier
	Slots int
	Ready bool

	Suspect bool // its gate holds it for sick
}

// Choice is the upstream chosen for one attempt.
type Choice struct {
	ID    string
	Node  string
	Tier  Tier
	Trial bool

	Forced bool    // no upstream in better health is known
	Health float64 // belief in the upstream's sickness on which it was chosen
}

// Why says in one word how the choice was made.
func (c Choice) Why() string {
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
	Busy       Refusal = "overload"
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

// tierCosts are the costs of distance, in parts of the worth of a request.
var tierCosts = [tiers]float64{0, 0.03, 0.3}

// Query describes an attempt to be routed.
type Query struct {
	Once      bool // the work must not run twice
	Class     int
	Exclude   []string      // upstreams that earlier attempts used
	Trial     bool          // the attempt may find out whether a sick upstream is well again
	Objective time.Duration // time within which an answer has its full worth; 0 where it is not known
	Far       bool          // another region may be used
	Spare     bool          // only an upstream with capacity to spare will do
}

// Observation is what one attempt showed.
type Observation struct {
	Load     admission.Load
	Reported bool           // an answer with load and evidence arrived
	Evidence outlier.Report // on the class of the attempt
	Whole    outlier.Report // on all classes
	Sick     float64        // belief of the gate that the upstream is sick
	PathLost bool           // the node of the upstream could not be reached or did not answer
}

type endpoint struct {
	Upstream
	own       int // attempts of this node that are running
	load      float64
	ownAtLoad int
	loadAt    time.Time
	limit     int
	refusing  uint32
	refusedAt time.Time
	rampFrom  time.Time
	sick      float64 // belief of its gate at sickAt
	sickAt    time.Time
	avoid     time.Time
	avoidFor  time.Duration
}

// usage is the load for each slot that upstreams of one region last reported.
type usage struct {
	load float64
	at   time.Time
}

// Group routes the requests of one service.
type Group struct {
	service  string
	self     string
	classes  int
	detector *outlier.Detector
	byID     map[string]*endpoint
	eligible [][tiers][]*endpoint // by class
	trying   [][]*endpoint        // by class
	ready    []*endpoint
	means    []float64 // by class
	meansAt  time.Time
	usage    [2]usage // of the own region and of others
	started  bool
}

// NewGroup returns a group for one service of a node; classes is the number of classes of work.
func NewGroup(service, self string, floor float64, classes int) *Group {
	g := &Group{
		service:  service,
		self:     self,
		classes:  classes,
		detector: outlier.NewDetector(floor, classes+1),
		byID:     make(map[string]*endpoint),
		means:    make([]float64, classes),
	}
	g.index()
	return g
}

// SetFloor changes the share of upstreams that ejection leaves in service.
func (g *Group) SetFloor(floor float64) { g.detector.SetFloor(floor) }

// Update replaces the upstreams of the service by those known from membership.
func (g *Group) Update(now time.Time, list []Upstream) {
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
	reach := make(map[string]bool, len(list))
	for _, u := range list {
		reach[u.ID] = u.Ready && !now.Before(g.byID[u.ID].avoid)
	}
	g.detector.Members(reach)
	g.index()
}

func (g *Group) put(now time.Time, u Upstream) {
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
		return outlier.Unproven
	}
	return outlier.Fade(e.sick, now.Sub(e.sickAt))
}

// subset keeps at most maxSubset upstreams: near ones first, then those that rank highest for this node.
func (g *Group) subset(list []Upstream) []Upstream {
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

func (g *Group) rank(u Upstream) uint64 { return xxhash.Sum64String(g.self + "|" + u.ID) }

// index rebuilds the lists from which Pick samples.
func (g *Group) index() {
	g.eligible = make([][tiers][]*endpoint, g.classes)
	g.trying = make([][]*endpoint, g.classes)
	g.ready = g.ready[:0]
	ids := make([]string, 0, len(g.byID))
	for id := range g.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		e := g.byID[id]
		if !e.Ready {
			continue
		}
		g.ready = append(g.ready, e)
		for c := range g.classes {
			switch g.status(id, c) {
			case outlier.Serving:
				g.eligible[c][e.Tier] = append(g.eligible[c][e.Tier], e)
			case outlier.Trying:
				g.trying[c] = append(g.trying[c], e)
			}
		}
	}
}

// status is the worse of the standings for one class and for all.
func (g *Group) status(id string, class int) outlier.Status {
	own, all := g.detector.Status(id, class), g.detector.Status(id, g.classes)
	if own == outlier.Serving {
		return all
	}
	if all == outlier.Serving || own == outlier.Ejected {
		return own
	}
	return all
}

// Status returns the standing of the upstream for the class.
func (g *Group) Status(id string, class int) outlier.Status { return g.status(id, class) }

// Pick chooses the upstream for one attempt and counts it as running; the error is an *Error.
func (g *Group) Pick(now time.Time, q Query, rnd *rand.Rand) (Choice, error) {
	e := g.sickTrial(now, q, rnd)
	if e == nil {
		e = g.trial(now, q, rnd)
	}
	if e != nil {
		e.own++
		return Choice{ID: e.ID, Node: e.Node, Tier: e.Tier, Trial: true, Health: e.health(now)}, nil
	}
	var best *endpoint
	score := math.Inf(1)
	refused := false
	last := SameRegion
	if q.Far {
		last = OtherRegion
	}
	for t := SameDataCentre; t <= last && score > tierCosts[t]; t++ {
		e, s, busy := g.sample(now, q, t, rnd)
		refused = refused || busy
		if e != nil && s+tierCosts[t] < score {
			best, score = e, s+tierCosts[t]
		}
	}
	if best == nil && !q.Spare {
		if e := g.last(now, q, last); e != nil {
			e.own++
			return Choice{ID: e.ID, Node: e.Node, Tier: e.Tier, Forced: true, Health: e.health(now)}, nil
		}
	}
	if best == nil || q.Spare && g.busy(now, best) {
		reason := NoUpstream
		if refused || best != nil {
			reason = Busy
		}
		return Choice{}, &Error{service: g.service, reason: reason}
	}
	best.own++
	return Choice{ID: best.ID, Node: best.Node, Tier: best.Tier, Health: best.health(now)}, nil
}

// sickTrial returns a sick upstream for a small share of the requests that may be repeated, which finds out when it is well again.
func (g *Group) sickTrial(now time.Time, q Query, rnd *rand.Rand) *endpoint {
	if q.Once || !q.Trial || len(q.Exclude) > 0 {
		return nil
	}
	var list []*endpoint
	for _, e := range g.ready {
		if e.Tier < OtherRegion && e.own == 0 && !now.Before(e.avoid) && e.health(now) > sickBar {
			list = append(list, e)
		}
	}
	if len(list) == 0 || rnd.Float64() >= min(maxTrials, sickTrial*float64(len(list))) {
		return nil
	}
	return list[rnd.IntN(len(list))]
}

// last returns the upstream in the best health where none is well; work that must not run twice goes to a surely sick one only where there is no other.
func (g *Group) last(now time.Time, q Query, last Tier) *endpoint {
	var best *endpoint
	for _, e := range g.ready {
		if e.Tier > last || now.Before(e.avoid) || slices.Contains(q.Exclude, e.ID) || e.refuses(now, q.Class) || e.Tier == OtherRegion && g.busy(now, e) || q.Once && len(g.ready) > 1 && e.health(now) > forceBar {
			continue
		}
		if best == nil || e.health(now) < best.health(now) {
			best = e
		}
	}
	return best
}

// trial returns an upstream on trial for a small share of the requests that may be repeated.
func (g *Group) trial(now time.Time, q Query, rnd *rand.Rand) *endpoint {
	list := g.trying[q.Class]
	if len(list) == 0 || len(q.Exclude) > 0 {
		return nil
	}
	if rnd.Float64()*float64(len(g.byID)) >= trialShare*float64(len(list)) {
		return nil
	}
	e := list[rnd.IntN(len(list))]
	if e.own > 0 || now.Before(e.avoid) || e.Tier == OtherRegion && !q.Far {
		return nil
	}
	return e
}

// sample compares a few candidates of one tier and returns the least loaded with its score.
func (g *Group) sample(now time.Time, q Query, t Tier, rnd *rand.Rand) (best *endpoint, score float64, busy bool) {
	list := g.eligible[q.Class][t]
	score = math.Inf(1)
	for range min(choices, len(list)) {
		e, refused := g.scan(now, q, list, rnd.IntN(len(list)), best)
		busy = busy || refused
		if e == nil {
			break
		}
		if s := g.score(now, e, q); s < score {
			best, score = e, s
		}
	}
	return best, score, busy
}

// scan returns the first usable endpoint at or after start other than skip, and whether one was passed because it refuses.
func (g *Group) scan(now time.Time, q Query, list []*endpoint, start int, skip *endpoint) (e *endpoint, refused bool) {
	for i := range list {
		e = list[(start+i)%len(list)]
		if e == skip || now.Before(e.avoid) || e.health(now) > sickBar || slices.Contains(q.Exclude, e.ID) {
			continue
		}
		if e.refuses(now, q.Class) || e.Tier == OtherRegion && g.busy(now, e) {
			refused = true
			continue
		}
		return e, refused
	}
	return nil, refused
}

func (e *endpoint) refuses(now time.Time, class int) bool {
	return e.refusing&(1<<class) != 0 && now.Sub(e.refusedAt) < refusalAge
}

// busy reports whether the upstream has no slot to spare.
func (g *Group) busy(now time.Time, e *endpoint) bool { return g.use(now, e) > spareLoad }

// usual returns the load that is to be expected of an upstream of which no recent report is known: that of others in its region.
func (g *Group) usual(now time.Time, e *endpoint) float64 {
	u := &g.usage[region(e.Tier)]
	return u.load * math.Exp(-float64(now.Sub(u.at))/float64(usageDecay)) * float64(e.limit)
}

// learnUsage takes the reported load of one upstream as a sign of the load of the others in its region.
func (g *Group) learnUsage(now time.Time, e *endpoint) {
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

// use estimates the work for each slot of the upstream, with one request more.
func (g *Group) use(now time.Time, e *endpoint) float64 {
	age := now.Sub(e.loadAt)
	fresh := math.Exp(-float64(age) / float64(loadDecay))
	load := e.load*fresh + (1-fresh)*g.usual(now, e) + float64(max(0, e.own-e.ownAtLoad))
	load = max(load, float64(e.own))
	return (load + 1) / (float64(max(1, e.limit)) * e.weight(now))
}

// score estimates the cost of sending a request to the upstream, in parts of the request's worth: the risk that it fails, and the time by which it is late.
func (g *Group) score(now time.Time, e *endpoint, q Query) float64 {
	mean := g.mean(now, q.Class)
	ratio := usualRatio
	if mean > 0 && q.Objective > 0 {
		ratio = min(1, math.Exp(mean)/float64(q.Objective.Microseconds()))
	}
	use := g.use(now, e)
	cost := loadWeight*use*use + max(0, use-1)*ratio
	if slow := min(maxSlowness, g.detector.Slowness(now, e.ID, q.Class, mean)); slow > 1 {
		cost += slowWeight * (slow - 1) * ratio
	}
	sick := sickWeight
	if !q.Once {
		sick = sickRepeat
	}
	return cost + failWeight*g.detector.Failing(now, e.ID, q.Class) + sick*e.health(now)
}

func (g *Group) mean(now time.Time, class int) float64 {
	if now.Sub(g.meansAt) >= meanInterval {
		g.meansAt = now
		for c := range g.means {
			g.means[c] = g.detector.GroupMean(now, c)
		}
	}
	return g.means[class]
}

// weight is the share of its capacity that a new or restored upstream is given.
func (e *endpoint) weight(now time.Time) float64 {
	if e.rampFrom.IsZero() {
		return 1
	}
	done := float64(now.Sub(e.rampFrom)) / float64(rampTime)
	return min(1, rampStart+(1-rampStart)*max(0, done))
}

// Observe ends an attempt and takes what it showed.
func (g *Group) Observe(now time.Time, c Choice, class int, o Observation) {
	e := g.byID[c.ID]
	if e == nil {
		return
	}
	e.own = max(0, e.own-1)
	if o.PathLost {
		g.avoid(now, e)
		return
	}
	if o.Reported {
		g.Learn(now, c.ID, class, o)
	}
}

// Learn takes load and evidence that arrived with an answer or on request.
func (g *Group) Learn(now time.Time, id string, class int, o Observation) {
	e := g.byID[id]
	if e == nil {
		return
	}
	if e.avoidFor > 0 {
		e.avoid, e.avoidFor = time.Time{}, 0
		g.detector.Reachable(id, e.Ready)
	}
	e.load = float64(o.Load.Running + o.Load.Queued)
	e.ownAtLoad = e.own
	e.loadAt = now
	e.sick, e.sickAt = o.Sick, now
	g.learnUsage(now, e)
	e.limit = o.Load.Limit
	e.refusing, e.refusedAt = o.Load.Refusing, now
	g.detector.Report(now, id, class, o.Evidence)
	g.detector.Report(now, id, g.classes, o.Whole)
}

// Avoid routes around the node of the upstream because the path to it is lost.
func (g *Group) Avoid(now time.Time, id string) {
	if e := g.byID[id]; e != nil {
		g.avoid(now, e)
	}
}

// avoid routes around the node of e for a time that doubles with each failure in a row.
func (g *Group) avoid(now time.Time, e *endpoint) {
	if now.Before(e.avoid) {
		return
	}
	e.avoidFor = min(maxAvoid, max(firstAvoid, 2*e.avoidFor))
	e.avoid = now.Add(e.avoidFor)
	g.detector.Reachable(e.ID, false)
}

// Evaluate judges the upstreams and returns the changes of standing.
func (g *Group) Evaluate(now time.Time) []outlier.Change {
	changes := g.detector.Evaluate(now)
	for _, c := range changes {
		if e := g.byID[c.ID]; e != nil && c.To == outlier.Serving {
			e.rampFrom = now
		}
	}
	if len(changes) > 0 {
		g.index()
	}
	return changes
}

// Mean returns the group's typical service time of the class, or 0 where it is not known.
func (g *Group) Mean(now time.Time, class int) time.Duration {
	m := g.mean(now, class)
	if m == 0 {
		return 0
	}
	return time.Duration(math.Exp(m)) * time.Microsecond
}

// Upstreams returns the upstreams that the node routes to, sorted by ID.
func (g *Group) Upstreams() []Upstream {
	out := make([]Upstream, 0, len(g.byID))
	for _, e := range g.byID {
		out = append(out, e.Upstream)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Out returns the upstreams that are not in service for some class.
func (g *Group) Out() []string { return g.detector.Out() }
