package admission

import (
	"math"
	"time"
)

// Limits of the queue and the adaptive limit.
const (
	queuePerSlot  = 4                      // tickets that one class may queue for each slot
	maxWait       = 250 * time.Millisecond // longest expected wait that is still queued where no objective is known
	minWait       = 50 * time.Millisecond  // expected wait that is always queued
	waitShare     = 0.3                    // part of the time to spare that work may wait, since service times vary
	leastShare    = 0.5                    // part of the mean service time below which work is not started
	meanMargin    = 1.2                    // ratio of the mean service time that must be left of the objective
	creditWindow  = 500 * time.Millisecond // span over which an unused guaranteed share is kept
	serviceWeight = 0.05                   // weight of a new sample in the mean service time
	refuseHold    = 100 * time.Millisecond // span for which a refusal is advertised
	growAfter     = time.Second            // span without shedding after which the limit grows by one
	shedHold      = 500 * time.Millisecond // span after a decrease in which no further one happens
)

// Reason says why a ticket was refused before it started.
type Reason string

// The reasons for a refusal.
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

	NonIdempotent      bool          // the work must not run twice, so that it can't be saved by another upstream
	Objective time.Duration // time within which an answer has its full worth; 0 where it is not known
}

// Request is one request that asks for a slot.
type Request struct {
	ID       uint64
	Class    int
	Deadline time.Time
}

// Decision is the decision on a ticket: it starts, or is refused for a reason.
type Decision struct {
	ID     uint64
	Start  bool
	Reason Reason
}

// Load describes the controller at one moment.
type Load struct {
	Running int
	Queued  int
	Limit   int
}

type class struct {
	Class
	queue   []Request
	credit  float64 // slot-seconds
	mean    float64 // service time in seconds
	refused time.Time
}

type running struct {
	class int
	start time.Time
	cost  float64 // slot-seconds charged at the start
}

// Controller shares the slots of one upstream among classes of work.
type Controller struct {
	slots    int
	limit    int
	classes  []class
	order    []int // classes by priority
	running  map[uint64]running
	queued   int
	draining bool
	last     time.Time
	cut      time.Time
}

// New returns a controller of an upstream with the given slots; classes are indexed as passed.
func New(slots int, classes []Class) *Controller {
	c := &Controller{running: make(map[uint64]running)}
	c.SetSlots(slots)
	c.SetClasses(classes)
	return c
}

// SetSlots changes the slots of the upstream and resets the adaptive limit.
func (c *Controller) SetSlots(slots int) {
	c.slots = max(1, slots)
	c.limit = c.slots
}

// SetClasses replaces the classes when a new bundle is in force and refuses what was queued under the old ones.
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

// before reports whether the class is served before o: by priority, then work that can't be repeated elsewhere.
func (k Class) before(o Class) bool {
	if k.Priority != o.Priority {
		return k.Priority < o.Priority
	}
	return k.NonIdempotent && !o.NonIdempotent
}

func (c *Controller) sortOrder() {
	for i := 1; i < len(c.order); i++ {
		for j := i; j > 0 && c.classes[c.order[j]].before(c.classes[c.order[j-1]].Class); j-- {
			c.order[j], c.order[j-1] = c.order[j-1], c.order[j]
		}
	}
}

// Drain refuses all queued and later tickets; running work goes on.
func (c *Controller) Drain(on bool) []Decision {
	c.draining = on
	if !on {
		return nil
	}
	return c.flush(Draining)
}

func (c *Controller) flush(reason Reason) []Decision {
	var out []Decision
	for i := range c.classes {
		for _, t := range c.classes[i].queue {
			out = append(out, Decision{ID: t.ID, Reason: reason})
		}
		c.classes[i].queue = nil
	}
	c.queued = 0
	return out
}

// Offer takes a new ticket and returns the verdicts that follow; without a verdict the ticket waits.
func (c *Controller) Offer(now time.Time, t Request) []Decision {
	c.accrue(now)
	k := &c.classes[t.Class]
	if reason := c.refuse(now, t, k); reason != "" {
		if reason == Overload {
			k.refused = now
		}
		return []Decision{{ID: t.ID, Reason: reason}}
	}
	k.queue = append(k.queue, t)
	c.queued++
	return c.dispatch(now, nil)
}

func (c *Controller) refuse(now time.Time, t Request, k *class) Reason {
	if c.draining {
		return Draining
	}
	if !now.Before(t.Deadline) {
		return Expired
	}
	if len(c.running) < c.limit && c.queued == 0 {
		return ""
	}
	if len(k.queue) >= queuePerSlot*c.limit {
		return Overload
	}
	wait := c.wait(t.Class)
	if wait > k.patience() || now.Add(wait+seconds(k.mean)).After(t.Deadline) {
		return Overload
	}
	return ""
}

// patience is the longest wait after which an answer is still in time.
func (k *class) patience() time.Duration {
	if k.Objective == 0 {
		return maxWait
	}
	return max(minWait, time.Duration(waitShare*float64(k.Objective-seconds(meanMargin*k.mean))))
}

// wait estimates the time until a new ticket of the class would start.
func (c *Controller) wait(index int) time.Duration {
	k := &c.classes[index]
	ahead := 0.0
	for i := range c.classes {
		o := &c.classes[i]
		if !k.before(o.Class) {
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

// Cancel removes a queued ticket and reports whether it had not started.
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

// Result tells how started work ended.
type Result struct {
	Shed   bool // the upstream refused the work
	Failed bool // the service time says nothing about the class
}

// Done releases the slot of started work and returns the verdicts that follow.
func (c *Controller) Done(now time.Time, id uint64, res Result) []Decision {
	r, ok := c.running[id]
	if !ok {
		return nil
	}
	c.accrue(now)
	delete(c.running, id)
	took := now.Sub(r.start).Seconds()
	k := &c.classes[r.class]
	k.credit += r.cost - took
	if !res.Shed && !res.Failed {
		k.learn(took)
	}
	c.adapt(now, res)
	return c.dispatch(now, nil)
}

func (k *class) learn(took float64) {
	if k.mean == 0 {
		k.mean = took
		return
	}
	k.mean += serviceWeight * (took - k.mean)
}

// adapt lowers the limit when the upstream sheds while it is full, and raises it again as time passes; an upstream that sheds with slots free does so for other reasons than its load.
func (c *Controller) adapt(now time.Time, res Result) {
	if res.Shed && len(c.running)+1 >= c.limit && now.Sub(c.cut) >= shedHold {
		c.cut = now
		c.limit = max((c.slots+1)/2, c.limit-1)
	}
	c.grow(now)
}

// grow raises the limit by one for each span without shedding.
func (c *Controller) grow(now time.Time) {
	if c.limit < c.slots && now.Sub(c.cut) >= growAfter {
		c.cut = now
		c.limit++
	}
}

// Tick refuses queued tickets whose deadline has passed and starts what can start.
func (c *Controller) Tick(now time.Time) []Decision {
	c.accrue(now)
	c.grow(now)
	return c.dispatch(now, c.expire(now))
}

func (c *Controller) expire(now time.Time) []Decision {
	var out []Decision
	for i := range c.classes {
		k := &c.classes[i]
		q := k.queue
		keep := q[:0]
		for _, t := range q {
			if !k.hopeless(now, t) {
				keep = append(keep, t)
				continue
			}
			c.queued--
			out = append(out, Decision{ID: t.ID, Reason: Expired})
		}
		c.classes[i].queue = keep
	}
	return out
}

// accrue adds the guaranteed share of the time since the last call to each class.
func (c *Controller) accrue(now time.Time) {
	dt := now.Sub(c.last).Seconds()
	if c.last.IsZero() || dt < 0 {
		dt = 0
	}
	c.last = now
	for i := range c.classes {
		k := &c.classes[i]
		rate := k.Share * float64(c.limit)
		bound := rate*creditWindow.Seconds() + k.mean
		k.credit = max(-bound, min(bound, k.credit+rate*dt))
	}
}

// hopeless reports whether the ticket can hardly be answered before its deadline.
func (k *class) hopeless(now time.Time, t Request) bool {
	return !now.Add(seconds(leastShare * k.mean)).Before(t.Deadline)
}

// dispatch starts queued tickets while slots are free: classes within their share first, each group by priority.
func (c *Controller) dispatch(now time.Time, out []Decision) []Decision {
	for c.queued > 0 && len(c.running) < c.limit {
		i := c.next()
		k := &c.classes[i]
		t := k.queue[0]
		k.queue = k.queue[1:]
		c.queued--
		if k.hopeless(now, t) {
			out = append(out, Decision{ID: t.ID, Reason: Expired})
			continue
		}
		k.credit -= k.mean
		c.running[t.ID] = running{class: i, start: now, cost: k.mean}
		out = append(out, Decision{ID: t.ID, Start: true})
	}
	return out
}

func (c *Controller) next() int {
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

// EachRunning calls f for all running work with its class and start.
func (c *Controller) EachRunning(f func(id uint64, class int, start time.Time)) {
	for id, r := range c.running {
		f(id, r.class, r.start)
	}
}

// Load returns the figures that ride on answers.
func (c *Controller) Load(now time.Time) Load {
	return Load{Running: len(c.running), Queued: c.queued, Limit: c.limit}
}

// Refusing reports whether tickets of the class were refused a short while ago.
func (c *Controller) Refusing(now time.Time, class int) bool {
	r := c.classes[class].refused
	return !r.IsZero() && now.Sub(r) < refuseHold
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
