package upstream

import "time"

// Dialect holds the header names of the protocol between nodes and upstreams. A header with an empty name is not sent.
type Dialect struct {
	AttemptHeader            string        // id of the attempt; the response must repeat it
	AttemptIsRequestID bool          // the id of the request is sent as the id of each attempt
	TimeoutHeader            string        // milliseconds until the deadline
	DeadlineHeader           string        // Unix time in milliseconds after which the work must not start
	InstanceHeader           string        // id of the upstream that must run the work; any other responds with 421 and does not run it
	OriginHeader             string        // service of the node that received the request from the caller
	NotRunHeader             string        // response header; set when the upstream did not start the work
	ExpireAfter             time.Duration // time after which an announcement expires unless it is renewed; 0 means ExpireAfter
	ProofHeader              string        // response header that every successful response must have; empty if none is required
}

// Headers of the default protocol.
const (
	AttemptHeader  = "Attempt-Id"
	TimeoutHeader  = "Request-Timeout"
	DeadlineHeader = "Request-Deadline"
	InstanceHeader = "Expected-Instance"
	OriginHeader   = "Origin-Service"
	ShedHeader     = "Shed" // reason why the upstream did not start the work
	keyHeader      = "Idempotency-Key"
)

// DefaultDialect returns the default protocol.
func DefaultDialect() Dialect {
	return Dialect{
		AttemptHeader: AttemptHeader, TimeoutHeader: TimeoutHeader, DeadlineHeader: DeadlineHeader,
		InstanceHeader: InstanceHeader, OriginHeader: OriginHeader, NotRunHeader: ShedHeader,
	}
}
