package node

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Limits of the log output.
const (
	maxBufferedLines         = 2048             // maximum number of log lines that wait to be written
	minDropReportInterval    = 5 * time.Second  // minimum interval between warnings about dropped lines
	flushPollInterval        = time.Millisecond // interval at which Flush checks whether all lines are written
	maxSuccessLinesPerSecond = 20               // limit for lines about requests that succeeded in time at the first attempt
	maxFailureLinesPerSecond = 300              // limit for lines about failed, retried or slow requests and about failed attempts
)

// LogSink buffers log lines and writes them in the background.
// It drops lines while its buffer is full, so that no request waits for the log.
type LogSink struct {
	buffer       chan []byte
	pendingLines atomic.Int64  // number of lines that are buffered and not yet written
	droppedLines atomic.Uint64 // number of lines dropped since the start
}

// NewLogSink returns a LogSink that writes to output until the process ends.
func NewLogSink(output io.Writer) *LogSink {
	s := &LogSink{buffer: make(chan []byte, maxBufferedLines)}
	go s.run(output)
	return s
}

// Write implements io.Writer. It never blocks and drops the line if the buffer is full.
func (s *LogSink) Write(line []byte) (int, error) {
	s.pendingLines.Add(1)
	select {
	case s.buffer <- append([]byte(nil), line...):
	default:
		s.pendingLines.Add(-1)
		s.droppedLines.Add(1)
	}
	return len(line), nil
}

// Flush waits until all buffered lines are written or the timeout has passed.
func (s *LogSink) Flush(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); s.pendingLines.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(flushPollInterval)
	}
}

// DroppedLines returns the number of lines dropped so far.
func (s *LogSink) DroppedLines() uint64 { return s.droppedLines.Load() }

func (s *LogSink) run(output io.Writer) {
	var reportedLines uint64
	lastReport := time.Now()
	for line := range s.buffer {
		_, _ = output.Write(line) // an error cannot be logged, since this is the log
		s.pendingLines.Add(-1)
		if dropped := s.droppedLines.Load(); dropped > reportedLines && time.Since(lastReport) > minDropReportInterval {
			fmt.Fprintf(output, "level=warn msg=\"log lines dropped\" lines=%d\n", dropped-reportedLines)
			reportedLines, lastReport = dropped, time.Now()
		}
	}
}
