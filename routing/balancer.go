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

// Parameters of the state that a balancer keeps.
const (
	maxSubset             = 32                     // upstreams of one service that a node routes to
	loadDecayTime         = 500 * time.Millisecond // time constant with which a reported load decays
	utilizationDecayTime  = 2 * time.Second        // time constant with which the utilization of a region decays
	utilizationWeight     = 0.2                    // weight of one report in the utilization of a region
	refusalTTL            = 75 * time.Millisecond  // time for which a reported refusal counts
	reportTTL             = 5 * time.Second        // age after which a report is ignored
	minSamples            = 8                      // samples needed before the service time of an upstream counts
	slowStartTime         = 3 * time.Second        // time until a new upstream gets its full share of the load
	slowStartShare        = 0.4                    // share of the load that a new upstream gets at first
	minSuspicionIfSuspect = 0.7                    // least suspicion once the gate reports the upstream as suspect
	maxSuspicionIfCleared = 0.1                    // largest suspicion once the gate no longer reports the upstream as suspect
	minAvoidTime          = time.Second            // time for which a node is avoided after the first path failure
	maxAvoidTime          = 30 * time.Second       // longest time for which a node is avoided
	medianInterval        = 50 * time.Millisecond  // interval at which a median service time is recomputed
)

// Tier is the locality of an upstream relative to the node.
type Tier int

// Tiers, nearest first.
const (
	SameDataCentre Tier = iota
	SameRegion
	OtherRegion
	tierCount
)

// Upstream is one upstream as known from membership.
type Upstream struct {
	ID      string
	Node    string
	Tier    Tier
	Slots   int
	Ready   bool
	Suspect bool // its gate reports it as suspect
}

// Observation is what one attempt or load report showed of an upstream.
type Observation struct {
	Load        admission.Load
	Reported    bool           // a response with load and evidence arrived
	Refusing    bool           // the gate currently refuses the class of the attempt
	ClassReport outlier.Report // service times and failures of the class of the attempt
	Suspicion   float64        // probability that the upstream is unhealthy, 0 to 1, as its gate estimates it
	PathLost    bool           // the node of the upstream could not be reached or did not respond
}

// classReport is the last report on one class of work at one upstream.
type classReport struct {
	report    outlier.Report
	at        time.Time
	refusedAt time.Time
}

type endpoint struct {
	Upstream
	inFlight       int // attempts of this node in flight
	load           float64
	inFlightAtLoad int
	loadAt         time.Time
	limit          int
	classes        []classReport
	slowStartAt    time.Time
	lastSuspicion  float64 // suspicion at suspicionAt
	suspicionAt    time.Time
	avoidUntil     time.Time
	avoidTime      time.Duration
}

// class returns the last report on one class of work.
func (e *endpoint) class(i int) *classReport {
	for len(e.classes) <= i {
		e.classes = append(e.classes, classReport{})
	}
	return &e.classes[i]
}

// utilization is a moving average of the load per slot that the upstreams of one region report.
type utilization struct {
	value float64
	at    time.Time
}

// logMedian is the cached median service time of one class over the upstreams of the service.
type logMedian struct {
	value float64 // natural logarithm of microseconds; 0 if no upstream has enough samples
	at    time.Time
}

// Balancer chooses upstreams for the requests of one service.
type Balancer struct {
	service     string
	self        string
	floor       float64
	byID        map[string]*endpoint
	ready       [tierCount][]*endpoint // ready upstreams, sorted by ID
	utilization [2]utilization         // of the node's own region and of the others; see regionIndex
	medians     []logMedian            // indexed by class
	populated   bool
}

// NewBalancer returns a balancer for one service at the node self; floor is the least share of upstreams that ejection leaves in service.
func NewBalancer(service, self string, floor float64) *Balancer {
	return &Balancer{service: service, self: self, floor: floor, byID: make(map[string]*endpoint)}
}

// SetFloor changes the least share of upstreams that ejection leaves in service.
func (lb *Balancer) SetFloor(floor float64) { lb.floor = floor }

// Update replaces the upstreams of the service with those known from membership.
func (lb *Balancer) Update(now time.Time, list []Upstream) {
	list = lb.subset(list)
	seen := make(map[string]bool, len(list))
	for _, u := range list {
		seen[u.ID] = true
		lb.upsert(now, u)
	}
	for id := range lb.byID {
		if !seen[id] {
			delete(lb.byID, id)
		}
	}
	lb.populated = lb.populated || len(list) > 0
	lb.rebuildTiers()
}

func (lb *Balancer) upsert(now time.Time, u Upstream) {
	e := lb.byID[u.ID]
	if e == nil {
		e = &endpoint{limit: u.Slots}
		if lb.populated {
			e.slowStartAt = now
		}
		lb.byID[u.ID] = e
	}
	if u.Ready && !e.Ready && e.ID != "" {
		e.slowStartAt = now
	}
	if u.Node != e.Node {
		e.avoidUntil, e.avoidTime = time.Time{}, 0
	}
	e.recordSuspect(now, u.Suspect)
	e.Upstream = u
}

// recordSuspect adjusts the suspicion when the Suspect flag that the gate announces through membership changes.
func (e *endpoint) recordSuspect(now time.Time, suspect bool) {
	switch {
	case suspect && (!e.Suspect || e.ID == ""):
		e.lastSuspicion, e.suspicionAt = max(minSuspicionIfSuspect, e.suspicion(now)), now
	case !suspect && e.Suspect:
		e.lastSuspicion, e.suspicionAt = min(maxSuspicionIfCleared, e.suspicion(now)), now
	}
}

// suspicion returns the suspicion at now.
func (e *endpoint) suspicion(now time.Time) float64 {
	if e.suspicionAt.IsZero() {
		return outlier.Prior
	}
	return outlier.Decay(e.lastSuspicion, now.Sub(e.suspicionAt))
}

// subset keeps at most maxSubset upstreams: the highest ranked of each tier up to its quota, then the highest ranked of the rest.
func (lb *Balancer) subset(list []Upstream) []Upstream {
	if len(list) <= maxSubset {
		return list
	}
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b Upstream) int {
		return cmp.Compare(lb.rank(b), lb.rank(a))
	})
	var kept, rest []Upstream
	quota := [tierCount]int{maxSubset / 2, maxSubset / 4, maxSubset / 4}
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

func (lb *Balancer) rank(u Upstream) uint64 { return xxhash.Sum64String(lb.self + "|" + u.ID) }

// rebuildTiers rebuilds the lists of ready upstreams from which Pick samples.
func (lb *Balancer) rebuildTiers() {
	for t := range lb.ready {
		lb.ready[t] = lb.ready[t][:0]
	}
	ids := make([]string, 0, len(lb.byID))
	for id := range lb.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if e := lb.byID[id]; e.Ready {
			lb.ready[e.Tier] = append(lb.ready[e.Tier], e)
		}
	}
}

// Finish ends an attempt and records what it showed.
func (lb *Balancer) Finish(now time.Time, c Choice, class int, o Observation) {
	e := lb.byID[c.ID]
	if e == nil {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	if o.PathLost {
		e.avoidPath(now)
		return
	}
	if o.Reported {
		lb.RecordReport(now, c.ID, class, o)
	}
}

// RecordReport records load and evidence that arrived with a response or with the result of a load query.
func (lb *Balancer) RecordReport(now time.Time, id string, class int, o Observation) {
	e := lb.byID[id]
	if e == nil {
		return
	}
	e.avoidUntil, e.avoidTime = time.Time{}, 0
	e.load = float64(o.Load.Running + o.Load.Queued)
	e.inFlightAtLoad = e.inFlight
	e.loadAt = now
	e.limit = o.Load.Limit
	e.lastSuspicion, e.suspicionAt = o.Suspicion, now
	r := e.class(class)
	r.report, r.at, r.refusedAt = o.ClassReport, now, time.Time{}
	if o.Refusing {
		r.refusedAt = now
	}
	lb.recordUtilization(now, e)
}

// MarkUnreachable routes around the node of the upstream because the path to it is lost.
func (lb *Balancer) MarkUnreachable(now time.Time, id string) {
	if e := lb.byID[id]; e != nil {
		e.avoidPath(now)
	}
}

// avoidPath routes around the node for a time that doubles with each consecutive failure.
func (e *endpoint) avoidPath(now time.Time) {
	if now.Before(e.avoidUntil) {
		return
	}
	e.avoidTime = min(maxAvoidTime, max(minAvoidTime, 2*e.avoidTime))
	e.avoidUntil = now.Add(e.avoidTime)
}

// expectedLoad estimates the load of an upstream without a recent report from the utilization of its region.
func (lb *Balancer) expectedLoad(now time.Time, e *endpoint) float64 {
	u := &lb.utilization[regionIndex(e.Tier)]
	return u.value * math.Exp(-float64(now.Sub(u.at))/float64(utilizationDecayTime)) * float64(e.limit)
}

// recordUtilization adds the reported load of one upstream to the moving average of its region.
func (lb *Balancer) recordUtilization(now time.Time, e *endpoint) {
	u := &lb.utilization[regionIndex(e.Tier)]
	old := u.value * math.Exp(-float64(now.Sub(u.at))/float64(utilizationDecayTime))
	u.value, u.at = old+utilizationWeight*(e.load/float64(max(1, e.limit))-old), now
}

// regionIndex returns 0 for the tiers of the node's own region and 1 for other regions.
func regionIndex(t Tier) int {
	if t == OtherRegion {
		return 1
	}
	return 0
}

// medianLogTime returns the cached median service time of the class as a logarithm, or 0 if no upstream has enough samples.
func (lb *Balancer) medianLogTime(now time.Time, class int) float64 {
	for len(lb.medians) <= class {
		lb.medians = append(lb.medians, logMedian{})
	}
	m := &lb.medians[class]
	if now.Sub(m.at) >= medianInterval {
		m.at, m.value = now, lb.computeMedianLogTime(now, class)
	}
	return m.value
}

// computeMedianLogTime returns the median of the mean service times reported for the class, as a logarithm, or 0 if there are none.
func (lb *Balancer) computeMedianLogTime(now time.Time, class int) float64 {
	var list []float64
	for _, e := range lb.byID {
		if r := e.class(class); r.report.MeanLogMicros > 0 && r.report.TotalSamples >= minSamples && now.Sub(r.at) <= reportTTL {
			list = append(list, r.report.MeanLogMicros)
		}
	}
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// TypicalServiceTime returns the median service time of the class over the upstreams, or 0 if it is not known.
func (lb *Balancer) TypicalServiceTime(now time.Time, class int) time.Duration {
	m := lb.medianLogTime(now, class)
	if m == 0 {
		return 0
	}
	return time.Duration(math.Exp(m)) * time.Microsecond
}

// Upstreams returns the upstreams that the node routes to, sorted by ID.
func (lb *Balancer) Upstreams() []Upstream {
	out := make([]Upstream, 0, len(lb.byID))
	for _, e := range lb.byID {
		out = append(out, e.Upstream)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Ejected returns the IDs of the upstreams that are out of service because they are unhealthy, sorted.
func (lb *Balancer) Ejected(now time.Time) []string {
	threshold := lb.ejectionThreshold(now)
	var out []string
	for id, e := range lb.byID {
		if e.suspicion(now) > threshold {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// ejectionThreshold returns the suspicion above which an upstream is ejected.
// It is raised where needed so that the healthiest upstreams that the floor demands stay in service.
func (lb *Balancer) ejectionThreshold(now time.Time) float64 {
	minInService := int(math.Ceil(lb.floor*float64(len(lb.byID)) - 1e-9))
	if minInService == 0 {
		return unhealthyThreshold
	}
	list := make([]float64, 0, len(lb.byID))
	for _, e := range lb.byID {
		list = append(list, e.suspicion(now))
	}
	slices.Sort(list)
	return max(unhealthyThreshold, list[minInService-1])
}
