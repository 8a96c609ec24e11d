package node

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Limits of the log.
const (
	sinkCapacity       = 2048            // lines buffered for writing
	dropReportInterval = 5 * time.Second // minimum interval between reports of dropped lines
	flushPollInterval  = time.Millisecond
	successLogRate     = 20  // lines a second on requests that succeeded in time at the first attempt
	failureLogRate     = 300 // lines a second on failed, retried or slow requests, and on failed attempts
)

// Sink writes log lines in the background and drops them if the writer is too slow, so that no request waits for the log.
type Sink struct {
	lines   chan []byte
	pending atomic.Int64 // lines accepted and not yet written
	dropped atomic.Uint64
}

// NewSink returns a Sink that writes to w until the process ends.
func NewSink(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, sinkCapacity)}
	go s.run(w)
	return s
}

// Write implements io.Writer; it never blocks.
func (s *Sink) Write(p []byte) (int, error) {
	s.pending.Add(1)
	select {
	case s.lines <- append([]byte(nil), p...):
	default:
		s.pending.Add(-1)
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Flush waits until all lines accepted so far are written, but not longer than timeout.
func (s *Sink) Flush(timeout time.Duration) {
	for end := time.Now().Add(timeout); s.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(flushPollInterval)
	}
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

func (s *Sink) run(w io.Writer) {
	var reported uint64
	lastReport := time.Now()
	for line := range s.lines {
		_, _ = w.Write(line) // there is no other place to report an error
		s.pending.Add(-1)
		if n := s.dropped.Load(); n > reported && time.Since(lastReport) > dropReportInterval {
			fmt.Fprintf(w, "level=warn msg=\"log lines dropped\" lines=%d\n", n-reported)
			reported, lastReport = n, time.Now()
		}
	}
}
