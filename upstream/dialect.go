package upstream

import "time"

// Dialect holds the names of the headers that are spoken with upstreams; an empty name is not sent.
type Dialect struct {
	Attempt            string        // names the attempt and is repeated in its answer
	AttemptIsRequestID bool          // attempts bear the id of their request
	Timeout            string        // milliseconds left for the work
	Deadline           string        // milliseconds since 1970 after which the work must not start
	Instance           string        // id of the upstream that is to run the work; any other answers 421 and does not run it
	Origin             string        // service on whose instance the request began
	NotRun             string        // in an answer: the upstream did not start the work
	Expire             time.Duration // after which an announcement that is not renewed ends; 0 for ExpireAfter
	Proof              string        // borne by every successful answer; empty where there is no proof
}

// Headers of the product's own contract with upstreams.
const (
	AttemptHeader  = "Attempt-Id"
	TimeoutHeader  = "Request-Timeout"
	DeadlineHeader = "Request-Deadline"
	InstanceHeader = "Expected-Instance"
	OriginHeader   = "Origin-Service"
	ShedHeader     = "Shed" // reason for which the upstream did not start the work
	keyHeader      = "Idempotency-Key"
)

// DefaultDialect returns the product's own contract.
func DefaultDialect() Dialect {
	return Dialect{
		Attempt: AttemptHeader, Timeout: TimeoutHeader, Deadline: DeadlineHeader,
		Instance: InstanceHeader, Origin: OriginHeader, NotRun: ShedHeader,
	}
}
