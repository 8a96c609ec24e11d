package admission

import (
	"math"
	"time"
)

// Parameters of the queue and of the adaptive concurrency limit.
const (
	queuePerSlot      = 4                      // requests that one class may queue per slot of the limit
	maxWait           = 250 * time.Millisecond // longest expected wait at which a request is still queued if no objective is known
	minWait           = 50 * time.Millisecond  // expected wait up to which a request is queued whatever the objective
	maxWaitShare      = 0.3                    // share of the slack before the objective that may be spent waiting, since service times vary
	minTimeShare      = 0.5                    // share of the mean service time that must remain before the deadline for a request to start
	serviceTimeMargin = 1.2                    // multiple of the mean service time that is subtracted from the objective to get the slack
	creditWindow      = 500 * time.Millisecond // time over which an unused guaranteed share accumulates
	serviceWeight     = 0.05                   // weight of a new sample in the mean service time
	refusalTTL        = 100 * time.Millisecond // time for which a refusal is advertised
	growInterval      = time.Second            // time after a change of the limit until it grows by one
	shrinkInterval    = 500 * time.Millisecond // minimum time between a change of the limit and a decrease
)

// Reason is why a request was refused before it started.
type Reason string

// Reasons for a refusal.
const (
	Overload Reason = "overload"
	Expired  Reason = "expired"
	Draining Reason = "draining"
)

// Class is the configuration of one class of work.
type Class struct {
	Name     string
	Priority int
	Share    float64

	NonIdempotent bool          // the work must not run twice, so it can't be retried at another upstream
	Objective     time.Duration // target response time; 0 if it is not known
}

// Request asks for a slot.
type Request struct {
	ID         uint64
	ClassIndex int
	Deadline   time.Time
}

// Decision says whether a request starts or is refused, and why it is refused.
type Decision struct {
	ID     uint64
	Start  bool
	Reason Reason
}

// Load is the number of running and queued requests and the concurrency limit.
type Load struct {
	Running int
	Queued  int
	Limit   int
}

type class struct {
	Class
	queue     []Request
	credit    float64 // unused guaranteed share in slot-seconds; negative if overdrawn
	mean      float64 // service time in seconds
	refusedAt time.Time
}

type running struct {
	class int
	start time.Time
	cost  float64 // slot-seconds charged to the credit at the start
}

// Controller shares the slots of one upstream among classes of work.
type Controller struct {
	slots          int
	limit          int
	classes        []class
	order          []int // classes by priority
	running        map[uint64]running
	queued         int
	draining       bool
	accruedAt      time.Time
	limitChangedAt time.Time
}

// New returns a controller for an upstream with the given slots; classes are referred to by their index in the slice.
func New(slots int, classes []Class) *Controller {
	c := &Controller{running: make(map[uint64]running)}
	c.SetSlots(slots)
	c.SetClasses(classes)
	return c
}

// SetSlots changes the slots of the upstream and resets the adaptive limit to them.
func (c *Controller) SetSlots(slots int) {
	c.slots = max(1, slots)
	c.limit = c.slots
}

// SetClasses replaces the classes when a new bundle takes effect and refuses the requests queued under the old ones.
func (c *Controller) SetClasses(classes []Class) []Decision {
	out := c.flush(Overload)
	old := c.classes
	c.classes = make([]class, len(classes))
	c.order = c.order[:0]
	for i, k := range classes {
		c.classes[i] = class{Class: k}
		for _, o := range old {
			if o.Name == k.Name {
				c.classes[i].mean = o.mean
				c.classes[i].credit = o.credit
			}
		}
		c.order = append(c.order, i)
	}
	c.sortOrder()
	for id, r := range c.running {
		r.class = min(r.class, len(classes)-1)
		c.running[id] = r
	}
	return out
}

// precedes reports whether the class is served before o: by priority, then non-idempotent classes first.
func (k Class) precedes(o Class) bool {
	if k.Priority != o.Priority {
		return k.Priority < o.Priority
	}
	return k.NonIdempotent && !o.NonIdempotent
}

func (c *Controller) sortOrder() {
	for i := 1; i < len(c.order); i++ {
		for j := i; j > 0 && c.classes[c.order[j]].precedes(c.classes[c.order[j-1]].Class); j-- {
			c.order[j], c.order[j-1] = c.order[j-1], c.order[j]
		}
	}
}

// SetDraining turns draining on or off; while it is on, queued and new requests are refused and running ones continue.
func (c *Controller) SetDraining(on bool) []Decision {
	c.draining = on
	if !on {
		return nil
	}
	return c.flush(Draining)
}

func (c *Controller) flush(reason Reason) []Decision {
	var out []Decision
	for i := range c.classes {
		for _, r := range c.classes[i].queue {
			out = append(out, Decision{ID: r.ID, Reason: reason})
		}
		c.classes[i].queue = nil
	}
	c.queued = 0
	return out
}

// Offer queues or refuses a new request and returns the decisions that follow; a request without a decision waits in the queue.
func (c *Controller) Offer(now time.Time, r Request) []Decision {
	c.accrueCredit(now)
	k := &c.classes[r.ClassIndex]
	if reason := c.refusalReason(now, r, k); reason != "" {
		if reason == Overload {
			k.refusedAt = now
		}
		return []Decision{{ID: r.ID, Reason: reason}}
	}
	k.queue = append(k.queue, r)
	c.queued++
	return c.dispatch(now, nil)
}

func (c *Controller) refusalReason(now time.Time, r Request, k *class) Reason {
	if c.draining {
		return Draining
	}
	if !now.Before(r.Deadline) {
		return Expired
	}
	if len(c.running) < c.limit && c.queued == 0 {
		return ""
	}
	if len(k.queue) >= queuePerSlot*c.limit {
		return Overload
	}
	wait := c.expectedWait(r.ClassIndex)
	if wait > k.maxQueueWait() || now.Add(wait+seconds(k.mean)).After(r.Deadline) {
		return Overload
	}
	return ""
}

// maxQueueWait returns the longest expected wait at which a request is still queued.
func (k *class) maxQueueWait() time.Duration {
	if k.Objective == 0 {
		return maxWait
	}
	return max(minWait, time.Duration(maxWaitShare*float64(k.Objective-seconds(serviceTimeMargin*k.mean))))
}

// expectedWait estimates the time until a new request of the class would start.
func (c *Controller) expectedWait(index int) time.Duration {
	k := &c.classes[index]
	ahead := 0.0
	for i := range c.classes {
		o := &c.classes[i]
		if !k.precedes(o.Class) {
			ahead += float64(len(o.queue)) * o.mean
		}
	}
	wait := ahead / float64(c.limit)
	if k.Share > 0 {
		own := float64(len(k.queue)) * k.mean / (k.Share * float64(c.limit))
		wait = math.Min(wait, own)
	}
	return seconds(wait)
}

// Cancel removes a queued request and reports whether it was still queued.
func (c *Controller) Cancel(id uint64) bool {
	for i := range c.classes {
		q := c.classes[i].queue
		for j := range q {
			if q[j].ID == id {
				c.classes[i].queue = append(q[:j], q[j+1:]...)
				c.queued--
				return true
			}
		}
	}
	return false
}

// Result is how a started request ended.
type Result struct {
	Shed   bool // the upstream shed the request
	Failed bool // the service time is not representative of the class
}

// Done releases the slot of a started request and returns the decisions that follow.
func (c *Controller) Done(now time.Time, id uint64, res Result) []Decision {
	r, ok := c.running[id]
	if !ok {
		return nil
	}
	c.accrueCredit(now)
	delete(c.running, id)
	serviceTime := now.Sub(r.start).Seconds()
	k := &c.classes[r.class]
	k.credit += r.cost - serviceTime
	if !res.Shed && !res.Failed {
		k.updateMean(serviceTime)
	}
	c.adapt(now, res)
	return c.dispatch(now, nil)
}

func (k *class) updateMean(serviceTime float64) {
	if k.mean == 0 {
		k.mean = serviceTime
		return
	}
	k.mean += serviceWeight * (serviceTime - k.mean)
}

// adapt lowers the limit when the upstream sheds at full concurrency, and raises it again as time passes.
// Shedding below the limit is ignored because its cause is not the load that this controller admits.
func (c *Controller) adapt(now time.Time, res Result) {
	if res.Shed && len(c.running)+1 >= c.limit && now.Sub(c.limitChangedAt) >= shrinkInterval {
		c.limitChangedAt = now
		c.limit = max((c.slots+1)/2, c.limit-1)
	}
	c.grow(now)
}

// grow raises the limit by one, up to the slots, once growInterval has passed since its last change.
func (c *Controller) grow(now time.Time) {
	if c.limit < c.slots && now.Sub(c.limitChangedAt) >= growInterval {
		c.limitChangedAt = now
		c.limit++
	}
}

// Tick refuses queued requests that can hardly meet their deadline and starts those that can start.
func (c *Controller) Tick(now time.Time) []Decision {
	c.accrueCredit(now)
	c.grow(now)
	return c.dispatch(now, c.expire(now))
}

func (c *Controller) expire(now time.Time) []Decision {
	var out []Decision
	for i := range c.classes {
		k := &c.classes[i]
		q := k.queue
		keep := q[:0]
		for _, r := range q {
			if !k.tooLate(now, r) {
				keep = append(keep, r)
				continue
			}
			c.queued--
			out = append(out, Decision{ID: r.ID, Reason: Expired})
		}
		c.classes[i].queue = keep
	}
	return out
}

// accrueCredit credits each class with its guaranteed share of the time since the last call.
func (c *Controller) accrueCredit(now time.Time) {
	dt := now.Sub(c.accruedAt).Seconds()
	if c.accruedAt.IsZero() || dt < 0 {
		dt = 0
	}
	c.accruedAt = now
	for i := range c.classes {
		k := &c.classes[i]
		rate := k.Share * float64(c.limit)
		bound := rate*creditWindow.Seconds() + k.mean
		k.credit = max(-bound, min(bound, k.credit+rate*dt))
	}
}

// tooLate reports whether the request can hardly complete before its deadline.
func (k *class) tooLate(now time.Time, r Request) bool {
	return !now.Add(seconds(minTimeShare * k.mean)).Before(r.Deadline)
}

// dispatch starts queued requests while slots are free: first classes with credit left, then the others, by priority within each.
func (c *Controller) dispatch(now time.Time, out []Decision) []Decision {
	for c.queued > 0 && len(c.running) < c.limit {
		i := c.nextClass()
		k := &c.classes[i]
		r := k.queue[0]
		k.queue = k.queue[1:]
		c.queued--
		if k.tooLate(now, r) {
			out = append(out, Decision{ID: r.ID, Reason: Expired})
			continue
		}
		k.credit -= k.mean
		c.running[r.ID] = running{class: i, start: now, cost: k.mean}
		out = append(out, Decision{ID: r.ID, Start: true})
	}
	return out
}

func (c *Controller) nextClass() int {
	first := -1
	for _, i := range c.order {
		k := &c.classes[i]
		if len(k.queue) == 0 {
			continue
		}
		if k.credit > 0 && k.Share > 0 {
			return i
		}
		if first < 0 {
			first = i
		}
	}
	return first
}

// EachRunning calls f for each running request with its class and start time.
func (c *Controller) EachRunning(f func(id uint64, class int, start time.Time)) {
	for id, r := range c.running {
		f(id, r.class, r.start)
	}
}

// Load returns the load that is reported with responses.
func (c *Controller) Load(now time.Time) Load {
	return Load{Running: len(c.running), Queued: c.queued, Limit: c.limit}
}

// Refusing reports whether a request of the class was refused for overload within refusalTTL.
func (c *Controller) Refusing(now time.Time, class int) bool {
	r := c.classes[class].refusedAt
	return !r.IsZero() && now.Sub(r) < refusalTTL
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
