package admission

import "time"

// Reason is the reason why a request was refused before it started.
type Reason string

// Reasons for a refusal.
const (
	Overload Reason = "overload" // the queue is full or the expected wait is too long
	Expired  Reason = "expired"  // the request can hardly complete before its deadline
	Draining Reason = "draining" // the controller is draining
)

// Class is the configuration of one request class.
type Class struct {
	Name     string
	Priority int     // 0 is the most urgent
	Share    float64 // share of the slots that is guaranteed to the class

	NonIdempotent bool          // a request must not be executed twice, so it can't be retried at another upstream
	Nested        bool          // its requests are calls of upstreams that are running other requests
	Objective     time.Duration // target response time; 0 if there is none
}

// Request is a request that waits for a slot of the upstream.
type Request struct {
	ID         uint64
	ClassIndex int
	Deadline   time.Time

	Caller   string    // name of the caller; empty if unknown
	Priority int       // 0 is the most urgent; used by the policy ByCost only, which doesn't use the priority of the class
	Arrived  time.Time // time of arrival at the ingress node; zero if it is the time of the offer
	Nested   bool      // a running request waits for this one
}

// Decision tells whether a request starts or is refused, and the reason for a refusal.
type Decision struct {
	ID     uint64
	Start  bool   // false if the request is refused
	Reason Reason // empty if the request starts

	RetryAfter time.Duration // time after which room is expected for a refused request; 0 if unknown
}

// Load describes how busy an upstream is.
type Load struct {
	Running int // number of running requests
	Queued  int // number of queued requests
	Limit   int // maximum number of running requests at present
}
