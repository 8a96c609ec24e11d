package node

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/routing"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// requestLogSampler limits the rate of log lines on requests; the zero value allows none.
type requestLogSampler struct {
	success, failure *rate.Limiter
}

func newRequestLogSampler() requestLogSampler {
	return requestLogSampler{success: rate.NewLimiter(successLogRate, successLogRate), failure: rate.NewLimiter(failureLogRate, failureLogRate)}
}

// allow reports whether a line on a successful or failed request may be written.
func (s *requestLogSampler) allow(success bool) bool {
	if success {
		return s.success != nil && s.success.Allow()
	}
	return s.failure != nil && s.failure.Allow()
}

// step describes one attempt of a request in the log line on the request.
type step struct {
	to     string        // ID of the upstream; "none" if none was picked
	at     time.Duration // since the request began
	took   time.Duration
	choice routing.Choice
	result string
}

// String formats the step as upstream@start+duration(label probability/age)=result: the label says why the upstream was chosen,
// the probability that it is unhealthy is as old as the age, and times are in milliseconds.
func (s step) String() string {
	return fmt.Sprintf("%s@%d+%d(%s%.2f/%d)=%s", s.to, s.at.Milliseconds(), s.took.Milliseconds(),
		s.choice.Label(), s.choice.Suspicion, s.choice.SuspicionAge.Milliseconds(), s.result)
}

// logFailedAttempt logs an attempt at an upstream beside this node that ended with an error or a 5xx status.
func (n *Node) logFailedAttempt(id string, a *upstream.Attempt, g *upstream.Gate, resp *upstream.Response, err error) {
	if err == nil && resp.Status < http.StatusInternalServerError || !n.requestLog.allow(false) {
		return
	}
	load := g.Load(a.Class)
	_ = level.Info(n.logger).Log("msg", "attempt", "id", a.Request, "upstream", id, "class", a.Class, "result", resultText(resp, err),
		"sick", fmt.Sprintf("%.2f", load.Suspicion), "running", load.Load.Running, "queued", load.Load.Queued, "limit", load.Load.Limit,
		"left", time.Until(a.Deadline).Milliseconds(), "forced", a.Forced, "err", err)
}

// resultText returns the result of an attempt in full: the status, the transport error, or the outcome and code.
func resultText(resp *upstream.Response, err error) string {
	label := resultLabel(resp, err)
	switch {
	case err == nil:
		return strconv.Itoa(resp.Status)
	case label == string(outcome.CodePathLost):
		return "path: " + err.Error()
	}
	return label
}

// RecordEnd implements caller.Fleet.
func (n *Node) RecordEnd(r *caller.Request, status int, o outcome.Outcome, err error, took time.Duration) {
	service, class := r.Match.Service.Name(), r.Match.Class.Name()
	code := outcome.Code("")
	var e *outcome.Error
	if errors.As(err, &e) {
		code = e.Code
	}
	n.metrics.requests.WithLabelValues(service, class, string(o), string(code)).Inc()
	n.metrics.requestLatency.WithLabelValues(service, class, string(o)).Observe(took.Seconds())
	if o == outcome.Unknown && err != nil {
		n.events.Add(event.Event{Kind: event.Unknown, Request: r.ID, Text: service + "/" + class + " " + err.Error()})
	}
	success := err == nil && status < 500 && len(r.Steps) == 1 && took <= cmp.Or(r.Match.Class.Objective(), r.Match.Timeout())
	if !n.requestLog.allow(success) {
		return
	}
	_ = level.Info(n.logger).Log("msg", "request", "id", r.ID, "service", service, "class", class, "outcome", o, "code", code, "status", status,
		"ms", took.Milliseconds(), "timeout", r.Match.Timeout().Milliseconds(), "bundle", n.bundleVersion.Load(), "steps", strings.Join(r.Steps, " "), "err", err)
}
