package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/pkg/errors"
)

// result classifies the end of an attempt as evidence on the upstream.
type result int

const (
	well   result = iota
	failed        // the upstream said so
	broken        // the connection broke, or the answer was cut or crossed
	late          // the deadline passed
	shed
	neutral // the caller went away
)

func (g *Gate) dispatch(ctx context.Context, a *Attempt, id uint64) (*Response, error) {
	start := time.Now()
	deadline := a.Deadline.Add(-deadlineMargin)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	req := g.request(a, start)
	g.mu.Lock()
	g.work[id] = &work{start: start, usual: a.TypicalLatency}
	address := g.spec.Address
	g.mu.Unlock()
	limit := idleTimeout
	if a.AtMostOnce {
		limit = onceIdle
	}
	x, err := g.conns.roundTrip(ctx, req, address, deadline, limit)
	if err != nil {
		g.done(a, id, start, classify(ctx))
		defer cancel()
		return nil, dispatchError(ctx, err)
	}
	end := func(r result) {
		g.done(a, id, start, r)
		cancel()
	}
	if err := g.refused(x.resp); err != nil {
		x.abort()
		end(shed)
		return nil, err
	}
	ans, r, err := g.receive(ctx, a, x)
	if err != nil || ans.Body == nil {
		end(r)
		return ans, err
	}
	ans.Body = &stream{ReadCloser: ans.Body, want: ans.Length, end: end, ctx: ctx}
	return ans, nil
}

// refused returns the error of an answer that says that the work did not start.
func (g *Gate) refused(resp *http.Response) error {
	reason := resp.Header.Get(g.dialect.NotRun)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && g.dialect.Instance != "":
		return outcome.NewError(outcome.NotRun, outcome.CodeDraining, errors.New("another instance has the address"))
	case reason != "" && resp.StatusCode >= http.StatusBadRequest:
		return outcome.NewError(outcome.NotRun, outcome.CodeShed, errors.New(reason))
	}
	return nil
}

func (g *Gate) request(a *Attempt, now time.Time) *http.Request {
	var body io.ReadCloser
	if a.Length != 0 && a.Body != nil {
		body = io.NopCloser(a.Body)
	}
	spec := g.Announcement()
	req := &http.Request{
		Method: a.Method,
		URL:    &url.URL{Scheme: "http", Host: spec.Address, Opaque: a.URI},
		Host:   a.Host,
		Header: a.Header,
		Body:   body,
	}
	if body != nil {
		req.ContentLength = a.Length
	}
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // net/http adds none of its own
	}
	d := g.dialect
	setHeader(req.Header, d.Attempt, g.attemptID(a))
	setHeader(req.Header, d.Timeout, strconv.FormatInt(a.Deadline.Sub(now).Milliseconds(), 10))
	setHeader(req.Header, d.Deadline, strconv.FormatInt(a.Deadline.UnixMilli(), 10))
	setHeader(req.Header, d.Instance, spec.ID)
	setHeader(req.Header, d.Origin, a.Origin)
	return req
}

func setHeader(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// attemptID returns the id that the answer must repeat.
func (g *Gate) attemptID(a *Attempt) string {
	if g.dialect.AttemptIsRequestID {
		return a.Request
	}
	return a.ID
}

func classify(ctx context.Context) result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return late
	case ctx.Err() != nil:
		return neutral
	}
	return broken
}

// dispatchError says what is known of an attempt that ended without an answer: not run only where no connection was made.
func dispatchError(ctx context.Context, err error) error {
	var dial *errDial
	if errors.As(err, &dial) {
		return outcome.NewError(outcome.NotRun, outcome.CodeUpstream, err)
	}
	code := outcome.CodeUpstream
	if classify(ctx) == late {
		code = outcome.CodeTimeout
	}
	return outcome.NewError(outcome.Unknown, code, err)
}

// receive checks the head of the answer and reads a small one whole; the answer has no body left to stream when it is whole.
func (g *Gate) receive(ctx context.Context, a *Attempt, x *exchange) (*Response, result, error) {
	resp := x.resp
	if err := g.verify(a, resp); err != nil {
		x.abort()
		return nil, broken, err
	}
	if !g.dialect.AttemptIsRequestID {
		resp.Header.Del(g.dialect.Attempt)
	}
	ans := &Response{Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength}
	ans.Trailer = func() http.Header { return resp.Trailer }
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, resp.Body, wholeAnswer)
	if errors.Is(err, io.EOF) {
		x.release()
		ans.SetContent(buf.Bytes())
		if a.Method == http.MethodHead {
			ans.Length = resp.ContentLength
		}
		return ans, rate(resp.StatusCode), nil
	}
	if err != nil {
		x.abort()
		return nil, classify(ctx), outcome.NewError(outcome.Unknown, outcome.CodeTruncated, err)
	}
	ans.Body = &body{Reader: io.MultiReader(&buf, resp.Body), x: x}
	return ans, well, nil
}

// verify checks that the answer belongs to the attempt and that a success bears the upstream's proof.
func (g *Gate) verify(a *Attempt, resp *http.Response) error {
	if got, want := resp.Header.Get(g.dialect.Attempt), g.attemptID(a); got != want {
		return outcome.NewError(outcome.Unknown, outcome.CodeCrossed, errors.Errorf("answer to attempt %q, want %q", got, want))
	}
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	if success && g.dialect.Proof != "" && resp.Header.Get(g.dialect.Proof) == "" {
		return outcome.NewError(outcome.Unknown, outcome.CodeCrossed, errors.New("a success without the upstream's proof"))
	}
	return nil
}

func rate(status int) result {
	if status >= http.StatusInternalServerError {
		return failed
	}
	return well
}
