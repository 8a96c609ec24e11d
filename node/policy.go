package node

import (
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/upstream"
)

// admissionPolicy returns the policy by which gates order and refuse requests.
func (n *Node) admissionPolicy(_ *bundle.Bundle) admission.Policy {
	return admission.Policy(n.cfg.Admission.Policy)
}

// nestedClass reports whether the requests of a class are calls of upstreams that are running other requests.
func nestedClass(_ *bundle.Bundle, _ *bundle.Class) bool { return false }

// configureGate applies a bundle to a gate.
func (n *Node) configureGate(gate *upstream.Gate, bundleInForce *bundle.Bundle) {
	gate.SetPolicy(n.admissionPolicy(bundleInForce))
	gate.SetClasses(admissionClasses(bundleInForce, gate.Announcement().Service))
}

// arrivalForAdmission returns the time of arrival that is told to gates, which is zero unless they order requests by cost to callers.
func (n *Node) arrivalForAdmission(now time.Time) time.Time {
	if n.admissionPolicy(n.Bundle()) != admission.ByCost {
		return time.Time{}
	}
	return now
}

// effectivePriority returns the priority of the request.
func (r *forwardedRequest) effectivePriority() int { return r.match.Class.Priority() }

// retryAfterUnknown returns the time after which a refused request is to return if no gate told one.
func (d *dispatcher) retryAfterUnknown() time.Duration {
	if d.req.arrived.IsZero() {
		return retryAfter
	}
	return admission.SpreadReturn(retryAfter, time.Until(d.req.deadline), d.state.randomPoint())
}

// randomPoint returns a random number in [0, 1).
func (s *serviceState) randomPoint() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.Float64()
}
