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

// tracer bounds the lines on requests; the zero value writes none.
type tracer struct {
	well, trouble *rate.Limiter
}

func newTracer() tracer {
	return tracer{well: rate.NewLimiter(sampleRate, sampleRate), trouble: rate.NewLimiter(troubleRate, troubleRate)}
}

// allow reports whether a line may be written.
func (t *tracer) allow(well bool) bool {
	if well {
		return t.well != nil && t.well.Allow()
	}
	return t.trouble != nil && t.trouble.Allow()
}

// step is what one attempt of a request did, for the line on the request.
type step struct {
	to     string
	at     time.Duration // since the request began
	took   time.Duration
	choice routing.Choice
	result string
}

// String formats the step as upstream@start+took(why belief/age)=result, times in milliseconds.
func (s step) String() string {
	return fmt.Sprintf("%s@%d+%d(%s%.2f/%d)=%s", s.to, s.at.Milliseconds(), s.took.Milliseconds(),
		s.choice.Label(), s.choice.Suspicion, s.choice.SuspicionAge.Milliseconds(), s.result)
}

// noteAttempt writes a line on an attempt at an upstream beside this node that did not end well.
func (n *Node) noteAttempt(id string, a *upstream.Attempt, g *upstream.Gate, ans *upstream.Response, err error) {
	if err == nil && ans.Status < http.StatusInternalServerError || !n.trace.allow(false) {
		return
	}
	l := g.Load(a.Class)
	_ = level.Info(n.logger).Log("msg", "attempt", "id", a.RequestID, "upstream", id, "class", a.Class, "result", resultOf(ans, err),
		"sick", fmt.Sprintf("%.2f", l.Suspicion), "running", l.Load.Running, "queued", l.Load.Queued, "limit", l.Load.Limit,
		"left", time.Until(a.Deadline).Milliseconds(), "forced", a.Forced, "err", err)
}

// resultOf returns the result of an attempt in full: the status, or the error.
func resultOf(ans *upstream.Response, err error) string {
	label := resultLabel(ans, err)
	switch {
	case err == nil:
		return strconv.Itoa(ans.Status)
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
	n.metrics.latency.WithLabelValues(service, class, string(o)).Observe(took.Seconds())
	if o == outcome.Unknown && err != nil {
		n.events.Add(event.Event{Kind: event.Unknown, Request: r.ID, Text: service + "/" + class + " " + err.Error()})
	}
	well := err == nil && status < 500 && len(r.Steps) == 1 && took <= cmp.Or(r.Match.Class.Objective(), r.Match.Timeout())
	if !n.trace.allow(well) {
		return
	}
	_ = level.Info(n.logger).Log("msg", "request", "id", r.ID, "service", service, "class", class, "outcome", o, "code", code, "status", status,
		"ms", took.Milliseconds(), "timeout", r.Match.Timeout().Milliseconds(), "bundle", n.version.Load(), "steps", strings.Join(r.Steps, " "), "err", err)
}
