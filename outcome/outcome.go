package outcome

import (
	"fmt"
	"time"
)

// Outcome says whether a request was run.
type Outcome string

// The outcomes. NotRun is a guarantee that the request was not run; Ran is reported only with the complete response.
const (
	Ran     Outcome = "ran"
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
)

// HeaderName is the name of the response header that carries the outcome.
const HeaderName = "Outcome"

// Code is the stable machine-readable reason of an error response.
type Code string

// The codes of error responses.
const (
	CodeNoRoute          Code = "no-route"
	CodeRouteClosed      Code = "route-closed" // the bundle has the route and refuses its requests
	CodeNoBundle         Code = "no-bundle"
	CodeBadRequest       Code = "bad-request"
	CodeUnauthenticated  Code = "unauthenticated" // the request has no key, or one that no caller has
	CodeStaleBundle      Code = "stale-bundle"    // a newer version of the bundle may decide otherwise on the key of the request
	CodeTooLarge         Code = "too-large"
	CodeHeadTooLarge     Code = "head-too-large"
	CodeCallerLimit      Code = "caller-limit"
	CodeOverload         Code = "overload"
	CodeExpired          Code = "expired"
	CodeDraining         Code = "draining"
	CodeNoUpstream       Code = "no-upstream"
	CodeShed             Code = "shed"    // the upstream reported that it did not start the request
	CodeSuspect          Code = "suspect" // the gate did not admit the request to an unhealthy upstream
	CodeUpstreamFailed   Code = "upstream-failed"
	CodeTimeout          Code = "timeout"
	CodeTruncated        Code = "truncated"
	CodeResponseMismatch Code = "crossed" // the response belongs to another attempt or lacks the upstream's proof
	CodePathLost         Code = "path-lost"
	CodeKeyReused        Code = "key-reused"
	CodeKeyOwner         Code = "key-owner"  // no node that serves the shard of the idempotency key answered
	CodeKeyMemory        Code = "key-memory" // an earlier request with the idempotency key may have run
	CodeKeyLost          Code = "key-lost"   // the request ran, but its response can't be replayed
	CodeCanceled         Code = "canceled"
)

// Error reports that a request ended without a usable response from an upstream.
type Error struct {
	Outcome    Outcome
	Code       Code
	RetryAfter time.Duration // delay after which a retry may succeed, or 0 if none is known
	Err        error
}

// NewError returns an Error with the given outcome, code and cause.
func NewError(o Outcome, code Code, err error) *Error {
	return &Error{Outcome: o, Code: code, Err: err}
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s: %s", e.Outcome, e.Code)
	}
	return fmt.Sprintf("%s: %s: %v", e.Outcome, e.Code, e.Err)
}

// Unwrap returns the cause of the error, or nil if there is none.
func (e *Error) Unwrap() error { return e.Err }
