package node

import (
	"cmp"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/routing"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// requestLogSampler limits the rate of log lines about requests and attempts; the zero value allows none.
type requestLogSampler struct {
	successLimiter, failureLimiter *rate.Limiter
}

func newRequestLogSampler() requestLogSampler {
	return requestLogSampler{successLimiter: rate.NewLimiter(maxSuccessLinesPerSecond, maxSuccessLinesPerSecond), failureLimiter: rate.NewLimiter(maxFailureLinesPerSecond, maxFailureLinesPerSecond)}
}

// allow reports whether a log line about a successful or failed request may be written now.
func (s *requestLogSampler) allow(success bool) bool {
	if success {
		return s.successLimiter != nil && s.successLimiter.Allow()
	}
	return s.failureLimiter != nil && s.failureLimiter.Allow()
}

// attemptSummary describes one attempt in the log line about its request.
type attemptSummary struct {
	upstreamID string        // "none" if no upstream could be chosen
	startDelay time.Duration // time from the start of the request to the start of the attempt
	duration   time.Duration
	choice     routing.Choice
	result     string
}

// String formats the summary as upstream@start+duration(label probability/age)=result, with times in milliseconds.
// The label marks trial and forced choices. The probability that the upstream is unhealthy is given with its age.
func (s attemptSummary) String() string {
	return fmt.Sprintf("%s@%d+%d(%s%.2f/%d)=%s", s.upstreamID, s.startDelay.Milliseconds(), s.duration.Milliseconds(),
		s.choice.Label(), s.choice.Suspicion, s.choice.SuspicionAge.Milliseconds(), s.result)
}

// logFailedAttempt logs an attempt if it ended with an error or a 5xx status. Its upstream is beside this node.
func (n *Node) logFailedAttempt(upstreamID string, attempt *upstream.Attempt, gate *upstream.Gate, resp *upstream.Response, err error) {
	if err == nil && resp.Status < http.StatusInternalServerError || !n.requestLog.allow(false) {
		return
	}
	load := gate.Load(attempt.Class)
	_ = level.Info(n.logger).Log("msg", "attempt", "id", clip(attempt.RequestID), "upstream", upstreamID, "class", attempt.Class, "result", resultText(resp, err),
		"sick", fmt.Sprintf("%.2f", load.Suspicion), "running", load.Load.Running, "queued", load.Load.Queued, "limit", load.Load.Limit,
		"left", time.Until(attempt.Deadline).Milliseconds(), "forced", attempt.Forced, "caller", attempt.Caller, "retry_after", retryAfterOf(err).Milliseconds(), "err", err)
}

// retryAfterOf returns the time after which a refused attempt may succeed, or 0 if none is known.
func retryAfterOf(err error) time.Duration {
	var outcomeErr *outcome.Error
	if !errors.As(err, &outcomeErr) {
		return 0
	}
	return outcomeErr.RetryAfter
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

// RecordUnrouted implements caller.Fleet. The line tells how long ago the node last knew that it had the newest version.
func (n *Node) RecordUnrouted(req *http.Request, id string, status int, b *bundle.Bundle, err error) {
	code := outcome.Code("")
	var outcomeErr *outcome.Error
	if errors.As(err, &outcomeErr) {
		code = outcomeErr.Code
	}
	n.metrics.unrouted.WithLabelValues(string(code)).Inc()
	if !n.requestLog.allow(false) {
		return
	}
	path, _, _ := strings.Cut(req.RequestURI, "?") // a query may hold what is secret
	_ = level.Info(n.logger).Log("msg", "unrouted", "id", clip(id), "host", clip(req.Host), "path", clip(path), "status", status, "code", code,
		"bundle", n.bundleVersion.Load(), "digest", b.Digest(), "known", n.knownAge())
}

// maxLoggedBytes is the maximum length of a value that a caller has chosen, in a log line.
const maxLoggedBytes = 128

// clip cuts a value that a caller has chosen to the length that a log line may hold.
func clip(s string) string { return s[:min(len(s), maxLoggedBytes)] }

// RecordEnd implements caller.Fleet. It records a finished request in the metrics, the events and the log.
func (n *Node) RecordEnd(r *caller.Request, status int, requestOutcome outcome.Outcome, err error, duration time.Duration) {
	service, class := r.Match.Service.Name(), r.Match.Class.Name()
	code := outcome.Code("")
	var outcomeErr *outcome.Error
	if errors.As(err, &outcomeErr) {
		code = outcomeErr.Code
	}
	n.metrics.requests.WithLabelValues(service, class, string(requestOutcome), string(code)).Inc()
	n.metrics.requestLatency.WithLabelValues(service, class, string(requestOutcome)).Observe(duration.Seconds())
	if requestOutcome == outcome.Unknown && err != nil {
		n.events.Add(event.Event{Kind: event.Unknown, Request: clip(r.ID), Text: service + "/" + class + " " + err.Error()})
	}
	success := err == nil && status < 500 && len(r.Steps) == 1 && duration <= cmp.Or(r.Match.Class.Objective(), r.Match.Timeout())
	if !n.requestLog.allow(success) {
		return
	}
	logger := n.logger
	if r.Identified {
		logger = log.With(logger, "caller", r.Caller)
	}
	_ = level.Info(logger).Log("msg", "request", "id", clip(r.ID), "service", service, "class", class, "outcome", requestOutcome, "code", code, "status", status,
		"ms", duration.Milliseconds(), "timeout", r.Match.Timeout().Milliseconds(), "bundle", n.bundleVersion.Load(), "digest", r.Bundle.Digest(), "steps", strings.Join(r.Steps, " "), "err", err)
}
