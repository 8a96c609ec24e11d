package retry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jasminevane/jasminevane/retry"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestRaceIsWonByTheFirstAnswer guards against a call without an answer that keeps a second one from being made, and against a second call
// where the first one has ended.
func TestRaceIsWonByTheFirstAnswer(t *testing.T) {
	const delay = 100 * time.Millisecond
	failure := errors.New("failure")
	after := func(d time.Duration, value int, err error) func(context.Context) (int, error) {
		return func(ctx context.Context) (int, error) {
			select {
			case <-ctx.Done():
				return 0, ctx.Err()
			case <-time.After(d):
				return value, err
			}
		}
	}
	never := after(time.Hour, 1, nil)
	tests := []struct {
		name          string
		first, second func(context.Context) (int, error)
		value         int
		err           error
		took          time.Duration
	}{
		{"the first answers", after(50*time.Millisecond, 1, nil), after(0, 2, nil), 1, nil, 50 * time.Millisecond},
		{"the first fails at once", after(0, 0, failure), after(0, 2, nil), 0, failure, 0},
		{"the first has no answer", never, after(20*time.Millisecond, 2, nil), 2, nil, 120 * time.Millisecond},
		{"the first answers late", after(150*time.Millisecond, 1, nil), never, 1, nil, 150 * time.Millisecond},
		{"the first fails late", after(110*time.Millisecond, 0, failure), after(50*time.Millisecond, 2, nil), 2, nil, 150 * time.Millisecond},
		{"both fail", after(110*time.Millisecond, 0, context.Canceled), after(50*time.Millisecond, 0, failure), 0, failure, 150 * time.Millisecond},
		{"no answer at all", never, never, 0, context.DeadlineExceeded, time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				start := time.Now()
				value, err := retry.Race(ctx, delay, tt.first, tt.second)
				is.Equal(value, tt.value)
				is.Equal(err, tt.err)
				is.Equal(time.Since(start), tt.took)
			})
		})
	}
}
