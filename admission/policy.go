package admission

import "time"

// Policy is the rule by which a controller orders and refuses requests.
type Policy string

// The policies.
const (
	ByShare Policy = "share" // by the guaranteed shares and the priorities of the classes
	ByCost  Policy = "cost"  // by the expected cost to callers
)

// SetPolicy sets the policy, which is ByShare at first. If it changes, all queued requests are refused.
func (c *Controller) SetPolicy(p Policy) []Decision {
	if (p == ByCost) == (c.cost != nil) {
		return nil
	}
	refusals := c.flush(Overload)
	c.cost = nil
	for i := range c.classes {
		c.classes[i].refusedPriority = 0
	}
	if p == ByCost {
		c.cost = &costQueue{}
	}
	return refusals
}

// RefusedPriority reports whether a request of the class was refused for overload within refusalTTL, and the most urgent priority at which
// such requests are refused. With the policy ByShare it is 0, since a refusal then concerns the whole class.
func (c *Controller) RefusedPriority(now time.Time, classIndex int) (priority int, refusing bool) {
	if !c.Refusing(now, classIndex) {
		return 0, false
	}
	return c.classes[classIndex].refusedPriority, true
}

// recordRefusal records that requests of the class at the priority, and all less urgent ones, are refused.
func (k *class) recordRefusal(now time.Time, priority int) {
	fresh := now.Sub(k.refusedAt) < refusalTTL
	if fresh && priority > k.refusedPriority {
		return
	}
	k.refusedAt, k.refusedPriority = now, priority
}
