package admission

import (
	"math"
	"slices"
	"time"
)

// Parameters of the queue and of the adaptive concurrency limit.
const (
	maxQueuePerSlot     = 4                      // maximum queue length of one class, as a multiple of the concurrency limit
	maxWait             = 250 * time.Millisecond // maximum expected wait at which a request is queued if its class has no objective
	minWait             = 50 * time.Millisecond  // expected wait up to which a request is queued whatever the objective of its class
	maxWaitShare        = 0.3                    // maximum share of the slack that may be spent waiting in the queue, since service times vary
	minServiceTimeShare = 0.5                    // a request starts only if this share of the mean service time remains before its deadline
	serviceTimeMargin   = 1.2                    // the slack of a class is its objective minus this multiple of its mean service time
	creditWindow        = 500 * time.Millisecond // a class can accumulate its guaranteed share of this time, plus one mean service time
	sampleWeight        = 0.05                   // weight of a new sample in the mean service time
	refusalTTL          = 100 * time.Millisecond // time for which Refusing reports a refusal
	growInterval        = time.Second            // time after a change of the limit until it grows by one
	shrinkInterval      = 500 * time.Millisecond // minimum time after a change of the limit until it can be lowered
)

// class is a request class with its queue and its state.
type class struct {
	Class
	queue     []Request
	credit    float64   // unused guaranteed share in slot-seconds; negative if overdrawn
	mean      float64   // mean service time in seconds; 0 if there is no sample
	refusedAt time.Time // time of the last refusal for overload

	times           serviceTimes
	refusedPriority int // with the policy ByCost, the most urgent priority that was refused at refusedAt
}

// NoClass is the class index of a running request whose class the bundle in force lacks.
const NoClass = -1

// runningRequest is a request that has started and has not ended.
type runningRequest struct {
	classIndex int // or NoClass
	startedAt  time.Time
	charged    float64 // slot-seconds subtracted from the credit of the class at the start
}

// Controller divides the slots of one upstream among request classes.
type Controller struct {
	slots          int // maximum of the limit
	limit          int // adaptive limit on the number of running requests
	classes        []class
	dispatchOrder  []int                     // indices into classes, in the order in which they are served
	running        map[uint64]runningRequest // by request ID
	queued         int                       // number of queued requests of all classes
	draining       bool
	accruedAt      time.Time // time up to which the classes were credited
	limitChangedAt time.Time
	cost           *costQueue // state of the policy ByCost; nil with ByShare
}

// New returns a controller for an upstream with the given number of slots; a class is referred to by its index in classes.
func New(slots int, classes []Class) *Controller {
	c := &Controller{running: make(map[uint64]runningRequest)}
	c.SetSlots(slots)
	c.SetClasses(classes)
	return c
}

// SetSlots changes the number of slots of the upstream and resets the adaptive limit to that number.
func (c *Controller) SetSlots(slots int) {
	c.slots = max(1, slots)
	c.limit = c.slots
}

// SetClasses replaces the classes when a new configuration bundle takes effect and refuses all queued requests. A class that has the
// name of an old one keeps its mean service time, its credit and its running requests.
func (c *Controller) SetClasses(classes []Class) []Decision {
	refusals := c.flush(Overload)
	oldClasses := c.classes
	c.classes = make([]class, len(classes))
	c.dispatchOrder = c.dispatchOrder[:0]
	for i, config := range classes {
		c.classes[i] = class{Class: config}
		for _, old := range oldClasses {
			if old.Name == config.Name {
				c.classes[i].mean = old.mean
				c.classes[i].credit = old.credit
				c.classes[i].times = old.times
			}
		}
		c.dispatchOrder = append(c.dispatchOrder, i)
	}
	c.sortDispatchOrder()
	for id, r := range c.running {
		r.classIndex = c.newClassIndex(oldClasses, r.classIndex)
		c.running[id] = r
	}
	return refusals
}

// newClassIndex returns the index of the class that had oldIndex in oldClasses, or NoClass if it is gone.
func (c *Controller) newClassIndex(oldClasses []class, oldIndex int) int {
	if oldIndex == NoClass {
		return NoClass
	}
	name := oldClasses[oldIndex].Name
	return slices.IndexFunc(c.classes, func(k class) bool { return k.Name == name }) // -1, which is NoClass, if there is none
}

// precedes reports whether the class is served before the other. Classes are ordered by priority; among equals,
// non-idempotent classes come first.
func (k Class) precedes(other Class) bool {
	if k.Priority != other.Priority {
		return k.Priority < other.Priority
	}
	return k.NonIdempotent && !other.NonIdempotent
}

// sortDispatchOrder sorts dispatchOrder by precedence.
func (c *Controller) sortDispatchOrder() {
	for i := 1; i < len(c.dispatchOrder); i++ {
		for j := i; j > 0 && c.classes[c.dispatchOrder[j]].precedes(c.classes[c.dispatchOrder[j-1]].Class); j-- {
			c.dispatchOrder[j], c.dispatchOrder[j-1] = c.dispatchOrder[j-1], c.dispatchOrder[j]
		}
	}
}

// SetDraining turns draining on or off and returns the refusals of the queued requests. While draining is on, new requests are refused
// and running ones continue.
func (c *Controller) SetDraining(on bool) []Decision {
	c.draining = on
	if !on {
		return nil
	}
	return c.flush(Draining)
}

// flush refuses all queued requests.
func (c *Controller) flush(reason Reason) []Decision {
	var refusals []Decision
	for i := range c.classes {
		for _, r := range c.classes[i].queue {
			refusals = append(refusals, Decision{ID: r.ID, Reason: reason})
		}
		c.classes[i].queue = nil
	}
	if c.cost != nil {
		refusals = append(refusals, c.cost.flush(reason)...)
	}
	c.queued = 0
	return refusals
}

// Offer queues or refuses a new request and returns the decisions that are now due, which may be on other requests too.
// A request without a decision waits in the queue.
func (c *Controller) Offer(now time.Time, r Request) []Decision {
	if c.cost != nil {
		return c.offerByCost(now, r)
	}
	c.accrueCredit(now)
	class := &c.classes[r.ClassIndex]
	if reason := c.refusalReason(now, r, class); reason != "" {
		if reason == Overload {
			class.refusedAt = now
		}
		return []Decision{{ID: r.ID, Reason: reason}}
	}
	class.enqueue(r)
	c.queued++
	return c.dispatch(now, nil)
}

// refusalReason returns the reason to refuse a new request, or "" if it is to be queued.
func (c *Controller) refusalReason(now time.Time, r Request, class *class) Reason {
	if c.draining {
		return Draining
	}
	if !now.Before(r.Deadline) {
		return Expired
	}
	if len(c.running) < c.limit && c.queued == 0 {
		return ""
	}
	if len(class.queue) >= maxQueuePerSlot*c.limit {
		return Overload
	}
	wait := c.expectedWait(r.ClassIndex)
	if wait > class.maxQueueWait() || now.Add(wait+seconds(class.mean)).After(r.Deadline) {
		return Overload
	}
	return ""
}

// enqueue adds the request behind those of its class that are as urgent.
func (k *class) enqueue(r Request) {
	i := len(k.queue)
	for i > 0 && k.queue[i-1].Priority > r.Priority {
		i--
	}
	k.queue = slices.Insert(k.queue, i, r)
}

// maxQueueWait returns the maximum expected wait at which a request of the class is still queued.
func (k *class) maxQueueWait() time.Duration {
	if k.Objective == 0 {
		return maxWait
	}
	return max(minWait, time.Duration(maxWaitShare*float64(k.Objective-seconds(serviceTimeMargin*k.mean))))
}

// expectedWait estimates the time until a new request of the class would start.
func (c *Controller) expectedWait(classIndex int) time.Duration {
	class := &c.classes[classIndex]
	slotSecondsAhead := 0.0 // expected service time of the queued requests that are served before
	for i := range c.classes {
		other := &c.classes[i]
		if !class.precedes(other.Class) {
			slotSecondsAhead += float64(len(other.queue)) * other.mean
		}
	}
	waitSeconds := slotSecondsAhead / float64(c.limit)
	if class.Share > 0 {
		guaranteedWaitSeconds := float64(len(class.queue)) * class.mean / (class.Share * float64(c.limit))
		waitSeconds = math.Min(waitSeconds, guaranteedWaitSeconds)
	}
	return seconds(waitSeconds)
}

// Cancel removes a queued request and reports whether it was still queued.
func (c *Controller) Cancel(id uint64) bool {
	if c.cost != nil && c.cost.remove(id) {
		c.queued--
		return true
	}
	for i := range c.classes {
		queue := c.classes[i].queue
		for j := range queue {
			if queue[j].ID == id {
				c.classes[i].queue = append(queue[:j], queue[j+1:]...)
				c.queued--
				return true
			}
		}
	}
	return false
}

// Result describes how a started request ended.
type Result struct {
	Shed   bool // the upstream refused the request because of its own load
	Failed bool // the request failed, so its service time is not typical of the class
}

// Done releases the slot of a started request that has ended and returns the decisions that are now due.
func (c *Controller) Done(now time.Time, id uint64, result Result) []Decision {
	r, ok := c.running[id]
	if !ok {
		return nil
	}
	c.accrueCredit(now)
	delete(c.running, id)
	c.charge(r, now.Sub(r.startedAt).Seconds(), result)
	c.adapt(now, result)
	return c.dispatch(now, nil)
}

// charge counts the service time in seconds of a request that has ended for its class, if the bundle in force still has it.
func (c *Controller) charge(r runningRequest, serviceTime float64, result Result) {
	if r.classIndex == NoClass {
		return
	}
	class := &c.classes[r.classIndex]
	class.credit += r.charged - serviceTime
	class.times.add(serviceTime, class.Objective, result)
	if !result.Shed && !result.Failed {
		class.updateMean(serviceTime)
	}
}

// updateMean adds a service time in seconds to the moving average.
func (k *class) updateMean(serviceTime float64) {
	if k.mean == 0 {
		k.mean = serviceTime
		return
	}
	k.mean += sampleWeight * (serviceTime - k.mean)
}

// adapt lowers the limit when the upstream sheds load while the limit is reached, and raises it again over time.
// Load shedding below the limit is ignored because its cause is not the load that this controller admits.
func (c *Controller) adapt(now time.Time, result Result) {
	if result.Shed && len(c.running)+1 >= c.limit && now.Sub(c.limitChangedAt) >= shrinkInterval {
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

// expire refuses queued requests that can hardly meet their deadline.
func (c *Controller) expire(now time.Time) []Decision {
	if c.cost != nil {
		return c.shed(now)
	}
	var refusals []Decision
	for i := range c.classes {
		class := &c.classes[i]
		queue := class.queue
		kept := queue[:0]
		for _, r := range queue {
			if !class.tooLate(now, r) {
				kept = append(kept, r)
				continue
			}
			c.queued--
			refusals = append(refusals, Decision{ID: r.ID, Reason: Expired})
		}
		c.classes[i].queue = kept
	}
	return refusals
}

// accrueCredit credits each class with its guaranteed share of the slots for the time since the last call.
func (c *Controller) accrueCredit(now time.Time) {
	elapsedSeconds := now.Sub(c.accruedAt).Seconds()
	if c.accruedAt.IsZero() || elapsedSeconds < 0 {
		elapsedSeconds = 0
	}
	c.accruedAt = now
	for i := range c.classes {
		class := &c.classes[i]
		guaranteedSlots := class.Share * float64(c.limit)
		maxCredit := guaranteedSlots*creditWindow.Seconds() + class.mean
		class.credit = max(-maxCredit, min(maxCredit, class.credit+guaranteedSlots*elapsedSeconds))
	}
}

// tooLate reports whether the request can hardly complete before its deadline.
func (k *class) tooLate(now time.Time, r Request) bool {
	return !now.Add(seconds(minServiceTimeShare * k.mean)).Before(r.Deadline)
}

// dispatch starts queued requests while slots are free and appends its decisions to those given. Classes with credit left come first,
// then the others; both groups are in dispatch order.
func (c *Controller) dispatch(now time.Time, decisions []Decision) []Decision {
	if c.cost != nil {
		return c.dispatchByCost(now, decisions)
	}
	for c.queued > 0 && len(c.running) < c.limit {
		i := c.nextClass()
		class := &c.classes[i]
		r := class.queue[0]
		class.queue = class.queue[1:]
		c.queued--
		if class.tooLate(now, r) {
			decisions = append(decisions, Decision{ID: r.ID, Reason: Expired})
			continue
		}
		class.credit -= class.mean
		c.running[r.ID] = runningRequest{classIndex: i, startedAt: now, charged: class.mean}
		decisions = append(decisions, Decision{ID: r.ID, Start: true})
	}
	return decisions
}

// nextClass returns the index of the class whose first queued request is started next, or -1 if no request is queued. Classes with credit come
// first; within both groups, the priority of the first request decides before the order of the classes, since a caller may have one of its own.
func (c *Controller) nextClass() int {
	next, nextHasCredit := -1, false
	for _, i := range c.dispatchOrder {
		class := &c.classes[i]
		if len(class.queue) == 0 {
			continue
		}
		hasCredit := class.credit > 0 && class.Share > 0
		sameGroup := hasCredit == nextHasCredit
		if next < 0 || hasCredit && !nextHasCredit || sameGroup && class.queue[0].Priority < c.classes[next].queue[0].Priority {
			next, nextHasCredit = i, hasCredit
		}
	}
	return next
}

// EachRunning calls f for each running request with its ID, the index of its class or NoClass, and its start time.
func (c *Controller) EachRunning(f func(id uint64, classIndex int, startedAt time.Time)) {
	for id, r := range c.running {
		f(id, r.classIndex, r.startedAt)
	}
}

// Load returns the current load, which is reported with responses.
func (c *Controller) Load(now time.Time) Load {
	return Load{Running: len(c.running), Queued: c.queued, Limit: c.limit}
}

// Refusing reports whether a request of the class was refused for overload within refusalTTL.
func (c *Controller) Refusing(now time.Time, classIndex int) bool {
	refusedAt := c.classes[classIndex].refusedAt
	return !refusedAt.IsZero() && now.Sub(refusedAt) < refusalTTL
}

// seconds converts a number of seconds to a Duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
