package outlier

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// Thresholds of the judgement.
const (
	minSamples   = 8                       // samples before an upstream is judged
	minPeers     = 3                       // judged upstreams that make a group
	slowRatio    = 2.0                     // ratio of means above which an upstream is slow
	slowSigma    = 5.0                     // standard errors of the mean above which it is slow
	slowMargin   = 2 * time.Millisecond    // least difference of means
	failBase     = 0.01                    // failure share that is always normal
	failMargin   = 0.05                    // least excess of the failure share
	failSigma    = 5.0                     // standard errors above which an upstream fails
	minFailures  = 4                       // failures before an upstream is judged failing
	stuckAge     = 500 * time.Millisecond  // 200 ms ejected upstreams during ordinary pauses
	stuckRatio   = 10                      // ratio of the oldest age to the group's mean
	ownRenewal   = 3                       // samples of the upstream after the evidence began
	peerRenewal  = 12                      // samples of the others after the evidence began
	persist      = 200 * time.Millisecond  // span over which the evidence must last
	reportAge    = 5 * time.Second         // age after which a report is no evidence
	firstBackoff = 1500 * time.Millisecond // time out of service after the first ejection
	maxBackoff   = time.Minute             // longest time out of service
	relapseSpan  = 2 * time.Minute         // span within which an ejection is a relapse
	trialSamples = 10                      // samples during a trial before service resumes
	trialRatio   = 1.6                     // ratio of means below which a trial succeeds
	trialBad     = 5                       // samples during a trial before it may fail
)

// Status is the standing of one upstream in one class of work.
type Status int

// The standings.
const (
	Serving Status = iota
	Ejected
	Trying
)

// String returns the name of the standing.
func (s Status) String() string { return [...]string{"serving", "ejected", "trying"}[s] }

// Change is a new standing with the evidence for it.
type Change struct {
	ID    string
	Class int
	To    Status
	Why   string
}

type verdict struct {
	bad   float64 // how far beyond the threshold; 0 is well
	stuck bool
	why   string
}

type standing struct {
	status   Status
	report   Report
	at       time.Time // time of the report
	badSince time.Time
	badSeq   uint64
	peerSeq  map[string]uint64 // samples of the others when the evidence began
	until    time.Time         // end of the ejection
	relapses int
	ejected  time.Time
	trialSeq uint64
	verdict  verdict
}

type member struct {
	id        string
	classes   []standing
	reachable bool
}

func (m *member) out() bool {
	for i := range m.classes {
		if m.classes[i].status != Serving {
			return true
		}
	}
	return false
}

// Detector judges the upstreams of one service from the reports that one node receives.
type Detector struct {
	floor   float64
	classes int
	members map[string]*member
	ids     []string
}

// NewDetector returns a detector for a service with the given floor and number of classes.
func NewDetector(floor float64, classes int) *Detector {
	return &Detector{floor: floor, classes: classes, members: make(map[string]*member)}
}

// SetFloor changes the share of upstreams that stays in service.
func (d *Detector) SetFloor(floor float64) { d.floor = floor }

// Members replaces the set of registered upstreams; the value says whether this node can reach it.
func (d *Detector) Members(reachable map[string]bool) {
	for id := range d.members {
		if _, ok := reachable[id]; !ok {
			delete(d.members, id)
		}
	}
	d.ids = d.ids[:0]
	for id, ok := range reachable {
		m := d.members[id]
		if m == nil {
			m = &member{id: id, classes: make([]standing, d.classes)}
			d.members[id] = m
		}
		m.reachable = ok
		d.ids = append(d.ids, id)
	}
	slices.Sort(d.ids)
}

// Reachable records whether this node can reach the upstream.
func (d *Detector) Reachable(id string, ok bool) {
	if m := d.members[id]; m != nil {
		m.reachable = ok
	}
}

// Report takes evidence that arrived at now.
func (d *Detector) Report(now time.Time, id string, class int, r Report) {
	m := d.members[id]
	if m == nil || class >= len(m.classes) {
		return
	}
	s := &m.classes[class]
	if r.Seq < s.report.Seq && r.Seq > 0 && s.report.Seq-r.Seq < 1<<16 && now.Sub(s.at) < reportAge {
		return // an answer that was overtaken by a later one
	}
	s.report, s.at = r, now
}

// Status returns the standing of the upstream in the class.
func (d *Detector) Status(id string, class int) Status {
	m := d.members[id]
	if m == nil || class >= len(m.classes) {
		return Serving
	}
	return m.classes[class].status
}

// Slowness returns the ratio of the upstream's mean service time to the group's, or 1 where it is not known.
func (d *Detector) Slowness(now time.Time, id string, class int, group float64) float64 {
	m := d.members[id]
	if m == nil || group == 0 || class >= len(m.classes) {
		return 1
	}
	s := &m.classes[class]
	if s.report.Mean == 0 || now.Sub(s.at) > reportAge {
		return 1
	}
	return math.Exp(s.report.Mean - group)
}

// Failing returns the share of failures last reported for the upstream.
func (d *Detector) Failing(now time.Time, id string, class int) float64 {
	m := d.members[id]
	if m == nil || class >= len(m.classes) {
		return 0
	}
	s := &m.classes[class]
	if now.Sub(s.at) > reportAge {
		return 0
	}
	return s.report.Failure()
}

// group holds the figures of the judged upstreams of one class.
type group struct {
	n      int
	mean   float64
	spread float64
	fail   float64
}

// GroupMean returns the median of the mean logarithms of the service time, or 0 where too few are known.
func (d *Detector) GroupMean(now time.Time, class int) float64 { return d.group(now, class).mean }

func (d *Detector) group(now time.Time, class int) group {
	var list []*standing
	for _, id := range d.ids {
		s := &d.members[id].classes[class]
		if !s.at.IsZero() && now.Sub(s.at) <= reportAge && s.report.Seq >= minSamples {
			list = append(list, s)
		}
	}
	return groupOf(list)
}

func groupOf(list []*standing) group {
	var means, spreads, fails []float64
	for _, s := range list {
		fails = append(fails, s.report.Failure())
		if s.report.Mean > 0 {
			means = append(means, s.report.Mean)
			spreads = append(spreads, s.report.Spread)
		}
	}
	return group{n: len(fails), mean: median(means), spread: median(spreads), fail: median(fails)}
}

func median(v []float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[(len(v)-1)/2]
}

// Evaluate judges all upstreams and returns the changes of standing.
func (d *Detector) Evaluate(now time.Time) []Change {
	var out []Change
	for class := range d.classes {
		g := d.group(now, class)
		for _, id := range d.ids {
			s := &d.members[id].classes[class]
			s.verdict = judge(now, s, g)
			d.advance(now, s, class)
		}
		out = d.returns(now, class, g, out)
	}
	return d.eject(now, out)
}

func judge(now time.Time, s *standing, g group) verdict {
	if s.at.IsZero() || now.Sub(s.at) > reportAge || g.n < minPeers {
		return verdict{}
	}
	r := s.report
	if age := stuckLimit(g); r.Stuck > age {
		return verdict{bad: float64(r.Stuck) / float64(age), stuck: true, why: fmt.Sprintf("stuck for %v, limit %v", r.Stuck.Round(time.Millisecond), age)}
	}
	if v := judgeFailing(r, g); v.bad > 0 {
		return v
	}
	return judgeSlow(r, g)
}

func stuckLimit(g group) time.Duration {
	mean := time.Duration(math.Exp(g.mean)) * time.Microsecond
	return max(stuckAge, stuckRatio*mean)
}

func judgeFailing(r Report, g group) verdict {
	if r.Count < minSamples || r.Fail < minFailures {
		return verdict{}
	}
	base := max(failBase, g.fail)
	share := r.Failure()
	z := (share - base) / math.Sqrt(base*(1-min(base, 0.99))/r.Count)
	if share < base+failMargin || z < failSigma {
		return verdict{}
	}
	why := fmt.Sprintf("fails %.0f%% of %.0f, group %.0f%%", 100*share, r.Count, 100*g.fail)
	return verdict{bad: 1 + share/base, why: why}
}

func judgeSlow(r Report, g group) verdict {
	if r.Seq < minSamples || r.Mean == 0 {
		return verdict{}
	}
	diff := r.Mean - g.mean
	limit := max(math.Log(slowRatio), slowSigma*max(g.spread, 0.1)*math.Sqrt(sampleWeight/(2-sampleWeight)))
	if diff < limit || math.Exp(r.Mean)-math.Exp(g.mean) < float64(slowMargin.Microseconds()) {
		return verdict{}
	}
	why := fmt.Sprintf("mean %.1fms is %.1fx the group's %.1fms", math.Exp(r.Mean)/1000, math.Exp(diff), math.Exp(g.mean)/1000)
	return verdict{bad: diff / limit, why: why}
}

// advance updates since when the evidence has lasted.
func (d *Detector) advance(now time.Time, s *standing, class int) {
	if s.verdict.bad == 0 {
		s.badSince, s.peerSeq = time.Time{}, nil
		return
	}
	if !s.badSince.IsZero() {
		return
	}
	s.badSince, s.badSeq = now, s.report.Seq
	s.peerSeq = make(map[string]uint64, len(d.ids))
	for _, id := range d.ids {
		s.peerSeq[id] = d.members[id].classes[class].report.Seq
	}
}

// lasting reports whether the evidence has lasted and was renewed by later samples of the upstream and of most others, so that a change that reaches all of them at about the same time is no sickness of one.
func (d *Detector) lasting(now time.Time, s *standing, class int) bool {
	if s.verdict.bad == 0 {
		return false
	}
	if s.verdict.stuck {
		return true
	}
	if now.Sub(s.badSince) < persist || s.report.Seq < s.badSeq+ownRenewal {
		return false
	}
	known := 0
	var renewed []*standing
	for _, id := range d.ids {
		p := &d.members[id].classes[class]
		if p == s || p.at.IsZero() || p.status != Serving || now.Sub(p.at) > reportAge {
			continue
		}
		known++
		if p.report.Seq >= s.peerSeq[id]+peerRenewal {
			renewed = append(renewed, p)
		}
	}
	if 2*len(renewed) < known {
		return false
	}
	g := groupOf(append(renewed, s))
	return judge(now, s, g).bad > 0
}

// returns moves upstreams from ejection to trial and from trial to service or back.
func (d *Detector) returns(now time.Time, class int, g group, out []Change) []Change {
	for _, id := range d.ids {
		s := &d.members[id].classes[class]
		switch {
		case s.status == Ejected && !now.Before(s.until):
			s.status, s.trialSeq = Trying, s.report.Seq
			out = append(out, Change{ID: id, Class: class, To: Trying, Why: "ejection ended"})
		case s.status == Trying && s.report.Seq >= s.trialSeq+trialBad && s.verdict.bad > 0 && s.at.After(s.until):
			s.eject(now)
			out = append(out, Change{ID: id, Class: class, To: Ejected, Why: "trial failed: " + s.verdict.why})
		case s.status == Trying && s.well(g):
			s.status = Serving
			why := fmt.Sprintf("trial succeeded over %d samples", s.report.Seq-s.trialSeq)
			out = append(out, Change{ID: id, Class: class, To: Serving, Why: why})
		}
	}
	return out
}

func (s *standing) well(g group) bool {
	if s.report.Seq < s.trialSeq+trialSamples || s.verdict.bad > 0 {
		return false
	}
	return s.report.Mean-g.mean < math.Log(trialRatio) && s.report.Failure() <= g.fail+failMargin
}

func (s *standing) eject(now time.Time) {
	if s.ejected.IsZero() || now.Sub(s.ejected) > relapseSpan+s.backoff() {
		s.relapses = 0
	} else {
		s.relapses++
	}
	s.status, s.ejected = Ejected, now
	s.until = now.Add(s.backoff())
	s.badSince = time.Time{}
}

func (s *standing) backoff() time.Duration {
	return min(maxBackoff, firstBackoff<<min(s.relapses, 10))
}

type candidate struct {
	id    string
	class int
	s     *standing
}

// eject takes the worst upstreams out of service as far as the floor allows.
func (d *Detector) eject(now time.Time, out []Change) []Change {
	list := d.candidates(now)
	slices.SortFunc(list, func(a, b candidate) int {
		switch {
		case a.s.verdict.bad > b.s.verdict.bad:
			return -1
		case a.s.verdict.bad < b.s.verdict.bad:
			return 1
		}
		return strings.Compare(a.id, b.id)
	})
	for _, c := range list {
		if !d.members[c.id].out() && d.room() <= 0 {
			continue
		}
		c.s.eject(now)
		out = append(out, Change{ID: c.id, Class: c.class, To: Ejected, Why: c.s.verdict.why})
	}
	return out
}

func (d *Detector) candidates(now time.Time) []candidate {
	var list []candidate
	for _, id := range d.ids {
		m := d.members[id]
		for class := range m.classes {
			s := &m.classes[class]
			if s.status == Serving && d.lasting(now, s, class) {
				list = append(list, candidate{id: id, class: class, s: s})
			}
		}
	}
	return list
}

// room returns how many more upstreams may leave service: of all registered ones, reachable or not, the floor stays.
func (d *Detector) room() int {
	in := 0
	for _, id := range d.ids {
		if m := d.members[id]; m.reachable && !m.out() {
			in++
		}
	}
	return in - d.Floor()
}

// Floor returns the number of upstreams that ejection must leave in service.
func (d *Detector) Floor() int {
	return int(math.Ceil(d.floor*float64(len(d.ids)) - 1e-9))
}

// InService returns the number of reachable upstreams that are not ejected in any class.
func (d *Detector) InService() int { return d.room() + d.Floor() }

// Out returns the upstreams that are ejected or on trial in some class.
func (d *Detector) Out() []string {
	var out []string
	for _, id := range d.ids {
		if d.members[id].out() {
			out = append(out, id)
		}
	}
	return out
}
