package caller

import (
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/pkg/errors"
)

// Limits of a request.
const (
	maxKeyBytes = 128 // of an idempotency key
	minTimeout  = time.Millisecond
)

// Request is a request of a caller while the fleet serves it.
type Request struct {
	ID           string
	Caller       string // name of the caller, or empty
	Identified   bool   // the caller has been identified by its key; otherwise its name is what the request says
	Prioritized  bool   // Priority replaces the priority of the class
	Priority     int
	Bundle       *bundle.Bundle // in force when the request came, by which it is handled
	Target       bundle.Target
	Match        bundle.Match
	Key          string
	FirstAttempt bool // no earlier request with the key can have run
	Deadline     time.Time
	HTTP         *http.Request
	Body         *Body
	Steps        []string // each attempt with its result, for the log
}

// parse parses the header of a request. The error is an *outcome.Error.
func (d Dialect) parse(b *bundle.Bundle, req *http.Request, now time.Time) (*Request, error) {
	if b.Len() == 0 {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeNoBundle, errors.New("no bundle is in force yet"))
	}
	target, err := bundle.ParseTarget(req.RequestURI)
	if err != nil {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeBadRequest, err)
	}
	m, ok := b.Route(req.Host, req.Method, target.Path())
	switch {
	case !ok && m.Route != nil:
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeRouteClosed, errors.Errorf("%s is closed", m.Route.Key()))
	case !ok:
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeNoRoute, errors.Errorf("no route for %s %s%s", req.Method, req.Host, target.Path()))
	}
	r := &Request{Caller: headerValue(req.Header, d.CallerHeader), Bundle: b, Target: target, Match: m, Key: headerValue(req.Header, d.KeyHeader), HTTP: req}
	r.FirstAttempt = headerValue(req.Header, d.KeyAttemptHeader) == "1"
	if len(r.Key) > maxKeyBytes {
		return nil, badRequest("%s has more than %d bytes", d.KeyHeader, maxKeyBytes)
	}
	timeout, err := d.timeout(headerValue(req.Header, d.TimeoutHeader), m.Timeout())
	if err != nil {
		return nil, err
	}
	r.Deadline = now.Add(timeout)
	r.ID = headerValue(req.Header, d.RequestIDHeader)
	if r.ID == "" {
		r.ID = uuid.NewString()
	}
	return r, nil
}

func badRequest(format string, args ...any) error {
	return outcome.NewError(outcome.NotRun, outcome.CodeBadRequest, errors.Errorf(format, args...))
}

func (d Dialect) timeout(text string, maxTimeout time.Duration) (time.Duration, error) {
	if text == "" {
		return maxTimeout, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms <= 0 {
		return 0, badRequest("%s %q is not a positive number of milliseconds", d.TimeoutHeader, text)
	}
	return max(minTimeout, min(maxTimeout, time.Duration(ms)*time.Millisecond)), nil
}

// MayHaveRun reports whether an earlier request with the same key may have run.
// If so, only the owner of the key knows whether it ran.
func (r *Request) MayHaveRun() bool {
	return r.Key != "" && !r.FirstAttempt && !r.Match.Class.Idempotent()
}
