package caller

// Dialect holds the header names of the protocol between callers and nodes.
// A header with an empty name is neither read nor sent.
type Dialect struct {
	RequestIDHeader         string // id of the request in logs and in the timeline of events
	TimeoutHeader         string // milliseconds until the caller stops waiting
	CallerHeader          string // name of the caller
	KeyHeader             string // idempotency key: a retry with the same key does not run the request again
	KeyAttemptHeader      string // 1 if the caller sent no earlier request with the key, or the response to each said that it was not run
	FractionalRetryAfter bool   // Retry-After may be a fraction of a second
}

// Headers of the default protocol.
const (
	CallerHeader     = "Caller"
	TimeoutHeader    = "Request-Timeout"
	KeyHeader        = "Idempotency-Key"
	KeyAttemptHeader = "Idempotency-Attempt"
	RequestHeader    = "Request-Id"
)

// DefaultDialect returns the default protocol.
func DefaultDialect() Dialect {
	return Dialect{RequestIDHeader: RequestHeader, TimeoutHeader: TimeoutHeader, CallerHeader: CallerHeader, KeyHeader: KeyHeader, KeyAttemptHeader: KeyAttemptHeader}
}

// headerValue returns the value of a header, or "" if the dialect does not use it.
func headerValue(h interface{ Get(string) string }, name string) string {
	if name == "" {
		return ""
	}
	return h.Get(name)
}
