package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// problem is an error response in the format of RFC 9457.
type problem struct {
	Type    string          `json:"type"`
	Title   string          `json:"title"`
	Status  int             `json:"status"`
	Detail  string          `json:"detail,omitempty"`
	Code    outcome.Code    `json:"code"`
	Outcome outcome.Outcome `json:"outcome"`
	Request string          `json:"request,omitempty"`
}

// statuses maps codes to HTTP statuses; all other codes map to 503.
var statuses = map[outcome.Code]int{
	outcome.CodeNoRoute:          http.StatusNotFound,
	outcome.CodeBadRequest:       http.StatusBadRequest,
	outcome.CodeUnauthenticated:  http.StatusUnauthorized,
	outcome.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	outcome.CodeHeadTooLarge:     http.StatusRequestHeaderFieldsTooLarge,
	outcome.CodeCallerLimit:      http.StatusTooManyRequests,
	outcome.CodeExpired:          http.StatusGatewayTimeout,
	outcome.CodeTimeout:          http.StatusGatewayTimeout,
	outcome.CodeUpstreamFailed:   http.StatusBadGateway,
	outcome.CodeTruncated:        http.StatusBadGateway,
	outcome.CodeResponseMismatch: http.StatusBadGateway,
	outcome.CodePathLost:         http.StatusBadGateway,
	outcome.CodeKeyReused:        http.StatusUnprocessableEntity,
	outcome.CodeKeyMemory:        http.StatusBadGateway,
	outcome.CodeKeyLost:          http.StatusConflict,
}

// serverFault reports whether the code describes a failure of the fleet rather than of the request.
func serverFault(c outcome.Code) bool {
	s, ok := statuses[c]
	return !ok || s == http.StatusBadGateway || s == http.StatusGatewayTimeout
}

func statusOf(e *outcome.Error) int {
	if e.Outcome == outcome.NotRun && serverFault(e.Code) {
		return http.StatusServiceUnavailable // a caller may retry what was not run
	}
	s, ok := statuses[e.Code]
	switch {
	case ok && (e.Outcome != outcome.Unknown || !upstream.PromisesNotRun(s)):
		return s
	case e.Outcome == outcome.Unknown:
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// retryAfter formats the value of the Retry-After header.
func (d Dialect) retryAfter(after time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.Itoa(int(math.Ceil(after.Seconds())))
}

// sendProblem writes the error as a response and returns its status. The requestID may be empty.
func (d Dialect) sendProblem(w http.ResponseWriter, requestID string, err error) int {
	var e *outcome.Error
	if !errors.As(err, &e) {
		e = outcome.NewError(outcome.Unknown, outcome.CodePathLost, err)
	}
	h := w.Header()
	s := statusOf(e)
	if requestID != "" {
		h.Set(d.RequestIDHeader, requestID)
	}
	if e.RetryAfter > 0 {
		h.Set("Retry-After", d.retryAfter(e.RetryAfter))
	} else if s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests {
		h.Set("Retry-After", "1")
	}
	if s == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", keyScheme)
	}
	h.Set("Content-Type", "application/problem+json")
	h.Set(outcome.HeaderName, string(e.Outcome))
	p := problem{
		Type:    "about:blank",
		Title:   http.StatusText(s),
		Status:  s,
		Code:    e.Code,
		Outcome: e.Outcome,
		Request: requestID,
	}
	if e.Err != nil {
		p.Detail = e.Err.Error()
	}
	w.WriteHeader(s)
	_ = json.NewEncoder(w).Encode(p) // the caller may have disconnected
	return s
}
