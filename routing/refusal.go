package routing

import (
	"math/rand/v2"
	"time"

	"github.com/jasminevane/jasminevane/admission"
)

// Times for which an upstream that reported a refusal is not used for that class and priority.
const (
	refusalTTL      = 75 * time.Millisecond  // without a time after which room is expected
	maxRefusalTTL   = 300 * time.Millisecond // the queue of a gate must not run empty meanwhile
	refusalTTLShare = 0.25                   // share of the time after which room is expected, since that leaves room for those that return
)

// refusal is what an upstream last reported about refusing a class. The zero value is no refusal.
type refusal struct {
	until    time.Time // the refusal is believed before this time
	from     int       // the most urgent priority that is refused
	returnAt time.Time // time at which the gate expects room; zero if unknown
}

// record records the report of an attempt.
func (r *refusal) record(now time.Time, o Observation) {
	*r = refusal{}
	if !o.Refusing {
		return
	}
	ttl := refusalTTL
	if o.RetryAfter > 0 {
		ttl = min(maxRefusalTTL, max(refusalTTL, time.Duration(refusalTTLShare*float64(o.RetryAfter))))
		r.returnAt = now.Add(o.RetryAfter)
	}
	r.until, r.from = now.Add(ttl), o.RefusedFrom
}

// holds reports whether a request of the priority would be refused.
func (r *refusal) holds(now time.Time, priority int) bool {
	return now.Before(r.until) && priority >= r.from
}

// returnTime returns the mean time after which the upstreams that refuse the query expect room, varied at random, or 0 if unknown.
func (lb *Balancer) returnTime(now time.Time, q *Query, rnd *rand.Rand) time.Duration {
	sum, n := time.Duration(0), 0
	for tier := SameDataCentre; tier <= q.farthestTier(); tier++ {
		for _, e := range lb.ready[tier] {
			r := &e.classReport(q.ClassIndex).refusal
			if r.holds(now, q.Priority) && r.returnAt.After(now) {
				sum += r.returnAt.Sub(now)
				n++
			}
		}
	}
	if n == 0 {
		return 0
	}
	return admission.SpreadReturn(sum/time.Duration(n), q.TimeLeft, rnd.Float64())
}
