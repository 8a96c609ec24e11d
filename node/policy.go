package node

import (
	"cmp"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/upstream"
)

// admissionPolicy returns the policy by which gates order and refuse requests: the one of the settings, or else by share.
func (n *Node) admissionPolicy() admission.Policy {
	if n.cfg.Admission.Policy != "" {
		return admission.Policy(n.cfg.Admission.Policy)
	}
	return admission.ByShare
}

// nestedClass reports whether the requests of a class are calls of upstreams that are running other requests: where callers have keys, only
// these calls have none.
func nestedClass(bundleInForce *bundle.Bundle, class *bundle.Class) bool {
	return bundleInForce.RequiresKeys() && class.Public()
}

// configureGate applies a bundle to a gate.
func (n *Node) configureGate(gate *upstream.Gate, bundleInForce *bundle.Bundle) {
	gate.SetPolicy(n.admissionPolicy())
	gate.SetClasses(admissionClasses(bundleInForce, gate.Announcement().Service))
}

// arrivalForAdmission returns the time of arrival that is told to gates, which is zero unless they order requests by cost to callers.
func (n *Node) arrivalForAdmission(now time.Time) time.Time {
	if n.admissionPolicy() != admission.ByCost {
		return time.Time{}
	}
	return now
}

// effectivePriority returns the priority of the request: that of its caller, or else that of its class.
func (r *forwardedRequest) effectivePriority() int {
	if r.prioritized {
		return r.priority
	}
	return r.match.Class.Priority()
}

// returnTime returns the time after which the caller of a refused request is to return, given the one that a gate told, or 0 if none did.
func (d *dispatcher) returnTime(told time.Duration) time.Duration {
	if d.req.arrived.IsZero() {
		return cmp.Or(told, retryAfter)
	}
	left := time.Until(d.req.deadline)
	if told == 0 {
		return admission.SpreadReturn(retryAfter, left, d.state.randomPoint())
	}
	return admission.LimitReturn(told, left)
}

// randomPoint returns a random number in [0, 1).
func (s *serviceState) randomPoint() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}
