package peer

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// Headers of a forwarded request and its answer.
const (
	hopPrefix   = "Hop-"
	hopUpstream = "Hop-Upstream"
	hopClass    = "Hop-Class"
	hopAttempt  = "Hop-Attempt"
	hopDeadline = "Hop-Deadline" // microseconds since 1970 by the sender's clock
	hopTimeout  = "Hop-Timeout"  // microseconds left when it was sent
	hopOnce     = "Hop-Once"
	hopUsual    = "Hop-Usual" // microseconds that the class usually takes
	hopLoad     = "Hop-Load"
	hopOutcome  = "Hop-Outcome"
	hopCode     = "Hop-Code"
	hopRetry    = "Hop-Retry" // milliseconds
	hopKey      = "Hop-Key"
	hopFresh    = "Hop-Fresh"
	hopCaller   = "Hop-Caller"
	hopRequest  = "Hop-Request"
	hopOrigin   = "Hop-Origin"
	hopForced   = "Hop-Forced"
)

// maxSkew is the difference of clocks that a forwarded deadline tolerates.
const maxSkew = time.Second

// PathError reports that the node of an upstream did not answer; Sent tells whether the request may have reached it.
type PathError struct {
	sent bool
	err  error
}

// Sent reports whether the request may have reached the node.
func (e *PathError) Sent() bool { return e.sent }

// Error implements error.
func (e *PathError) Error() string { return "path: " + e.err.Error() }

// Unwrap returns the cause.
func (e *PathError) Unwrap() error { return e.err }

// KeyedRequest is a request with an idempotency key on its way to the owner of the key.
type KeyedRequest struct {
	Key    string
	Caller string
	Fresh  bool // no earlier request with the key was sent
	*upstream.Attempt
}

// Forward sends the attempt to the upstream through its node; the error is an *outcome.Error or a *PathError.
func (c *Client) Forward(ctx context.Context, address, id string, a *upstream.Attempt) (*upstream.Response, error) {
	return c.forward(ctx, address, a, func(h http.Header) { h.Set(hopUpstream, id) })
}

// ForwardKey sends the request to the node that owns its key; the error is an *outcome.Error or a *PathError.
func (c *Client) ForwardKey(ctx context.Context, address string, k *KeyedRequest) (*upstream.Response, error) {
	return c.forward(ctx, address, k.Attempt, func(h http.Header) {
		h.Set(hopKey, k.Key)
		h.Set(hopCaller, k.Caller)
		if k.Fresh {
			h.Set(hopFresh, "1")
		}
	})
}

func (c *Client) forward(ctx context.Context, address string, a *upstream.Attempt, mark func(http.Header)) (*upstream.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	req, err := forwardRequest(ctx, address, a)
	if err != nil {
		cancel()
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeBadRequest, err)
	}
	mark(req.Header)
	resp, err := c.link(address).transport.RoundTrip(req)
	if err != nil {
		defer cancel()
		return nil, pathError(ctx, err)
	}
	load := resp.Header.Get(hopLoad)
	if resp.Header.Get(hopOutcome) != "" {
		defer cancel()
		_ = resp.Body.Close()
		return &upstream.Response{Load: load}, hopError(resp.Header)
	}
	for k := range resp.Header {
		if strings.HasPrefix(k, hopPrefix) {
			delete(resp.Header, k)
		}
	}
	return &upstream.Response{
		Status:  resp.StatusCode,
		Header:  resp.Header,
		Body:    &cancelBody{ReadCloser: resp.Body, cancel: cancel},
		Length:  resp.ContentLength,
		Trailer: func() http.Header { return resp.Trailer },
		Load:    load,
	}, nil
}

// cancelBody releases the context of the request when the answer is closed.
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
	req.URL.Opaque = a.URI // sent as the caller wrote it
	if a.Length >= 0 {
		req.ContentLength = a.Length
	}
	req.Header = a.Header.Clone()
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	for k := range req.Header {
		if strings.HasPrefix(k, hopPrefix) {
			delete(req.Header, k)
		}
	}
	req.Host = a.Host
	req.Header.Set(hopClass, a.Class)
	req.Header.Set(hopAttempt, a.ID)
	if a.AbsoluteDeadline {
		req.Header.Set(hopDeadline, strconv.FormatInt(a.Deadline.UnixMicro(), 10))
	}
	req.Header.Set(hopTimeout, strconv.FormatInt(time.Until(a.Deadline).Microseconds(), 10))
	if a.AtMostOnce {
		req.Header.Set(hopOnce, "1")
	}
	if a.Forced {
		req.Header.Set(hopForced, "1")
	}
	if a.Origin != "" {
		req.Header.Set(hopOrigin, a.Origin)
	}
	req.Header.Set(hopRequest, a.Request)
	if a.TypicalLatency > 0 {
		req.Header.Set(hopUsual, strconv.FormatInt(a.TypicalLatency.Microseconds(), 10))
	}
	return req, nil
}

func pathError(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.Canceled) {
		return outcome.NewError(outcome.Unknown, outcome.CodeCanceled, err)
	}
	var op *net.OpError
	dial := errors.As(err, &op) && op.Op == "dial"
	return &PathError{sent: !dial, err: err}
}

func hopError(h http.Header) error {
	e := outcome.NewError(outcome.Outcome(h.Get(hopOutcome)), outcome.Code(h.Get(hopCode)), nil)
	if ms, err := strconv.Atoi(h.Get(hopRetry)); err == nil {
		e.Retry = time.Duration(ms) * time.Millisecond
	}
	return e
}

// Receiver takes forwarded requests.
type Receiver interface {
	// Attempt runs the attempt at the named upstream beside this node.
	Attempt(ctx context.Context, id string, a *upstream.Attempt) (*upstream.Response, error)
	// Keyed runs a request whose key this node owns.
	Keyed(ctx context.Context, k *KeyedRequest) (*upstream.Response, error)
}

// ForwardHandler returns the handler of forwarded requests.
func ForwardHandler(r Receiver) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		a, err := parseAttempt(req)
		if err != nil {
			sendError(w, nil, outcome.NewError(outcome.NotRun, outcome.CodeBadRequest, err))
			return
		}
		ans, err := receive(r, req, a)
		if err != nil {
			sendError(w, ans, err)
			return
		}
		if ans.Load != "" {
			w.Header().Set(hopLoad, ans.Load)
		}
		if err := ans.Send(w); err != nil {
			panic(http.ErrAbortHandler) // the other node must not take a cut answer for a whole one
		}
	})
}

func receive(r Receiver, req *http.Request, a *upstream.Attempt) (*upstream.Response, error) {
	h := req.Header
	id, key, caller, fresh := h.Get(hopUpstream), h.Get(hopKey), h.Get(hopCaller), h.Get(hopFresh) != ""
	for k := range a.Header {
		if strings.HasPrefix(k, hopPrefix) {
			delete(a.Header, k)
		}
	}
	if key != "" {
		return r.Keyed(req.Context(), &KeyedRequest{Key: key, Caller: caller, Fresh: fresh, Attempt: a})
	}
	return r.Attempt(req.Context(), id, a)
}

func parseAttempt(req *http.Request) (*upstream.Attempt, error) {
	h := req.Header
	us, err := strconv.ParseInt(h.Get(hopTimeout), 10, 64)
	if err != nil {
		return nil, errors.Wrap(err, hopTimeout)
	}
	deadline := time.Now().Add(time.Duration(us) * time.Microsecond)
	bound := h.Get(hopDeadline) != ""
	if bound {
		abs, err := strconv.ParseInt(h.Get(hopDeadline), 10, 64)
		if err != nil {
			return nil, errors.Wrap(err, hopDeadline)
		}
		if limit := time.UnixMicro(abs).Add(maxSkew); limit.Before(deadline) {
			deadline = limit // the sender was paused between reading the clock and sending
		}
	}
	usual, err := strconv.ParseInt(h.Get(hopUsual), 10, 64)
	if err != nil || usual < 0 {
		usual = 0 // the sender does not know it
	}
	return &upstream.Attempt{
		ID:               h.Get(hopAttempt),
		Class:            h.Get(hopClass),
		Deadline:         deadline,
		AbsoluteDeadline: bound,
		Method:           req.Method,
		URI:              req.RequestURI,
		Request:          h.Get(hopRequest),
		Origin:           h.Get(hopOrigin),
		Forced:           h.Get(hopForced) != "",
		Host:             req.Host,
		Header:           h,
		Body:             req.Body,
		Length:           req.ContentLength,
		AtMostOnce:       h.Get(hopOnce) != "",
		TypicalLatency:   time.Duration(usual) * time.Microsecond,
	}, nil
}

func sendError(w http.ResponseWriter, ans *upstream.Response, err error) {
	var e *outcome.Error
	if !errors.As(err, &e) {
		e = outcome.NewError(outcome.Unknown, outcome.CodePath, err)
	}
	h := w.Header()
	if ans != nil && ans.Load != "" {
		h.Set(hopLoad, ans.Load)
	}
	h.Set(hopOutcome, string(e.Outcome))
	h.Set(hopCode, string(e.Code))
	if e.Retry > 0 {
		h.Set(hopRetry, strconv.FormatInt(e.Retry.Milliseconds(), 10))
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
