package caller

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// sendGrace is the time after the deadline of a request for which its caller may still read the response.
const sendGrace = 2 * time.Second

// Fleet serves requests of callers.
type Fleet interface {
	// Bundle returns the bundle in force.
	Bundle() *bundle.Bundle
	// TrustsKeys reports whether the node may still serve the keys of the bundle in force.
	TrustsKeys() bool
	// ConfirmedNewest reports whether the node has confirmed lately that no newer bundle exists than the one in force.
	ConfirmedNewest() bool
	// ExpectsNoKeys records a key that the bundle in force doesn't require, and reports whether the node has confirmed since the first such key
	// that no newer bundle exists.
	ExpectsNoKeys() bool
	// Admit counts a request against its caller's limit.
	Admit(r *Request) error
	// Serve runs the request; the error is an *outcome.Error.
	Serve(ctx context.Context, r *Request) (*upstream.Response, error)
	// RecordEnd records how a request ended and how long it took.
	RecordEnd(r *Request, status int, o outcome.Outcome, err error, took time.Duration)
	// RecordUnrouted records a request that was refused before it had a class, since it is malformed or no route of b matches.
	RecordUnrouted(req *http.Request, id string, status int, b *bundle.Bundle, err error)
}

// Limits are the maximum sizes of a request in bytes.
type Limits struct{ Head, Body int64 }

// inForce returns the limits with those that the policy sets in their place.
func (l Limits) inForce(p bundle.Policy) Limits {
	return Limits{Head: cmp.Or(p.MaxHeadBytes(), l.Head), Body: cmp.Or(p.MaxBodyBytes(), l.Body)}
}

// Mount adds the handler of requests from callers to e. The limits hold unless the bundle in force sets others.
func Mount(e *echo.Echo, d Dialect, f Fleet, l Limits) {
	bodies := &uploads{}
	e.RouteNotFound("/*", func(c echo.Context) error {
		d.handle(f, c.Response().Writer, c.Request(), l, bodies)
		return nil
	})
}

func (d Dialect) handle(f Fleet, w http.ResponseWriter, req *http.Request, l Limits, bodies *uploads) {
	start := time.Now()
	bundleInForce := f.Bundle()
	l = l.inForce(bundleInForce.Policy())
	if req.Body != nil {
		req = req.WithContext(req.Context()) // a copy: the server waits with the close of a connection only if it finds its own body in the request
		req.Body = http.MaxBytesReader(w, req.Body, l.Body)
	}
	r, err := d.parse(bundleInForce, req, start)
	if err == nil {
		err = checkHead(req, l.Head)
	}
	if err != nil {
		status := d.sendProblem(w, "", err)
		f.RecordUnrouted(req, headerValue(req.Header, d.RequestIDHeader), status, bundleInForce, err)
		return
	}
	if req.Body != nil && req.ContentLength != 0 {
		body := newTimedBody(w, req.Body, r.Deadline)
		defer body.end()
		req.Body = body
	}
	resp, err := d.serve(f, bundleInForce, r, l.Body, bodies)
	if err == nil {
		err = resp.ReadSmall()
	}
	if err != nil {
		status := d.sendProblem(w, r.ID, err)
		f.RecordEnd(r, status, errorOutcome(err), err, time.Since(start))
		return
	}
	resp.Header.Set(d.RequestIDHeader, r.ID)
	resp.Header.Set(outcome.HeaderName, string(outcome.Ran))
	if err := sendWithin(w, resp, r.Deadline); err != nil {
		f.RecordEnd(r, resp.Status, outcome.Unknown, err, time.Since(start))
		abort(w, req)
	}
	f.RecordEnd(r, resp.Status, outcome.Ran, nil, time.Since(start))
}

// abort ends the connection of a response that was sent in part, so that it doesn't look complete. It doesn't return.
func abort(w http.ResponseWriter, req *http.Request) {
	if !req.ProtoAtLeast(1, 1) {
		reset(w)
	}
	panic(http.ErrAbortHandler)
}

// reset resets the connection: a response of HTTP/1.0 without a length ends with its connection, so that an orderly close completes it.
func reset(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is closed already
	}
	if tc, ok := c.(*net.TCPConn); ok {
		_ = tc.SetLinger(0) // fails if the connection is closed already
	}
	_ = c.Close()
}

// checkHead returns an error if the head of the request, as HTTP/1.1 writes it, has more than limit bytes.
func checkHead(req *http.Request, limit int64) error {
	size := len(req.Method) + len(" ") + len(req.RequestURI) + len(" HTTP/1.1\r\n") + len("Host: ") + len(req.Host) + len("\r\n\r\n")
	for name, values := range req.Header {
		for _, v := range values {
			size += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	if int64(size) > limit {
		return outcome.NewError(outcome.NotRun, outcome.CodeHeadTooLarge, errors.Errorf("head has %d bytes, limit is %d", size, limit))
	}
	return nil
}

// sendWithin sends the response. A caller that doesn't read it is given up sendGrace after the deadline of its request, or after now if
// the response is late.
func sendWithin(w http.ResponseWriter, resp *upstream.Response, deadline time.Time) error {
	latest := time.Now()
	if deadline.After(latest) {
		latest = deadline
	}
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(latest.Add(sendGrace)) // fails if the connection is closed, and then sending fails, too
	if err := resp.Send(w); err != nil {
		return err
	}
	_ = rc.SetWriteDeadline(time.Time{}) // the next request on the connection has its own; the response has been sent even if this fails
	return nil
}

func (d Dialect) serve(f Fleet, b *bundle.Bundle, r *Request, maxBody int64, bodies *uploads) (*upstream.Response, error) {
	if d.IdentityHeader != d.CallerHeader {
		r.HTTP.Header.Del(d.IdentityHeader)
	}
	if err := d.checkKey(f, b, r); err != nil {
		return nil, unknownIfMayHaveRun(r, err)
	}
	if r.HTTP.ContentLength > maxBody {
		err := errors.Errorf("body has %d bytes, limit is %d", r.HTTP.ContentLength, maxBody)
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeTooLarge, err)
	}
	if err := f.Admit(r); err != nil {
		return nil, unknownIfMayHaveRun(r, err)
	}
	release, err := bodies.take(r.HTTP.ContentLength)
	defer release()
	if err != nil {
		return nil, unknownIfMayHaveRun(r, err)
	}
	if r.Body, err = ReadBody(r.HTTP.Body, r.HTTP.ContentLength); err != nil {
		return nil, unknownIfMayHaveRun(r, err)
	}
	return f.Serve(r.HTTP.Context(), r)
}

// unknownIfMayHaveRun turns the not-run outcome of a retried request into an unknown one, since the earlier request may have run.
func unknownIfMayHaveRun(r *Request, err error) error {
	var e *outcome.Error
	if !r.MayHaveRun() || !errors.As(err, &e) {
		return err
	}
	return &outcome.Error{Outcome: outcome.Unknown, Code: e.Code, RetryAfter: e.RetryAfter, Err: e.Err}
}

func errorOutcome(err error) outcome.Outcome {
	var e *outcome.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return outcome.Unknown
}
