package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Fleet serves requests of callers.
type Fleet interface {
	// Bundle returns the bundle in force.
	Bundle() *bundle.Bundle
	// Admit counts a request against its caller's limit.
	Admit(r *Request) error
	// Serve runs the request; the error is an *outcome.Error.
	Serve(ctx context.Context, r *Request) (*upstream.Response, error)
	// Ended notes how a request ended and how long it took.
	Ended(r *Request, status int, o outcome.Outcome, err error, took time.Duration)
}

// Mount adds the handler of callers' requests in the dialect to e; body bounds the bytes of a request's body.
func Mount(e *echo.Echo, d Dialect, f Fleet, body int64) {
	e.RouteNotFound("/*", func(c echo.Context) error {
		d.handle(f, c.Response().Writer, c.Request(), body)
		return nil
	})
}

func (d Dialect) handle(f Fleet, w http.ResponseWriter, req *http.Request, body int64) {
	start := time.Now()
	if req.Body != nil {
		req.Body = http.MaxBytesReader(w, req.Body, body)
	}
	r, err := d.parse(f.Bundle(), req, start)
	if err != nil {
		d.sendProblem(w, "", err)
		return
	}
	ans, err := run(f, r, body)
	if err != nil {
		status := d.sendProblem(w, r.ID, err)
		f.Ended(r, status, errorOutcome(err), err, time.Since(start))
		return
	}
	w.Header().Set(d.Request, r.ID)
	ans.Header.Set(outcome.Header, string(outcome.Ran))
	if err := ans.Send(w); err != nil {
		f.Ended(r, ans.Status, outcome.Unknown, err, time.Since(start))
		panic(http.ErrAbortHandler) // a cut answer must not look whole
	}
	f.Ended(r, ans.Status, outcome.Ran, nil, time.Since(start))
}

func run(f Fleet, r *Request, body int64) (*upstream.Response, error) {
	if r.HTTP.ContentLength > body {
		err := errors.Errorf("body has %d bytes, limit is %d", r.HTTP.ContentLength, body)
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeTooLarge, err)
	}
	if err := f.Admit(r); err != nil {
		return nil, doubt(r, err)
	}
	var err error
	if r.Body, err = ReadBody(r.HTTP.Body, r.HTTP.ContentLength); err != nil {
		return nil, doubt(r, err)
	}
	return f.Serve(r.HTTP.Context(), r)
}

// doubt keeps a refusal of a repeated request from saying that the work did not run: the earlier request may have run it.
func doubt(r *Request, err error) error {
	var e *outcome.Error
	if !r.MayHaveRun() || !errors.As(err, &e) {
		return err
	}
	return &outcome.Error{Outcome: outcome.Unknown, Code: e.Code, Retry: e.Retry, Err: e.Err}
}

func errorOutcome(err error) outcome.Outcome {
	var e *outcome.Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return outcome.Unknown
}
