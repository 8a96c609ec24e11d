package quota

import "time"

// Default values of a Rule.
const (
	DefaultWindow  = 5 * time.Second
	DefaultOverage = 0.1
)

// Limit is the limit of one caller over the whole fleet.
type Limit struct {
	Rate  float64 // requests a second; 0 for no limit
	Burst float64 // requests at once
}

// Rule bounds the requests of a caller that run in any window of time, over all nodes: (rate × Window + burst) × (1 + Overage) + Slack.
type Rule struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// window returns the window in seconds.
func (r Rule) window() float64 { return max(r.Window, time.Second).Seconds() }

// tolerance returns the number of requests by which a window may exceed the limit.
func (r Rule) tolerance(l Limit) float64 {
	return r.Overage*(l.Rate*r.window()+l.burst()) + r.Slack
}

// full is the pace of the bucket of an allocator that all nodes can reach. The rest of the tolerance is left for what other nodes grant before
// they or the allocator know of each other.
func (r Rule) full(l Limit) pace {
	return pace{rate: l.Rate, capacity: l.burst() + r.tolerance(l)/4}
}

// reserve is the pace of a bucket whose node can't exclude that another node grants the whole rate.
func (r Rule) reserve(l Limit) pace {
	tolerance := r.tolerance(l)
	return pace{rate: min(l.Rate, tolerance/4/r.window()), capacity: tolerance / 8}
}

func (l Limit) burst() float64 { return max(1, l.Burst) }

// pace is the rate at which a bucket fills, and how much it holds.
type pace struct{ rate, capacity float64 }

// scaled returns the pace of a part of the fleet. Only one part can hold more than half of the nodes, so that one keeps at least one token.
func (p pace) scaled(share float64) pace {
	out := pace{rate: p.rate * share, capacity: p.capacity * share}
	if share > 0.5 {
		out.capacity = max(1, out.capacity)
	}
	return out
}
