package limit_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/limit"
	"github.com/jasminevane/jasminevane/quota"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

var testLimit = quota.Limit{Rate: 1000, Burst: 1000}

// newTestLimits returns the limits of node a beside nodes b and c, and the name of a caller whose allocator is b and whose stand-in is c.
func newTestLimits(call limit.Caller) (*limit.Limits, string) {
	now := time.Now()
	l := limit.New(now, "a", quota.Rule{Window: 5 * time.Second, Overage: 0.1}, func(string) (quota.Limit, bool) { return testLimit, true }, call)
	caller := "c"
	l.Fleet(func(f *quota.Fleet) {
		f.Complete(now)
		f.Update(now, "c", quota.Live)
		f.Update(now, "b", quota.Live)
		withoutB := quota.NewFleet(now, "a")
		withoutB.Update(now, "c", quota.Live)
		for f.Allocator(caller) != "b" || withoutB.Allocator(caller) != "c" {
			caller += "c"
		}
	})
	return l, caller
}

// TestRequestsShareOneCall guards against a call for each request of a burst, and against requests that are left without a decision.
func TestRequestsShareOneCall(t *testing.T) {
	is := is.New(t)
	var calls atomic.Int64
	release := make(chan struct{})
	l, caller := newTestLimits(func(_ context.Context, _ string, ask quota.Ask) (quota.Grant, error) {
		calls.Add(1)
		<-release
		return quota.Grant{Tokens: ask.Wanted}, nil
	})
	var requests sync.WaitGroup
	var admitted atomic.Int64
	for range 50 {
		requests.Go(func() {
			if _, err := l.Take(context.Background(), caller, 0); err == nil {
				admitted.Add(1)
			}
		})
	}
	time.Sleep(10 * time.Millisecond)
	close(release)
	requests.Wait()
	l.Wait()
	is.Equal(admitted.Load(), int64(50))
	is.True(calls.Load() <= 4) // one for the first request, one or more for those that came meanwhile
}

// TestWaitIsBounded guards against requests that wait for an answer beyond their time, or after their client has left.
func TestWaitIsBounded(t *testing.T) {
	left, leave := context.WithCancel(context.Background())
	leave()
	tests := []struct {
		name      string
		ctx       context.Context
		objective time.Duration
		min, max  time.Duration
	}{
		{"no objective", context.Background(), 0, 160 * time.Millisecond, 400 * time.Millisecond},
		{"an objective", context.Background(), 160 * time.Millisecond, 20 * time.Millisecond, 55 * time.Millisecond},
		{"a client that has left", left, 0, 0, 50 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, caller := newTestLimits(func(ctx context.Context, _ string, _ quota.Ask) (quota.Grant, error) {
				<-ctx.Done()
				return quota.Grant{}, ctx.Err()
			})
			start := time.Now()
			v, err := l.Take(tt.ctx, caller, tt.objective)
			took := time.Since(start)
			var refusal *quota.LimitError
			is.True(errors.As(err, &refusal))
			is.True(v.RetryAfter > 0)
			is.True(took >= tt.min && took < tt.max)
			l.Wait()
		})
	}
}

// TestNodeWithoutBundleGrantsNothing guards against a node that has just started, or whose bundle doesn't have the caller yet, taking it for one without a
// limit, and granting other nodes all that they ask for.
func TestNodeWithoutBundleGrantsNothing(t *testing.T) {
	is := is.New(t)
	now, known := time.Now(), ""
	l := limit.New(now, "a", quota.Rule{Window: 5 * time.Second, Overage: 0.1}, func(name string) (quota.Limit, bool) { return quota.Limit{}, name == known }, nil)
	ask := quota.Ask{Caller: "x", Node: "b", Wanted: 1000, Used: 10}
	grant, err := l.Allot(ask)
	is.True(errors.Is(err, limit.ErrNoBundle)) // the asking node turns to the stand-in, and reports again what it used
	is.Equal(grant, quota.Grant{})
	l.SetCallers(now, 0) // a bundle without the caller, such as an older one than that of the asking node
	grant, err = l.Allot(ask)
	is.True(errors.Is(err, limit.ErrUnknownCaller))
	is.Equal(grant, quota.Grant{})
	known = "x" // a bundle in which it has no limit
	grant, err = l.Allot(ask)
	is.NoErr(err)
	is.Equal(grant.Tokens, 1000.0)
}

// TestAskIsPassedOn guards against a node that grants tokens itself though it reaches the allocator, which a node with another view doesn't ask.
func TestAskIsPassedOn(t *testing.T) {
	is := is.New(t)
	var relayed atomic.Bool
	l, caller := newTestLimits(func(_ context.Context, node string, ask quota.Ask) (quota.Grant, error) {
		relayed.Store(node == "b" && ask.Relayed)
		return quota.Grant{Tokens: 1}, nil
	})
	grant, err := l.Allot(quota.Ask{Caller: caller, Node: "c", Wanted: 1})
	is.NoErr(err)
	is.Equal(grant.Tokens, 1.0)
	is.True(relayed.Load())
	relayed.Store(false)
	_, err = l.Allot(quota.Ask{Caller: caller, Node: "c", Wanted: 1, Relayed: true})
	is.NoErr(err)
	is.True(!relayed.Load()) // it is passed on once
	l.Wait()
}
