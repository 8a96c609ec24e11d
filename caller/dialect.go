package caller

// Dialect holds the names of the headers that are spoken with callers; an empty name is neither read nor sent.
type Dialect struct {
	Request         string // names one request in logs and in the time line
	Timeout         string // milliseconds that the caller waits
	Caller          string // name of the caller
	Key             string // names a request so that a repeat does not run again
	KeyAttempt      string // 1 says that no earlier request with the key was sent, or that all were answered as not run
	FractionalRetry bool   // the time to come back may be a fraction of a second
}

// Headers of the product's own contract with callers.
const (
	CallerHeader     = "Caller"
	TimeoutHeader    = "Request-Timeout"
	KeyHeader        = "Idempotency-Key"
	KeyAttemptHeader = "Idempotency-Attempt"
	RequestHeader    = "Request-Id"
)

// DefaultDialect returns the product's own contract.
func DefaultDialect() Dialect {
	return Dialect{Request: RequestHeader, Timeout: TimeoutHeader, Caller: CallerHeader, Key: KeyHeader, KeyAttempt: KeyAttemptHeader}
}

// get returns the value of a header of the dialect.
func get(h interface{ Get(string) string }, name string) string {
	if name == "" {
		return ""
	}
	return h.Get(name)
}
