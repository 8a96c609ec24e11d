package caller

// Dialect holds the header names of the protocol between callers and nodes.
// A header with an empty name is neither read nor sent.
type Dialect struct {
	RequestIDHeader      string // carries the id of the request, used in logs and in the timeline of events
	TimeoutHeader        string // carries the time in milliseconds after which the caller stops waiting
	CallerHeader         string // carries the name of the caller, which is believed if the bundle has no keys
	IdentityHeader       string // tells upstreams the name of the caller; removed from requests, unless it is CallerHeader and the bundle requires no keys
	KeyHeader            string // carries the idempotency key; a retry with the same key does not run the request again
	KeyAttemptHeader     string // its value is 1 if no earlier request with the key can have run
	ReservesKeys         bool   // the scheme Bearer of the header Authorization is for keys also while the bundle requires none; otherwise upstreams get the header then
	FractionalRetryAfter bool   // the Retry-After header has fractions of a second
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
	return Dialect{RequestIDHeader: RequestHeader, TimeoutHeader: TimeoutHeader, CallerHeader: CallerHeader, IdentityHeader: CallerHeader, KeyHeader: KeyHeader, KeyAttemptHeader: KeyAttemptHeader}
}

// headerValue returns the value of a header, or "" if the dialect does not use it.
func headerValue(h interface{ Get(string) string }, name string) string {
	if name == "" {
		return ""
	}
	return h.Get(name)
}
