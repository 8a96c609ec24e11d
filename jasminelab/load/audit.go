package load

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jasminevane/jasminevane/jasminelab/fakeupstream"
)

// Audit counts the violations of the guarantees to callers, found by comparing responses with what the servers ran.
type Audit struct {
	DuplicateRuns       int // number of non-idempotent requests that ran more than once
	MissingOutcomes     int // number of requests without a complete response or a stated outcome, or that did not run though the response says so
	MismatchedResponses int // number of responses that belong to another request
	FalseNotRun         int // number of requests that ran though the response says that they did not
	BrokenConnections   int // number of connections broken by a node that was not killed
}

// String formats the counts as they are printed at the end of a run.
func (a Audit) String() string {
	return fmt.Sprintf("doubled %d lost %d crossed %d untrue %d cut %d", a.DuplicateRuns, a.MissingOutcomes, a.MismatchedResponses, a.FalseNotRun, a.BrokenConnections)
}

// Total returns the number of violations.
func (a Audit) Total() int {
	return a.DuplicateRuns + a.MissingOutcomes + a.MismatchedResponses + a.FalseNotRun + a.BrokenConnections
}

// idleCloseTolerance is the maximum time after a request is sent within which a node may close the idle connection without having
// read the request.
const idleCloseTolerance = 200 * time.Millisecond

// RequestRuns summarizes the runs of one request on all servers.
type RequestRuns struct {
	Count   int
	Aborted bool   // at least one server did not send a complete, valid response
	Origin  string // origin service named in the latest run recorded
}

// RunsByTag returns the runs on all servers by the tag of the request.
func RunsByTag(servers []*fakeupstream.Server) map[string]RequestRuns {
	runsByTag := make(map[string]RequestRuns)
	for _, s := range servers {
		for _, run := range s.Runs() {
			runs := runsByTag[run.Tag]
			runs.Count++
			runs.Aborted = runs.Aborted || run.Aborted
			runs.Origin = run.Origin
			runsByTag[run.Tag] = runs
		}
	}
	return runsByTag
}

// Check audits the records against the runs on the servers.
func Check(records []Record, servers []*fakeupstream.Server) Audit {
	runsByTag := RunsByTag(servers)
	var a Audit
	for i := range records {
		a.add(&records[i], runsByTag[records[i].Tag])
	}
	return a
}

// Violation returns the name of the first violation found in the record, or an empty string.
func (r *Record) Violation(runs RequestRuns) string {
	var a Audit
	a.add(r, runs)
	switch {
	case a.DuplicateRuns > 0:
		return "doubled"
	case a.FalseNotRun > 0:
		return "untrue"
	case a.MismatchedResponses > 0:
		return "crossed"
	case a.BrokenConnections > 0:
		return "cut"
	case a.MissingOutcomes > 0:
		return "lost"
	}
	return ""
}

func (a *Audit) add(r *Record, runs RequestRuns) {
	if !r.Stream.Class.Idempotent && runs.Count > 1 {
		a.DuplicateRuns++
	}
	if r.Outcome == "not-run" && runs.Count > 0 {
		a.FalseNotRun++
	}
	if r.ResponseMismatched {
		a.MismatchedResponses++
	}
	if r.brokenByNode(runs) {
		a.BrokenConnections++
	}
	hasOutcome := r.Outcome == "not-run" || r.Outcome == "unknown" || r.Outcome == "ran" && (r.Complete || r.Code != "")
	if !hasOutcome && !r.ResponseMismatched && !r.ConnectionBroken && !r.NodeKilled {
		a.MissingOutcomes++
	}
	if r.Outcome == "ran" && r.Code == "" && runs.Count == 0 {
		a.MissingOutcomes++
	}
}

// brokenByNode reports whether the node broke the connection without a permitted reason. With the platform's protocol, a node may break
// it if the server aborted the response, or if the connection was idle and the node had not read the request.
func (r *Record) brokenByNode(runs RequestRuns) bool {
	if !r.ConnectionBroken || !r.platform {
		return r.ConnectionBroken
	}
	if runs.Count == 0 {
		return r.AttemptDuration > idleCloseTolerance
	}
	return !runs.Aborted
}

// Summary summarizes the records of one class.
type Summary struct {
	Class    string
	Priority int
	Sent     int
	Answered int            // requests that ran and got a complete response with a status below 500
	Failed   int            // other requests that ran
	NotRun   int            // requests whose response says that they did not run
	Unknown  int            // requests with an unknown outcome
	P50, P99 time.Duration  // latency of answered requests
	Codes    map[string]int // number of requests by error code
}

const maxLatencyMicros = 60_000_000

// Summarize returns a summary by class of the records scheduled in [from, to); a zero time sets no bound.
func Summarize(records []Record, from, to time.Time) []Summary {
	summaries := make(map[string]*Summary)
	histograms := make(map[string]*hdrhistogram.Histogram)
	for i := range records {
		r := &records[i]
		if !from.IsZero() && r.ScheduledAt.Before(from) || !to.IsZero() && !r.ScheduledAt.Before(to) {
			continue
		}
		name := r.Stream.Service.Name + "/" + r.Stream.Class.Name
		s := summaries[name]
		if s == nil {
			s = &Summary{Class: name, Priority: r.Stream.Class.Priority, Codes: make(map[string]int)}
			summaries[name] = s
			histograms[name] = hdrhistogram.New(1, maxLatencyMicros, 3)
		}
		s.Sent++
		s.add(r, histograms[name])
	}
	var sorted []Summary
	for name, s := range summaries {
		s.P50 = time.Duration(histograms[name].ValueAtQuantile(50)) * time.Microsecond
		s.P99 = time.Duration(histograms[name].ValueAtQuantile(99)) * time.Microsecond
		sorted = append(sorted, *s)
	}
	sort.Slice(sorted, func(i, j int) bool {
		if sorted[i].Priority != sorted[j].Priority {
			return sorted[i].Priority < sorted[j].Priority
		}
		return sorted[i].Class < sorted[j].Class
	})
	return sorted
}

func (s *Summary) add(r *Record, latencies *hdrhistogram.Histogram) {
	if r.Code != "" {
		s.Codes[r.Code]++
	}
	switch {
	case r.Outcome == "ran" && r.Complete && r.Status < 500 || r.Stream.DirectAddr != "" && r.Complete:
		s.Answered++
		_ = latencies.RecordValue(min(maxLatencyMicros, max(1, r.Latency.Microseconds())))
	case r.Outcome == "ran":
		s.Failed++
	case r.Outcome == "not-run":
		s.NotRun++
	default:
		s.Unknown++
	}
}

// FindSummary returns the summary of the class, or an empty one if there is none.
func FindSummary(summaries []Summary, class string) Summary {
	for _, s := range summaries {
		if s.Class == class {
			return s
		}
	}
	return Summary{Class: class}
}
