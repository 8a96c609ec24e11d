package retry

import (
	"context"
	"time"
)

// raced is the result of one of the calls of Race.
type raced[T any] struct {
	value T
	err   error
}

// Race makes the first call and, unless that has ended within delay, the second one in parallel. It returns the first result without
// an error, or else the last error, and cancels the context of the call that is still running.
func Race[T any](ctx context.Context, delay time.Duration, first, second func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan raced[T], 2)
	start := func(call func(ctx context.Context) (T, error)) {
		go func() {
			value, err := call(ctx)
			results <- raced[T]{value, err}
		}()
	}
	start(first)
	running := 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			start(second)
			running++
		case r := <-results:
			if running--; r.err == nil || running == 0 {
				return r.value, r.err
			}
		}
	}
}
