package load

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jasminevane/jasminevane/jasminelab/fakeupstream"
)

// Audit holds what callers were told against what the servers ran.
type Audit struct {
	Doubled int // non-idempotent work that ran more than once
	Lost    int // requests without a whole answer or an honest outcome
	Crossed int // answers to another request
	Untrue  int // work said not to have run that ran
	Cut     int // connections that broke at a node that was not killed
}

// String formats the counts as the last line of a run.
func (a Audit) String() string {
	return fmt.Sprintf("doubled %d lost %d crossed %d untrue %d cut %d", a.Doubled, a.Lost, a.Crossed, a.Untrue, a.Cut)
}

// Total returns the number of broken promises.
func (a Audit) Total() int { return a.Doubled + a.Lost + a.Crossed + a.Untrue + a.Cut }

// closeSlack is the time within which a node may close a connection whose next request it has not read.
const closeSlack = 200 * time.Millisecond

// RequestRuns is what the servers know of one piece of work.
type RequestRuns struct {
	Count   int
	Aborted bool // a server broke its answer off
	Origin  string
}

// RunsByTag returns what the servers ran, by tag.
func RunsByTag(servers []*fakeupstream.Server) map[string]RequestRuns {
	out := make(map[string]RequestRuns)
	for _, s := range servers {
		for _, run := range s.Runs() {
			w := out[run.Tag]
			w.Count++
			w.Aborted = w.Aborted || run.Aborted
			w.Origin = run.Origin
			out[run.Tag] = w
		}
	}
	return out
}

// Check audits the records against the servers' own.
func Check(records []Record, servers []*fakeupstream.Server) Audit {
	works := RunsByTag(servers)
	var a Audit
	for i := range records {
		a.add(&records[i], works[records[i].Tag])
	}
	return a
}

// Violation returns the promise that the record breaks, or an empty string.
func (r *Record) Violation(w RequestRuns) string {
	var a Audit
	a.add(r, w)
	switch {
	case a.Doubled > 0:
		return "doubled"
	case a.Untrue > 0:
		return "untrue"
	case a.Crossed > 0:
		return "crossed"
	case a.Cut > 0:
		return "cut"
	case a.Lost > 0:
		return "lost"
	}
	return ""
}

func (a *Audit) add(r *Record, w RequestRuns) {
	if !r.Stream.Class.Idempotent && w.Count > 1 {
		a.Doubled++
	}
	if r.Outcome == "not-run" && w.Count > 0 {
		a.Untrue++
	}
	if r.Crossed {
		a.Crossed++
	}
	if r.cutByNode(w) {
		a.Cut++
	}
	told := r.Outcome == "not-run" || r.Outcome == "unknown" || r.Outcome == "ran" && (r.Complete || r.Code != "")
	if !told && !r.Crossed && !r.Cut && !r.NodeKilled {
		a.Lost++
	}
	if r.Outcome == "ran" && r.Code == "" && w.Count == 0 {
		a.Lost++
	}
}

// cutByNode reports whether a node that lives broke the connection of a request that it had read, while its server was whole.
func (r *Record) cutByNode(w RequestRuns) bool {
	if !r.Cut || !r.platform {
		return r.Cut
	}
	if w.Count == 0 {
		return r.AttemptDuration > closeSlack
	}
	return !w.Aborted
}

// Summary condenses the records of one class.
type Summary struct {
	Class    string
	Priority int
	Sent     int
	Answered int // ran, with a whole answer below 500
	Failed   int // ran, with a status of 500 or more
	NotRun   int
	Unknown  int
	P50, P99 time.Duration // of answered requests
	Codes    map[string]int
}

const maxMicros = 60_000_000

// Summarize condenses the records that began between from and to, by class; zero times are open.
func Summarize(records []Record, from, to time.Time) []Summary {
	sums := make(map[string]*Summary)
	hists := make(map[string]*hdrhistogram.Histogram)
	for i := range records {
		r := &records[i]
		if !from.IsZero() && r.ScheduledAt.Before(from) || !to.IsZero() && !r.ScheduledAt.Before(to) {
			continue
		}
		name := r.Stream.Service.Name + "/" + r.Stream.Class.Name
		s := sums[name]
		if s == nil {
			s = &Summary{Class: name, Priority: r.Stream.Class.Priority, Codes: make(map[string]int)}
			sums[name] = s
			hists[name] = hdrhistogram.New(1, maxMicros, 3)
		}
		s.Sent++
		s.add(r, hists[name])
	}
	var out []Summary
	for name, s := range sums {
		s.P50 = time.Duration(hists[name].ValueAtQuantile(50)) * time.Microsecond
		s.P99 = time.Duration(hists[name].ValueAtQuantile(99)) * time.Microsecond
		out = append(out, *s)
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Priority != out[j].Priority {
			return out[i].Priority < out[j].Priority
		}
		return out[i].Class < out[j].Class
	})
	return out
}

func (s *Summary) add(r *Record, h *hdrhistogram.Histogram) {
	if r.Code != "" {
		s.Codes[r.Code]++
	}
	switch {
	case r.Outcome == "ran" && r.Complete && r.Status < 500 || r.Stream.DirectAddr != "" && r.Complete:
		s.Answered++
		_ = h.RecordValue(min(maxMicros, max(1, r.Latency.Microseconds())))
	case r.Outcome == "ran":
		s.Failed++
	case r.Outcome == "not-run":
		s.NotRun++
	default:
		s.Unknown++
	}
}

// Find returns the summary of a class, or an empty one.
func Find(list []Summary, class string) Summary {
	for _, s := range list {
		if s.Class == class {
			return s
		}
	}
	return Summary{Class: class}
}
