package node

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Bounds of the log.
const (
	sinkCapacity       = 2048 // lines that wait to be written
	dropReportInterval = 5 * time.Second
	flushPollInterval  = time.Millisecond
	successLogRate     = 20  // lines a second on requests that went well
	failureLogRate     = 300 // lines a second on requests that did not
)

// Sink writes log lines in the background and drops them where its reader is too slow, so that no request waits for a log.
type Sink struct {
	lines   chan []byte
	pending atomic.Int64 // lines taken and not yet written
	dropped atomic.Uint64
}

// NewSink returns a sink to w, which it writes to until the process ends.
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

// Flush waits until all lines taken so far are written, for as long as limit.
func (s *Sink) Flush(limit time.Duration) {
	for end := time.Now().Add(limit); s.pending.Load() > 0 && time.Now().Before(end); {
		time.Sleep(flushPollInterval)
	}
}

// Dropped returns how many lines were dropped.
func (s *Sink) Dropped() uint64 { return s.dropped.Load() }

func (s *Sink) run(w io.Writer) {
	var told uint64
	last := time.Now()
	for line := range s.lines {
		_, _ = w.Write(line) // there is nowhere else to say it
		s.pending.Add(-1)
		if n := s.dropped.Load(); n > told && time.Since(last) > dropReportInterval {
			fmt.Fprintf(w, "level=warn msg=\"log lines dropped\" lines=%d\n", n-told)
			told, last = n, time.Now()
		}
	}
}
