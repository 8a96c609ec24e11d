package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStopPlan(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000_000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	var running stopPlan
	is.True(running.takes(at(0), time.Hour))
	is.Equal(running.deadline(at(time.Hour)), at(time.Hour))

	plan := newStopPlan(start, 2*time.Second, 5*time.Second, 0)
	is.Equal(plan.noticeAt, at(1500*time.Millisecond)) // the fleet knows before the gates refuse
	is.Equal(newStopPlan(start, drainNotice/2, time.Second, 0).noticeAt, start)
	tests := []struct {
		name    string
		now     time.Duration
		typical time.Duration
		takes   bool
	}{
		{"early", 0, time.Second, true},
		{"typically longer than the rest", 0, 5 * time.Second, false},
		{"just ends in time", 1900 * time.Millisecond, 3 * time.Second, true},
		{"doesn't end in time", 1900 * time.Millisecond, 3100 * time.Millisecond, false},
		{"of unknown length", 1900 * time.Millisecond, 0, true},
		{"after the lame-duck period", 2 * time.Second, 0, false},
		{"long after it", time.Minute, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(plan.takes(at(tt.now), tt.typical), tt.takes)
		})
	}
	is.Equal(plan.deadline(at(4*time.Second)), at(4*time.Second))
	is.Equal(plan.deadline(at(6*time.Second)), at(5*time.Second))
}

// TestClosingUsesTheRestOfTheGrace guards against connections being closed, with requests on them, while the process may still run.
func TestClosingUsesTheRestOfTheGrace(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	tests := []struct {
		name                  string
		drain, grace, closeAt time.Duration
	}{
		{"no grace", 5 * time.Second, 0, 5 * time.Second},
		{"a long grace", 5200 * time.Millisecond, 6 * time.Second, 6*time.Second - exitTime},
		{"a short grace", 1300 * time.Millisecond, 1500 * time.Millisecond, 1300 * time.Millisecond},
		{"a short drain", time.Second, 6 * time.Second, 6*time.Second - exitTime},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(newStopPlan(start, 0, tt.drain, tt.grace).closeAt, start.Add(tt.closeAt))
		})
	}
}
