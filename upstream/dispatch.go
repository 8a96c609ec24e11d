package upstream

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/pkg/errors"
)

// result classifies how an attempt ended, as evidence of the health of the upstream.
type result int

const (
	succeeded result = iota
	failed           // the upstream responded with an error status
	broken           // the connection broke, or the response was truncated or belongs to another attempt
	timedOut         // the deadline passed
	shed             // the upstream did not start the request
	canceled         // the caller canceled the request
)

func (g *Gate) dispatch(ctx context.Context, a *Attempt, id uint64) (*Response, error) {
	start := time.Now()
	deadline := a.Deadline.Add(-deadlineMargin)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	sent := newSentBody(a)
	req := g.newRequest(a, start)
	g.mu.Lock()
	g.inFlight[id] = &inFlight{start: start, typicalLatency: a.TypicalLatency, body: sent}
	address := g.announcement.Address
	g.mu.Unlock()
	maxIdle := idleTimeout
	if a.NonIdempotent {
		maxIdle = nonIdempotentIdleTimeout
	}
	x, err := g.conns.roundTrip(ctx, req, address, deadline, maxIdle)
	if err != nil {
		g.finish(a, id, start.Add(sent.awaited(time.Now())), classifyError(ctx, err))
		defer cancel()
		return nil, dispatchError(ctx, err)
	}
	g.recordHead(id)
	end := func(r result) {
		g.finish(a, id, start, r)
		cancel()
	}
	if err := g.rejection(x.resp); err != nil && g.isOwn(a, x) {
		x.abort()
		end(shed)
		return nil, err
	}
	resp, r, err := g.receive(ctx, a, x)
	if err == nil && a.NonIdempotent && PromisesNotRun(resp.Status) {
		_ = resp.Reader().Close()
		resp, r, err = nil, failed, outcome.NewError(outcome.Unknown, outcome.CodeUpstreamFailed, errors.Errorf("status %d of the upstream, which doesn't say that it did not run", resp.Status))
	}
	if err != nil || resp.Body == nil {
		end(r)
		return resp, err
	}
	resp.Body = newTrackedBody(ctx, time.Now(), resp, func(r result, readerTime time.Duration) {
		g.excuse(id, readerTime)
		g.finish(a, id, start.Add(readerTime), r)
		cancel()
	})
	return resp, nil
}

// excuse makes the time in which the upstream waited for the reader of its response no part of what it took itself.
func (g *Gate) excuse(id uint64, readerTime time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w := g.inFlight[id]; w != nil {
		w.start = w.start.Add(readerTime)
	}
}

// rejection returns an error if the response says that the upstream did not start the request. A response with a malformed status proves nothing.
func (g *Gate) rejection(resp *http.Response) error {
	if !validStatus(resp.StatusCode) {
		return nil
	}
	reason := resp.Header.Get(g.dialect.NotRunHeader)
	switch {
	case resp.StatusCode == http.StatusMisdirectedRequest && g.dialect.InstanceHeader != "":
		return outcome.NewError(outcome.NotRun, outcome.CodeDraining, errors.New("another instance has the address"))
	case reason != "" && resp.StatusCode >= http.StatusBadRequest:
		return outcome.NewError(outcome.NotRun, outcome.CodeShed, errors.New(reason))
	}
	return nil
}

// isOwn reports whether a refusal is the answer to the attempt. One with another id, or one without an id on a connection that has carried an
// answer before, may be an earlier refusal that the upstream has written once more.
func (g *Gate) isOwn(a *Attempt, x *exchange) bool {
	id := x.resp.Header.Get(g.dialect.AttemptHeader)
	return id == g.attemptID(a) || id == "" && x.conn.lastUsed.IsZero()
}

func (g *Gate) newRequest(a *Attempt, now time.Time) *http.Request {
	var body io.ReadCloser
	if a.Length != 0 && a.Body != nil {
		body = io.NopCloser(a.Body)
	}
	announcement := g.Announcement()
	req := &http.Request{
		Method:     a.Method,
		URL:        &url.URL{Scheme: "http", Host: announcement.Address},
		RequestURI: a.URI, // send writes this one, as it is
		Host:       a.Host,
		Header:     a.Header,
		Body:       body,
	}
	if body != nil {
		req.ContentLength = a.Length
	}
	if req.Header == nil {
		req.Header = make(http.Header)
	}
	if _, ok := req.Header["User-Agent"]; !ok {
		req.Header["User-Agent"] = nil // keeps net/http from adding its own value
	}
	d := g.dialect
	setHeader(req.Header, d.AttemptHeader, g.attemptID(a))
	setHeader(req.Header, d.TimeoutHeader, strconv.FormatInt(a.Deadline.Sub(now).Milliseconds(), 10))
	setHeader(req.Header, d.DeadlineHeader, strconv.FormatInt(a.Deadline.UnixMilli(), 10))
	setHeader(req.Header, d.InstanceHeader, announcement.ID)
	setHeader(req.Header, d.OriginHeader, a.Origin)
	if a.Caller != "" {
		setHeader(req.Header, d.CallerHeader, a.Caller)
	}
	return req
}

func setHeader(h http.Header, name, value string) {
	if name != "" {
		h.Set(name, value)
	}
}

// attemptID returns the attempt id that the response must repeat.
func (g *Gate) attemptID(a *Attempt) string {
	if g.dialect.AttemptIsRequestID {
		return a.RequestID
	}
	return a.ID
}

// classifyError classifies an attempt that failed with err. The deadline of the connection may be noticed before that of ctx if the node has
// not run for some time.
func classifyError(ctx context.Context, err error) result {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return timedOut
	case ctx.Err() != nil:
		return canceled
	}
	return broken
}

// dispatchError returns the error of an attempt without a response.
// Its outcome is not-run only if no connection was established.
func dispatchError(ctx context.Context, err error) error {
	var dial *dialError
	if errors.As(err, &dial) {
		return outcome.NewError(outcome.NotRun, outcome.CodeUpstreamFailed, err)
	}
	code := outcome.CodeUpstreamFailed
	if classifyError(ctx, err) == timedOut {
		code = outcome.CodeTimeout
	}
	return outcome.NewError(outcome.Unknown, code, err)
}

// receive verifies the header of the response and reads a small response into memory; the Body of such a response is nil.
func (g *Gate) receive(ctx context.Context, a *Attempt, x *exchange) (*Response, result, error) {
	resp := x.resp
	if err := g.verify(a, resp); err != nil {
		x.abort()
		return nil, broken, err
	}
	out := &Response{Status: resp.StatusCode, Header: CleanHeader(resp.Header), Length: resp.ContentLength}
	if !g.dialect.AttemptIsRequestID {
		out.Header.Del(g.dialect.AttemptHeader)
	}
	out.Trailer = func() http.Header { return cleanTrailer(resp.Trailer) }
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, resp.Body, maxBufferedResponseBytes)
	if errors.Is(err, io.EOF) {
		x.release()
		out.SetContent(buf.Bytes())
		if a.Method == http.MethodHead {
			out.Length = resp.ContentLength
		}
		return out, classifyStatus(resp.StatusCode), nil
	}
	if err != nil {
		x.abort()
		return nil, classifyError(ctx, err), outcome.NewError(outcome.Unknown, outcome.CodeTruncated, err)
	}
	out.Body = &streamedBody{Reader: io.MultiReader(&buf, resp.Body), x: x}
	return out, succeeded, nil
}

// Statuses of final responses.
const (
	minStatus = http.StatusOK
	maxStatus = 599
)

// validStatus reports whether the status is one of a final response.
func validStatus(status int) bool { return status >= minStatus && status <= maxStatus }

// verify checks that the response is one to the attempt, and that a successful one has the required proof header.
func (g *Gate) verify(a *Attempt, resp *http.Response) error {
	if !validStatus(resp.StatusCode) {
		return outcome.NewError(outcome.Unknown, outcome.CodeResponseMismatch, errors.Errorf("status %d is not one of a final response", resp.StatusCode))
	}
	if got, want := resp.Header.Get(g.dialect.AttemptHeader), g.attemptID(a); got != want {
		return outcome.NewError(outcome.Unknown, outcome.CodeResponseMismatch, errors.Errorf("response to attempt %q, want %q", got, want))
	}
	success := resp.StatusCode >= http.StatusOK && resp.StatusCode < http.StatusMultipleChoices
	if success && g.dialect.ProofHeader != "" && resp.Header.Get(g.dialect.ProofHeader) == "" {
		return outcome.NewError(outcome.Unknown, outcome.CodeResponseMismatch, errors.New("successful response without the required proof header"))
	}
	return nil
}

func classifyStatus(status int) result {
	if status >= http.StatusInternalServerError {
		return failed
	}
	return succeeded
}
