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

// Parameters of the estimates that a balancer keeps about upstreams.
const (
	loadDecayTime         = 500 * time.Millisecond // time constant with which a reported load decays to the expected load
	utilizationDecayTime  = 2 * time.Second        // time constant with which the utilization of a region decays
	utilizationWeight     = 0.2                    // weight of one report in the moving average of the utilization of a region
	reportTTL             = 5 * time.Second        // age after which a report is ignored
	minSamples            = 8                      // minimum number of samples for the service time of an upstream to count in the median
	slowStartTime         = 3 * time.Second        // time until a new upstream gets its full share of the requests
	slowStartShare        = 0.4                    // initial capacity of a new upstream as a share of its full capacity
	minSuspicionIfSuspect = 0.7                    // minimum suspicion once the gate reports the upstream as suspect
	maxSuspicionIfCleared = 0.1                    // maximum suspicion once the gate no longer reports the upstream as suspect
	minAvoidTime          = time.Second            // time for which a node is avoided after the first path failure
	maxAvoidTime          = 30 * time.Second       // maximum time for which a node is avoided after repeated path failures
	medianInterval        = 50 * time.Millisecond  // interval at which a median service time is recomputed
)

// Tier is the distance of an upstream from the node.
type Tier int

// Tiers, nearest first.
const (
	SameDataCentre Tier = iota
	SameRegion
	OtherRegion
	tierCount
)

// Upstream is an upstream as the membership protocol announces it.
type Upstream struct {
	ID      string
	Node    string // name of the node beside it
	Tier    Tier
	Slots   int // number of requests that it can run at once
	Ready   bool
	Suspect bool // its gate reports it as suspect
}

// Observation is what one attempt or load query showed about an upstream.
type Observation struct {
	Load        admission.Load
	Reported    bool           // a response arrived that carries Load, ClassReport and Suspicion
	Refusing    bool           // the gate currently refuses the class of the attempt
	RefusedFrom int            // the most urgent priority at which it does; 0 if it refuses all
	RetryAfter  time.Duration  // the gate refused the attempt and expects room after this time; 0 if unknown
	ClassReport outlier.Report // service times and failures of the class of the attempt
	Suspicion   float64        // the gate's estimate of the probability, 0 to 1, that the upstream is unhealthy
	PathLost    bool           // the node of the upstream could not be reached or did not respond
}

// classReport is the last report on one request class at one upstream.
type classReport struct {
	report     outlier.Report
	receivedAt time.Time
	refusal    refusal
}

// endpoint is an upstream with what the node observed about it.
type endpoint struct {
	Upstream
	inFlight       int           // attempts of this node in flight
	load           float64       // running and queued requests, as last reported
	inFlightAtLoad int           // inFlight when load was reported
	loadAt         time.Time     // time when load was reported
	limit          int           // concurrency limit of the gate
	classReports   []classReport // indexed by class
	slowStartAt    time.Time     // start of the slow start; zero if there is none
	lastSuspicion  float64       // suspicion at suspicionAt, from the last report or membership change
	suspicionAt    time.Time
	avoidUntil     time.Time     // the node is avoided before this time
	avoidTime      time.Duration // time for which the node was last avoided; 0 after a response
}

// classReport returns the last report on the class with the given index.
func (e *endpoint) classReport(classIndex int) *classReport {
	for len(e.classReports) <= classIndex {
		e.classReports = append(e.classReports, classReport{})
	}
	return &e.classReports[classIndex]
}

// utilization is a moving average of the load that the upstreams of one region report, divided by their concurrency limits.
type utilization struct {
	value     float64
	updatedAt time.Time
}

// logMedian is the cached median service time of one class over the upstreams of the service.
type logMedian struct {
	value      float64 // natural logarithm of microseconds; 0 if no upstream has enough samples
	computedAt time.Time
}

// Balancer chooses upstreams for the requests of one service.
type Balancer struct {
	service     string
	floor       float64    // minimum share of upstreams that ejection leaves in service
	all         candidates // the upstreams of the service; byID holds those that the node routes to
	byID        map[string]*endpoint
	ready       [tierCount][]*endpoint // ready upstreams, sorted by ID
	utilization [2]utilization         // of the node's own region and of the others; see regionIndex
	medians     []logMedian            // indexed by class
	populated   bool                   // whether there has ever been an upstream; later ones start slowly
}

// NewBalancer returns a balancer for one service at the node self; floor is the minimum share of upstreams that ejection leaves in service.
func NewBalancer(service, self string, floor float64) *Balancer {
	return &Balancer{service: service, floor: floor, all: candidates{self: xxhash.Sum64String(self)}, byID: make(map[string]*endpoint)}
}

// SetFloor changes the minimum share of upstreams that ejection leaves in service.
func (lb *Balancer) SetFloor(floor float64) { lb.floor = floor }

// Update replaces the upstreams of the service with those that the membership protocol announces.
func (lb *Balancer) Update(now time.Time, upstreams []Upstream) {
	listed := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		listed[u.ID] = true
	}
	var removed []string
	for _, u := range lb.all.ranked {
		if !listed[u.ID] {
			removed = append(removed, u.ID)
		}
	}
	lb.Apply(now, upstreams, removed)
}

// Apply adds or changes some upstreams of the service and removes those with the given IDs; the others remain.
func (lb *Balancer) Apply(now time.Time, changed []Upstream, removed []string) {
	reselect, rebuild := false, false
	for _, id := range removed {
		reselect = lb.all.remove(id) || reselect
	}
	for _, u := range changed {
		reselect = lb.all.set(u) || reselect
	}
	if reselect {
		changed = lb.all.subset()
		lb.keepOnly(changed)
		rebuild = true
	}
	for _, u := range changed {
		if e := lb.byID[u.ID]; e != nil || reselect {
			rebuild = rebuild || e.Ready != u.Ready
			lb.upsert(now, u)
		}
	}
	lb.populated = lb.populated || len(lb.byID) > 0
	if rebuild {
		lb.rebuildTiers()
	}
}

// keepOnly removes the endpoints whose upstream isn't listed.
func (lb *Balancer) keepOnly(list []Upstream) {
	listed := make(map[string]bool, len(list))
	for _, u := range list {
		listed[u.ID] = true
	}
	for id := range lb.byID {
		if !listed[id] {
			delete(lb.byID, id)
		}
	}
}

// upsert adds the upstream or updates it.
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

// suspicion returns the probability, 0 to 1, that the upstream is unhealthy at now.
func (e *endpoint) suspicion(now time.Time) float64 {
	if e.suspicionAt.IsZero() {
		return outlier.Prior
	}
	return outlier.Decay(e.lastSuspicion, now.Sub(e.suspicionAt))
}

// rebuildTiers rebuilds the lists of ready upstreams from which Pick samples.
func (lb *Balancer) rebuildTiers() {
	for tier := range lb.ready {
		lb.ready[tier] = lb.ready[tier][:0]
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

// Finish records the end of an attempt and what the attempt showed about the upstream.
func (lb *Balancer) Finish(now time.Time, c Choice, classIndex int, o Observation) {
	e := lb.byID[c.ID]
	if e == nil {
		return
	}
	e.inFlight = max(0, e.inFlight-1)
	if o.PathLost {
		e.avoidNode(now)
		return
	}
	if o.Reported {
		lb.RecordReport(now, c.ID, classIndex, o)
	}
}

// RecordReport records an observation that arrived with a response or with the result of a load query.
func (lb *Balancer) RecordReport(now time.Time, id string, classIndex int, o Observation) {
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
	r := e.classReport(classIndex)
	r.report, r.receivedAt = o.ClassReport, now
	r.refusal.record(now, o)
	lb.recordUtilization(now, e)
}

// MarkUnreachable avoids the node of the upstream for some time because it can't be reached.
func (lb *Balancer) MarkUnreachable(now time.Time, id string) {
	if e := lb.byID[id]; e != nil {
		e.avoidNode(now)
	}
}

// avoidNode avoids the node of the upstream for a time that doubles with each consecutive failure.
func (e *endpoint) avoidNode(now time.Time) {
	if now.Before(e.avoidUntil) {
		return
	}
	e.avoidTime = min(maxAvoidTime, max(minAvoidTime, 2*e.avoidTime))
	e.avoidUntil = now.Add(e.avoidTime)
}

// expectedLoad estimates the load of an upstream from the utilization of its region; it replaces the upstream's own report as that ages.
func (lb *Balancer) expectedLoad(now time.Time, e *endpoint) float64 {
	u := &lb.utilization[regionIndex(e.Tier)]
	return u.value * math.Exp(-float64(now.Sub(u.updatedAt))/float64(utilizationDecayTime)) * float64(e.limit)
}

// recordUtilization adds the reported load of one upstream to the moving average of its region.
func (lb *Balancer) recordUtilization(now time.Time, e *endpoint) {
	u := &lb.utilization[regionIndex(e.Tier)]
	decayed := u.value * math.Exp(-float64(now.Sub(u.updatedAt))/float64(utilizationDecayTime))
	u.value, u.updatedAt = decayed+utilizationWeight*(e.load/float64(max(1, e.limit))-decayed), now
}

// regionIndex returns 0 for the tiers of the node's own region and 1 for other regions.
func regionIndex(t Tier) int {
	if t == OtherRegion {
		return 1
	}
	return 0
}

// medianLogServiceTime returns the cached median service time of the class as a logarithm, or 0 if no upstream has enough samples.
func (lb *Balancer) medianLogServiceTime(now time.Time, classIndex int) float64 {
	for len(lb.medians) <= classIndex {
		lb.medians = append(lb.medians, logMedian{})
	}
	m := &lb.medians[classIndex]
	if now.Sub(m.computedAt) >= medianInterval {
		m.computedAt, m.value = now, lb.computeMedianLogServiceTime(now, classIndex)
	}
	return m.value
}

// computeMedianLogServiceTime returns the median of the mean service times reported for the class, as a logarithm, or 0 if no upstream
// has enough samples.
func (lb *Balancer) computeMedianLogServiceTime(now time.Time, classIndex int) float64 {
	var logTimes []float64
	for _, e := range lb.byID {
		if r := e.classReport(classIndex); r.report.MeanLogMicros > 0 && r.report.TotalSamples >= minSamples && now.Sub(r.receivedAt) <= reportTTL {
			logTimes = append(logTimes, r.report.MeanLogMicros)
		}
	}
	if len(logTimes) == 0 {
		return 0
	}
	slices.Sort(logTimes)
	return logTimes[(len(logTimes)-1)/2]
}

// TypicalServiceTime returns the median service time of the class over the upstreams, or a share of the objective of the class if no
// upstream has enough samples; without an objective it is then 0.
func (lb *Balancer) TypicalServiceTime(now time.Time, classIndex int, objective time.Duration) time.Duration {
	medianLogMicros := lb.medianLogServiceTime(now, classIndex)
	if medianLogMicros == 0 {
		return time.Duration(defaultTimeRatio * float64(objective))
	}
	return time.Duration(math.Exp(medianLogMicros)) * time.Microsecond
}

// Upstreams returns the upstreams that the node routes to, sorted by ID.
func (lb *Balancer) Upstreams() []Upstream {
	upstreams := make([]Upstream, 0, len(lb.byID))
	for _, e := range lb.byID {
		upstreams = append(upstreams, e.Upstream)
	}
	slices.SortFunc(upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return upstreams
}

// Ejected returns the sorted IDs of the upstreams that are ejected because they are unhealthy.
func (lb *Balancer) Ejected(now time.Time) []string {
	threshold := lb.ejectionThreshold(now)
	var ids []string
	for id, e := range lb.byID {
		if e.suspicion(now) > threshold {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// ejectionThreshold returns the suspicion above which an upstream is ejected.
// It is raised if necessary to keep the share of upstreams in service that the floor requires; the healthiest ones stay.
func (lb *Balancer) ejectionThreshold(now time.Time) float64 {
	minInService := int(math.Ceil(lb.floor*float64(len(lb.byID)) - 1e-9))
	if minInService == 0 {
		return unhealthyThreshold
	}
	suspicions := make([]float64, 0, len(lb.byID))
	for _, e := range lb.byID {
		suspicions = append(suspicions, e.suspicion(now))
	}
	slices.Sort(suspicions)
	return max(unhealthyThreshold, suspicions[minInService-1])
}
