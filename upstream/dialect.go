package upstream

import "time"

// Dialect holds the header names of the protocol between nodes and upstreams. A header with an empty name is not sent.
type Dialect struct {
	AttemptHeader      string        // carries the id of the attempt; the response must repeat it
	AttemptIsRequestID bool          // AttemptHeader carries the id of the request instead
	TimeoutHeader      string        // carries the time until the deadline in milliseconds
	DeadlineHeader     string        // carries the Unix time in milliseconds after which the upstream must not start the request
	InstanceHeader     string        // carries the id of the upstream that must run the request; any other responds with 421 and does not run it
	OriginHeader       string        // carries the service of the node that received the request from the caller
	CallerHeader       string        // carries the name of the caller that was identified by its key
	NotRunHeader       string        // set in a response if the upstream did not start the request
	ExpireAfter        time.Duration // time after which an announcement expires unless it is renewed; 0 means ExpireAfter
	ProofHeader        string        // a successful response without this header is not accepted; empty if none is required
}

// Headers of the default protocol.
const (
	AttemptHeader  = "Attempt-Id"
	TimeoutHeader  = "Request-Timeout"
	DeadlineHeader = "Request-Deadline"
	InstanceHeader = "Expected-Instance"
	OriginHeader   = "Origin-Service"
	CallerHeader   = "Caller"
	ShedHeader     = "Shed" // reason why the upstream did not start the request
	keyHeader      = "Idempotency-Key"
)

// DefaultDialect returns the default protocol.
func DefaultDialect() Dialect {
	return Dialect{
		AttemptHeader: AttemptHeader, TimeoutHeader: TimeoutHeader, DeadlineHeader: DeadlineHeader,
		InstanceHeader: InstanceHeader, OriginHeader: OriginHeader, CallerHeader: CallerHeader, NotRunHeader: ShedHeader,
	}
}
