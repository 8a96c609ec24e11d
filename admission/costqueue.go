package admission

import (
	"cmp"
	"slices"
	"time"
)

// Parameters of the policy ByCost.
const (
	maxDelayLoss  = 0.01 // maximum ratio of the loss by the wait to the loss by a refusal at which an arriving request is queued
	maxQueuedLoss = 0.15 // share of its worth at the offer after whose expected loss a queued request is refused
	minWorth      = 0.1  // expected worth below which a request is not started
	maxPriority   = 9
	owedPriority  = -1 // rank of a request that is owed a slot, before all priorities
)

// costQueue is the state of the policy ByCost.
type costQueue struct {
	waiting []candidate
	classes tracker[string] // by class name
	levels  tracker[int]    // by priority
	callers callerShares    // by caller name
	all     tally
	returns returnPlan
}

// flush empties the queue and returns the refusals.
func (q *costQueue) flush(reason Reason) []Decision {
	var refusals []Decision
	for i := range q.waiting {
		refusals = append(refusals, Decision{ID: q.waiting[i].ID, Reason: reason})
	}
	q.waiting = nil
	return refusals
}

// remove removes a request from the queue and reports whether it was there.
func (q *costQueue) remove(id uint64) bool {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(c candidate) bool { return c.ID == id })
	return len(q.waiting) < before
}

// recordOffer counts a request that was offered.
func (q *costQueue) recordOffer(now time.Time, c *candidate) {
	q.all.recordOffer(now, c.times.mean)
	for _, t := range q.tallies(now, c) {
		if t != nil {
			t.recordOffer(now, c.times.mean)
		}
	}
}

// recordStart counts a request that starts.
func (q *costQueue) recordStart(now time.Time, c *candidate) {
	q.all.recordStart(now, c.times.mean)
	for _, t := range q.tallies(now, c) {
		if t != nil {
			t.recordStart(now, c.times.mean)
		}
	}
}

// tallies returns the tallies to which the request counts besides that of all requests; that of the caller is nil if it is unknown.
func (q *costQueue) tallies(now time.Time, c *candidate) [3]*tally {
	tallies := [3]*tally{q.classes.get(now, c.class.Name), q.levels.get(now, c.Priority)}
	if c.Caller != "" {
		tallies[2] = q.callers.get(now, c.Caller)
	}
	return tallies
}

// assess brings what ranks the request up to date.
func (q *costQueue) assess(now time.Time, c *candidate) {
	c.times = c.class.times.orPrior(c.class.Objective)
	c.late = !c.canBeInTime(now)
	c.owed, c.overuse = false, 0
	for _, t := range q.tallies(now, c) {
		c.owed = c.owed || t != nil && t.owed(now, &q.all)
	}
	if c.Caller != "" && !c.Nested {
		c.overuse = q.callers.overuse(now, c.Caller, c.times.mean, &q.all)
	}
}

// rank returns the priority by which the request is ordered.
func (c *candidate) rank() int {
	if c.owed {
		return owedPriority
	}
	return c.Priority
}

// order sorts the queue by the order in which the requests are started.
func (q *costQueue) order(now time.Time) {
	for i := range q.waiting {
		q.assess(now, &q.waiting[i])
	}
	slices.SortStableFunc(q.waiting, func(a, b candidate) int { return compare(&a, &b) })
}

// compare returns a negative number if a is started before b. What can be in time goes first, then the more urgent, then nested calls, then
// callers within their share, then what has more worth for its work, then what arrived first.
func compare(a, b *candidate) int {
	return cmp.Or(
		falseFirst(a.late, b.late),
		cmp.Compare(a.rank(), b.rank()),
		falseFirst(!a.Nested, !b.Nested),
		cmp.Compare(a.overuse, b.overuse),
		cmp.Compare(b.worthByWork(), a.worthByWork()),
		a.Arrived.Compare(b.Arrived),
		cmp.Compare(a.ID, b.ID),
	)
}

func falseFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// offerByCost queues or refuses a new request.
func (c *Controller) offerByCost(now time.Time, r Request) []Decision {
	q := c.cost
	r.Priority = max(0, min(maxPriority, r.Priority))
	candidate := newCandidate(now, r, &c.classes[r.ClassIndex])
	if c.draining {
		return []Decision{{ID: r.ID, Reason: Draining}}
	}
	q.recordOffer(now, &candidate)
	if candidate.worthAtOffer < minWorth || !now.Before(r.Deadline) {
		return []Decision{c.giveUp(now, &candidate)}
	}
	q.order(now)
	q.assess(now, &candidate)
	wait := c.waitOf(&candidate)
	if c.tooLong(now, &candidate, wait) {
		return []Decision{c.refuse(now, &candidate, wait)}
	}
	q.waiting = append(q.waiting, candidate)
	c.queued++
	decisions := c.dispatchByCost(now, nil)
	return append(decisions, c.shed(now)...)
}

// waitOf returns the expected time until a request would start, given the requests in the queue that are started before it.
func (c *Controller) waitOf(candidate *candidate) time.Duration {
	ahead, work := 0, 0.0
	for i := range c.cost.waiting {
		other := &c.cost.waiting[i]
		if other.ID != candidate.ID && compare(other, candidate) < 0 {
			ahead++
			work += other.times.mean
		}
	}
	if ahead < c.limit-len(c.running) {
		return 0
	}
	return seconds((work + c.meanRunningWork()) / float64(c.limit))
}

// meanRunningWork returns the mean of the expected service times of the running requests in seconds.
func (c *Controller) meanRunningWork() float64 {
	sum := 0.0
	for _, r := range c.running {
		if r.classIndex != NoClass {
			sum += c.classes[r.classIndex].expectedWork()
		}
	}
	return sum / float64(max(1, len(c.running)))
}

// expectedWork returns the expected service time of the class in seconds.
func (k *class) expectedWork() float64 { return k.times.orPrior(k.Objective).mean }

// tooLong reports whether an arriving request loses too much of its worth by the wait.
func (c *Controller) tooLong(now time.Time, candidate *candidate, wait time.Duration) bool {
	if wait == 0 {
		return false
	}
	if c.queued >= maxQueuePerSlot*c.limit {
		return true
	}
	if !candidate.Nested && wait > candidate.class.maxQueueWait() {
		return true
	}
	l := candidate.lossAfter(now, wait)
	return l.refusal < minWorth || l.delay > maxDelayLoss*l.refusal
}

// giveUp returns the refusal of a request that can't be answered with enough worth any more.
func (c *Controller) giveUp(now time.Time, candidate *candidate) Decision {
	return Decision{ID: candidate.ID, Reason: Expired, RetryAfter: c.returnTime(now, candidate, 0)}
}

// returnTime returns the time after which a refused request is to return, given the wait that it would have.
func (c *Controller) returnTime(now time.Time, candidate *candidate, wait time.Duration) time.Duration {
	interval := seconds(c.meanRunningWork() / float64(c.limit))
	return c.cost.returns.hint(now, candidate.Priority, wait, interval, candidate.Deadline.Sub(now))
}

// refuse returns the refusal of a request for overload.
func (c *Controller) refuse(now time.Time, candidate *candidate, wait time.Duration) Decision {
	class := candidate.class
	fresh := newCandidate(now, Request{Deadline: now.Add(candidate.Deadline.Sub(candidate.Arrived))}, class)
	if candidate.overuse <= 0 && c.tooLong(now, &fresh, wait) {
		class.recordRefusal(now, candidate.Priority)
	}
	return Decision{ID: candidate.ID, Reason: Overload, RetryAfter: c.returnTime(now, candidate, wait)}
}

// shed refuses the queued requests that can hardly meet their deadline, and those that are expected to lose too much of their worth
// behind others that came before them.
func (c *Controller) shed(now time.Time) []Decision {
	q := c.cost
	q.order(now)
	var refusals []Decision
	work := c.meanRunningWork()
	kept := q.waiting[:0]
	for i := range q.waiting {
		candidate := q.waiting[i]
		wait := seconds(work / float64(c.limit))
		switch {
		case candidate.worthAt(now) < minWorth || !now.Before(candidate.Deadline):
			refusals = append(refusals, c.giveUp(now, &candidate))
		case candidate.worthAt(now.Add(wait)) < (1-maxQueuedLoss)*candidate.worthAtOffer:
			refusals = append(refusals, c.refuse(now, &candidate, wait))
		default:
			kept = append(kept, candidate)
			work += candidate.times.mean
		}
	}
	q.waiting = kept
	c.queued = len(kept)
	return refusals
}

// dispatchByCost starts queued requests while slots are free and appends its decisions to those given.
func (c *Controller) dispatchByCost(now time.Time, decisions []Decision) []Decision {
	q := c.cost
	for len(q.waiting) > 0 && len(c.running) < c.limit {
		q.order(now)
		candidate := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		c.queued--
		if candidate.worthAt(now) < minWorth || !now.Before(candidate.Deadline) {
			decisions = append(decisions, c.giveUp(now, &candidate))
			continue
		}
		q.recordStart(now, &candidate)
		class := &c.classes[candidate.ClassIndex]
		class.credit -= class.mean
		c.running[candidate.ID] = runningRequest{classIndex: candidate.ClassIndex, startedAt: now, charged: class.mean}
		decisions = append(decisions, Decision{ID: candidate.ID, Start: true})
	}
	return decisions
}
