package peer

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/peer/peerv1/peerv1connect"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// Headers of a forwarded request and its response. Their names begin with upstream.ReservedPrefix.
const (
	hopUpstream       = "Hop-Upstream"
	hopClass          = "Hop-Class"
	hopAttempt        = "Hop-Attempt"
	hopDeadline       = "Hop-Deadline" // deadline in Unix microseconds by the sender's clock
	hopTimeout        = "Hop-Timeout"  // microseconds until the deadline at the time of sending
	hopNonIdempotent  = "Hop-Once"
	hopTypicalLatency = "Hop-Usual" // typical latency of the class in microseconds
	hopLoad           = "Hop-Load"
	hopOutcome        = "Hop-Outcome"
	hopCode           = "Hop-Code"
	hopRetryAfter     = "Hop-Retry" // time in milliseconds after which the request may be retried
	hopKey            = "Hop-Key"
	hopFirstAttempt   = "Hop-Fresh"
	hopCaller         = "Hop-Caller"
	hopRequest        = "Hop-Request"
	hopOrigin         = "Hop-Origin"
	hopForced         = "Hop-Forced"
	hopPriority       = "Hop-Priority"
	hopAge            = "Hop-Age"    // microseconds since the request arrived at its ingress node, at the time of sending
	hopTarget         = "Hop-Target" // request target, if it can't be the path of the forwarded request
)

// maxSkew is the clock skew between nodes that a forwarded deadline tolerates.
const maxSkew = time.Second

// TransportError reports that a request to another node failed without a response; Sent reports whether the request may have reached it.
type TransportError struct {
	sent bool
	err  error
}

// Sent reports whether the request may have reached the node.
func (e *TransportError) Sent() bool { return e.sent }

// Error implements error.
func (e *TransportError) Error() string { return "forward to node: " + e.err.Error() }

// Unwrap returns the cause.
func (e *TransportError) Unwrap() error { return e.err }

// KeyedRequest is a request with an idempotency key that is forwarded to the owner of the key.
type KeyedRequest struct {
	Key          string
	FirstAttempt bool // no request with the key has been sent before
	*upstream.Attempt
}

// Forward sends the attempt to the upstream id through the node at address. The error is an *outcome.Error or a *TransportError.
func (c *Client) Forward(ctx context.Context, address, id string, a *upstream.Attempt) (*upstream.Response, error) {
	return c.forward(ctx, address, a, func(h http.Header) { h.Set(hopUpstream, id) })
}

// ForwardKey sends the request to the node at address, which owns its key. The error is an *outcome.Error or a *TransportError.
func (c *Client) ForwardKey(ctx context.Context, address string, k *KeyedRequest) (*upstream.Response, error) {
	return c.forward(ctx, address, k.Attempt, func(h http.Header) {
		h.Set(hopKey, k.Key)
		if k.FirstAttempt {
			h.Set(hopFirstAttempt, "1")
		}
	})
}

func (c *Client) forward(ctx context.Context, address string, a *upstream.Attempt, setTarget func(http.Header)) (*upstream.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	req, err := forwardRequest(ctx, address, a)
	if err != nil {
		cancel()
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeBadRequest, err)
	}
	setTarget(req.Header)
	resp, err := c.conn(address).transport.RoundTrip(req)
	if err != nil {
		defer cancel()
		return nil, transportError(ctx, err)
	}
	load := resp.Header.Get(hopLoad)
	if resp.Header.Get(hopOutcome) != "" {
		defer cancel()
		_ = resp.Body.Close()
		return &upstream.Response{Load: load}, hopError(resp.Header)
	}
	for k := range resp.Header {
		if strings.HasPrefix(k, upstream.ReservedPrefix) {
			delete(resp.Header, k)
		}
	}
	out := &upstream.Response{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    &cancelBody{ReadCloser: resp.Body, cancel: cancel},
		Length:  resp.ContentLength,
		Trailer: func() http.Header { return resp.Trailer },
		Load:    load,
	}
	out.Bound(c.streams)
	return out, nil
}

// cancelBody cancels the context of the request when the response body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

func forwardRequest(ctx context.Context, address string, a *upstream.Attempt) (*http.Request, error) {
	var body io.Reader
	if a.Length != 0 && a.Body != nil {
		body = struct{ io.Reader }{a.Body}
	}
	req, err := http.NewRequestWithContext(ctx, a.Method, "http://"+address, body)
	if err != nil {
		return nil, err
	}
	if isPath(a.URI) {
		req.URL.Opaque = a.URI // exactly as the caller sent it
	}
	if a.Length >= 0 {
		req.ContentLength = a.Length
	}
	req.Header = a.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	for k := range req.Header {
		if strings.HasPrefix(k, upstream.ReservedPrefix) {
			delete(req.Header, k)
		}
	}
	if !isPath(a.URI) {
		req.Header.Set(hopTarget, a.URI)
	}
	req.Host = a.Host
	req.Header.Set(hopClass, a.Class)
	req.Header.Set(hopAttempt, a.ID)
	if a.AbsoluteDeadline {
		req.Header.Set(hopDeadline, strconv.FormatInt(a.Deadline.UnixMicro(), 10))
	}
	req.Header.Set(hopTimeout, strconv.FormatInt(time.Until(a.Deadline).Microseconds(), 10))
	if a.NonIdempotent {
		req.Header.Set(hopNonIdempotent, "1")
	}
	if a.Forced {
		req.Header.Set(hopForced, "1")
	}
	if a.Origin != "" {
		req.Header.Set(hopOrigin, a.Origin)
	}
	if a.Caller != "" {
		req.Header.Set(hopCaller, a.Caller)
	}
	if a.Prioritized {
		req.Header.Set(hopPriority, strconv.Itoa(a.Priority))
	}
	if !a.Arrived.IsZero() {
		req.Header.Set(hopAge, strconv.FormatInt(time.Since(a.Arrived).Microseconds(), 10))
	}
	req.Header.Set(hopRequest, a.RequestID)
	if a.TypicalLatency > 0 {
		req.Header.Set(hopTypicalLatency, strconv.FormatInt(a.TypicalLatency.Microseconds(), 10))
	}
	return req, nil
}

// isPath reports whether a request target can be the path of a forwarded request. HTTP/2 has no path for one that begins with two slashes or
// that is an absolute URL, and the port of a node has calls of its own.
func isPath(target string) bool {
	return strings.HasPrefix(target, "/") && !strings.HasPrefix(target, "//") && !strings.HasPrefix(target, "/"+peerv1connect.PeerName+"/")
}

func transportError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.NewError(outcome.Unknown, outcome.CodeCanceled, err)
	}
	var op *net.OpError
	dialFailed := errors.As(err, &op) && op.Op == "dial"
	return &TransportError{sent: !dialFailed, err: err}
}

func hopError(h http.Header) error {
	e := outcome.NewError(outcome.Outcome(h.Get(hopOutcome)), outcome.Code(h.Get(hopCode)), nil)
	if ms, err := strconv.Atoi(h.Get(hopRetryAfter)); err == nil {
		e.RetryAfter = time.Duration(ms) * time.Millisecond
	}
	return e
}

// Receiver handles forwarded requests.
type Receiver interface {
	// Attempt runs the attempt on the upstream with the id, which is local to this node.
	Attempt(ctx context.Context, id string, a *upstream.Attempt) (*upstream.Response, error)
	// Keyed runs a request whose key this node owns.
	Keyed(ctx context.Context, k *KeyedRequest) (*upstream.Response, error)
}

// lateTransfer is the time after the deadline of a forwarded request, or after its response came, in which the rest of its body or of the response may
// pass. Until then the request may hold a slot, also if the other node is lost.
const lateTransfer = time.Second

// latestTransfer returns the end of a transfer that begins now and belongs to a request with the deadline.
func latestTransfer(now, deadline time.Time) time.Time {
	if deadline.After(now) {
		now = deadline
	}
	return now.Add(lateTransfer)
}

// ForwardHandler returns the HTTP handler of forwarded requests.
func ForwardHandler(r Receiver) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		a, err := parseAttempt(req)
		if err != nil {
			sendError(w, nil, outcome.NewError(outcome.NotRun, outcome.CodeBadRequest, err))
			return
		}
		rc := http.NewResponseController(w)
		_ = rc.SetReadDeadline(latestTransfer(time.Now(), a.Deadline)) // fails if the connection is closed, and then reading fails, too
		resp, err := dispatch(r, req, a)
		if err != nil {
			sendError(w, resp, err)
			return
		}
		if resp.Load != "" {
			w.Header().Set(hopLoad, resp.Load)
		}
		_ = rc.SetWriteDeadline(latestTransfer(time.Now(), a.Deadline))
		if err := resp.Send(w); err != nil {
			panic(http.ErrAbortHandler) // the other node must not mistake a truncated response for a complete one
		}
	})
}

func dispatch(r Receiver, req *http.Request, a *upstream.Attempt) (*upstream.Response, error) {
	h := req.Header
	id, key, firstAttempt := h.Get(hopUpstream), h.Get(hopKey), h.Get(hopFirstAttempt) != ""
	for k := range a.Header {
		if strings.HasPrefix(k, upstream.ReservedPrefix) {
			delete(a.Header, k)
		}
	}
	if key != "" {
		return r.Keyed(req.Context(), &KeyedRequest{Key: key, FirstAttempt: firstAttempt, Attempt: a})
	}
	return r.Attempt(req.Context(), id, a)
}

func parseAttempt(req *http.Request) (*upstream.Attempt, error) {
	h := req.Header
	timeoutMicros, err := strconv.ParseInt(h.Get(hopTimeout), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, hopTimeout)
	}
	deadline := time.Now().Add(time.Duration(timeoutMicros) * time.Microsecond)
	absoluteDeadline := h.Get(hopDeadline) != ""
	if absoluteDeadline {
		abs, err := strconv.ParseInt(h.Get(hopDeadline), 10, 64)
		if err != nil {
			return nil, errors.Wrap(err, hopDeadline)
		}
		if latest := time.UnixMicro(abs).Add(maxSkew); latest.Before(deadline) {
			deadline = latest // the sender was paused between computing the timeout and sending
		}
	}
	typicalMicros, err := strconv.ParseInt(h.Get(hopTypicalLatency), 10, 64)
	if err != nil || typicalMicros < 0 {
		typicalMicros = 0 // unknown to the sender
	}
	priority, err := strconv.Atoi(h.Get(hopPriority))
	prioritized := err == nil && priority >= 0
	return &upstream.Attempt{
		ID:               h.Get(hopAttempt),
		Caller:           h.Get(hopCaller),
		Prioritized:      prioritized,
		Priority:         max(0, priority),
		Arrived:          parseArrival(h.Get(hopAge), time.Now()),
		Class:            h.Get(hopClass),
		Deadline:         deadline,
		AbsoluteDeadline: absoluteDeadline,
		Method:           req.Method,
		URI:              cmp.Or(h.Get(hopTarget), req.RequestURI),
		RequestID:        h.Get(hopRequest),
		Origin:           h.Get(hopOrigin),
		Forced:           h.Get(hopForced) != "",
		Host:             req.Host,
		Header:           h,
		Body:             req.Body,
		Length:           req.ContentLength,
		NonIdempotent:    h.Get(hopNonIdempotent) != "",
		TypicalLatency:   time.Duration(typicalMicros) * time.Microsecond,
	}, nil
}

// parseArrival returns the time at which a request arrived at its ingress node, given its age in microseconds; it is now if the age is unknown.
func parseArrival(age string, now time.Time) time.Time {
	micros, err := strconv.ParseInt(age, 10, 64)
	if err != nil || micros < 0 {
		return now
	}
	return now.Add(-time.Duration(micros) * time.Microsecond)
}

func sendError(w http.ResponseWriter, resp *upstream.Response, err error) {
	var e *outcome.Error
	if !errors.As(err, &e) {
		e = outcome.NewError(outcome.Unknown, outcome.CodePathLost, err)
	}
	h := w.Header()
	if resp != nil && resp.Load != "" {
		h.Set(hopLoad, resp.Load)
	}
	h.Set(hopOutcome, string(e.Outcome))
	h.Set(hopCode, string(e.Code))
	if e.RetryAfter > 0 {
		h.Set(hopRetryAfter, strconv.FormatInt(e.RetryAfter.Milliseconds(), 10))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
