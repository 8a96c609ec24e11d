package quota_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/quota"
	"github.com/matryer/is"
)

var testRule = quota.Rule{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// newTestFleet returns the view of node a, which has run for long beside the given nodes.
func newTestFleet(others ...string) *quota.Fleet {
	f := quota.NewFleet(epoch, "a")
	for _, name := range others {
		f.Update(epoch, name, quota.Live)
	}
	f.Complete(epoch)
	return f
}

// callerOf returns the name of a caller whose allocator is the named node.
func callerOf(f *quota.Fleet, name string) string {
	for i := 0; ; i++ {
		if caller := fmt.Sprintf("c%d", i); f.Allocator(caller) == name {
			return caller
		}
	}
}

// TestOneCallServesAllWaiting guards against a call for each request of a flood.
func TestOneCallServesAllWaiting(t *testing.T) {
	is := is.New(t)
	l := quota.NewLimiter(newTestFleet("b", "c"))
	limit := quota.Limit{Rate: 10, Burst: 10}
	_, call := l.Admit(epoch, "x", limit)
	is.Equal(call.Ask.Wanted, 1.0)
	for range 5 {
		v, another := l.Admit(epoch, "x", limit)
		is.Equal(v.Decision, quota.Waiting)
		is.True(another == nil) // one call is under way
	}
	out := l.Answered(epoch.Add(time.Millisecond), call, quota.Grant{Tokens: 1})
	is.Equal(len(out.Verdicts), 1)
	is.Equal(out.Call.Ask.Wanted, 5.0) // for those that came meanwhile
	out = l.Answered(epoch.Add(2*time.Millisecond), out.Call, quota.Grant{Tokens: 2, RetryAfter: 300 * time.Millisecond})
	is.Equal(len(out.Verdicts), 5)
	is.True(out.Call == nil)
	refused := out.Verdicts[2]
	is.Equal(refused.Decision, quota.Limited)
	is.Equal(refused.RetryAfter, 300*time.Millisecond)
	is.True(refused.Changed) // the caller has come to its limit
	v, call := l.Admit(epoch.Add(100*time.Millisecond), "x", limit)
	is.Equal(v.Decision, quota.Limited) // at once
	is.True(call == nil)
	v, call = l.Admit(epoch.Add(100*time.Millisecond), "x", quota.Limit{Rate: 20, Burst: 20})
	is.Equal(v.Decision, quota.Waiting) // a higher limit may have tokens
	is.True(call != nil)
}

// TestAllowanceNeedsNoCall guards against a call for each request at a busy node, and against tokens that are lost when its demand ends.
func TestAllowanceNeedsNoCall(t *testing.T) {
	is := is.New(t)
	l := quota.NewLimiter(newTestFleet("b", "c"))
	limit := quota.Limit{Rate: 100, Burst: 100}
	_, call := l.Admit(epoch, "x", limit)
	l.Answered(epoch, call, quota.Grant{Tokens: 1, Allowance: 10, TTL: 2 * time.Second})
	for range 4 {
		v, call := l.Admit(epoch, "x", limit)
		is.Equal(v.Decision, quota.Allowed)
		is.True(call == nil)
	}
	_, call = l.Admit(epoch, "x", limit)
	is.True(call != nil) // half is used: the next allowance is asked for in time
	l.Answered(epoch, call, quota.Grant{})
	calls := l.Tick(epoch.Add(2100 * time.Millisecond))
	is.Equal(len(calls), 1)
	is.Equal(calls[0].Ask.Used, -5.0) // the rest is given back
	l.Failed(epoch.Add(2500*time.Millisecond), calls[0])
	is.Equal(len(l.Tick(epoch.Add(3*time.Second))), 0) // but not twice: the call may have arrived
}

// TestReturnedTokenIsUsed guards against a request that was admitted but could not run counting against the limit.
func TestReturnedTokenIsUsed(t *testing.T) {
	is := is.New(t)
	l := quota.NewLimiter(newTestFleet("b"))
	limit := quota.Limit{Rate: 1, Burst: 1}
	_, call := l.Admit(epoch, "x", limit)
	l.Answered(epoch, call, quota.Grant{Tokens: 1})
	l.Return(epoch, "x")
	v, call := l.Admit(epoch, "x", limit)
	is.Equal(v.Decision, quota.Granted)
	is.True(call == nil)
}

// TestTokensReturnedTogetherKeepTheRule guards against more requests in a window than the rule allows after requests that waited for seconds were all
// refused at once, as when a gate ends its queue.
func TestTokensReturnedTogetherKeepTheRule(t *testing.T) {
	const step, tick = time.Millisecond, 100 * time.Millisecond
	limit := quota.Limit{Rate: 96, Burst: 96}
	f := newTestFleet()
	l, a := quota.NewLimiter(f), quota.NewAllocator(epoch, f, testRule)
	now := epoch
	answer := func(c *quota.Call) quota.Output { return l.Answered(now, c, a.Answer(now, c.Ask, limit)) }
	admit := func() bool {
		v, c := l.Admit(now, "x", limit)
		admitted := v.Decision.Admitted()
		for c != nil {
			out := answer(c)
			for _, decided := range out.Verdicts {
				admitted = admitted || decided.Ticket == v.Ticket && decided.Decision.Admitted()
			}
			c = out.Call
		}
		return admitted
	}
	run := func(d time.Duration, sends bool) (admitted int) {
		for end := now.Add(d); now.Before(end); now = now.Add(step) {
			if now.Sub(epoch)%tick == 0 {
				a.Tick(now)
				for _, c := range l.Tick(now) {
					answer(c)
				}
			}
			if sends && admit() {
				admitted++
			}
		}
		return admitted
	}
	run(20*time.Second, false)
	refused := run(2*time.Second, true)
	for range refused {
		l.Return(now, "x")
	}
	ran := float64(run(testRule.Window, true))
	window := limit.Rate * testRule.Window.Seconds()
	if allowed := (window+limit.Burst)*(1+testRule.Overage) + testRule.Slack; ran > allowed {
		t.Fatalf("%v requests ran in a window after %d were refused, allowed are %.1f", ran, refused, allowed)
	}
	if ran < window {
		t.Fatalf("%v requests ran in a window, the limit allows %v", ran, window)
	}
}

// TestCallerWithoutRateIsNotLimited guards against a caller without a limit being asked for, or refused.
func TestCallerWithoutRateIsNotLimited(t *testing.T) {
	is := is.New(t)
	f := newTestFleet()
	v, call := quota.NewLimiter(f).Admit(epoch, "x", quota.Limit{})
	is.Equal(v.Decision, quota.Unlimited)
	is.True(call == nil)
	g := quota.NewAllocator(epoch, f, testRule).Answer(epoch, quota.Ask{Caller: "x", Node: "b", Wanted: 7}, quota.Limit{})
	is.Equal(g.Tokens, 7.0)
}

// TestNodesKeepTheirShareAlone guards against a node that reaches nobody refusing all, or admitting before the others must know of the cut.
func TestNodesKeepTheirShareAlone(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("b", "c", "d", "e", "f", "g", "h", "i", "j") // ten nodes
	caller := callerOf(f, "b")
	l := quota.NewLimiter(f)
	early, late := 0, 0
	for ms := range 25_000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		v, call := l.Admit(now, caller, quota.Limit{Rate: 100, Burst: 100})
		for call != nil {
			is.True(call.To != "a")
			out := l.Failed(now, call)
			for _, decided := range out.Verdicts {
				v = decided
			}
			call = out.Call
		}
		switch {
		case !v.Decision.Admitted():
		case ms < 5000:
			early++
		default:
			late++
		}
	}
	is.Equal(early, 0)
	is.True(late > 160 && late <= 201) // a tenth of the limit, for 20 s
}

// TestLateAnswerSendsToStandIn guards against requests that wait for an allocator without an answer until their time is over.
func TestLateAnswerSendsToStandIn(t *testing.T) {
	is := is.New(t)
	f := newTestFleet("b", "c")
	caller := callerOf(f, "b")
	l := quota.NewLimiter(f)
	limit := quota.Limit{Rate: 1, Burst: 1}
	_, first := l.Admit(epoch, caller, limit)
	is.Equal(first.To, "b")
	second := l.Late(epoch, first).Call
	is.True(second.To != "b")
	is.Equal(len(l.Answered(epoch, second, quota.Grant{Tokens: 1}).Verdicts), 1)
	is.Equal(len(l.Answered(epoch, first, quota.Grant{Tokens: 1}).Verdicts), 0)
	v, call := l.Admit(epoch, caller, limit)
	is.Equal(v.Decision, quota.Granted) // the late token
	is.True(call == nil)
}

// TestBucketAfterStartOrPause guards against a bucket that is full after its node started, or was suspended while its stand-in granted tokens.
func TestBucketAfterStartOrPause(t *testing.T) {
	tests := []struct {
		name     string
		run      time.Duration // time for which the node ran, with a tick each 100 ms
		pause    time.Duration
		min, max float64
	}{
		{"just started", 0, 0, 0, 11},
		{"has run", 10 * time.Second, 0, 100, 120},
		{"paused", 10 * time.Second, 3 * time.Second, 0, 11},
		{"held up", 10 * time.Second, 900 * time.Millisecond, 100, 120},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := quota.NewAllocator(epoch, newTestFleet(), testRule)
			now := epoch
			for ; now.Sub(epoch) < tt.run; now = now.Add(100 * time.Millisecond) {
				a.Tick(now)
			}
			g := a.Answer(now.Add(tt.pause), quota.Ask{Caller: "x", Node: "a", Wanted: 1000}, quota.Limit{Rate: 100, Burst: 100})
			is.True(g.Tokens >= tt.min && g.Tokens <= tt.max)
			is.True(g.RetryAfter > 0)
		})
	}
}

// TestFloodOfAsksIsBounded guards against an allocator that is busy with the refusals of one caller, however many nodes it sends to, and against
// more than a call for each request at rest.
func TestFloodOfAsksIsBounded(t *testing.T) {
	tests := []struct {
		name               string
		factor             float64
		maxCalls, maxRatio float64 // calls a second, and for each request
	}{
		{"rest", 0.625, 70, 1.02},
		{"flood", 15, 320, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			m := newModel(rand.New(rand.NewPCG(1, 1)), 100, 4, testRule, quota.Limit{Rate: 96, Burst: 96})
			m.demand = func(int) float64 { return 96 * tt.factor / 100 }
			m.run(10 * time.Second)
			calls, arrived, admitted := m.calls, len(m.arrived), len(m.admitted)
			m.run(20 * time.Second)
			perSecond := float64(m.calls-calls) / 10
			t.Logf("%.0f calls a second, %d requests, %d admitted", perSecond, len(m.arrived)-arrived, len(m.admitted)-admitted)
			is.True(perSecond <= tt.maxCalls)
			is.True(float64(m.calls-calls) <= tt.maxRatio*float64(len(m.arrived)-arrived))
			is.True(float64(len(m.admitted)-admitted) >= 0.97*min(960, float64(len(m.arrived)-arrived)))
		})
	}
}

// TestRefusalExplainsItself guards against a refused request whose log line doesn't tell the limit and the decision.
func TestRefusalExplainsItself(t *testing.T) {
	is := is.New(t)
	v := quota.Verdict{Caller: "x", Decision: quota.Limited, RetryAfter: 250 * time.Millisecond, Age: 40 * time.Millisecond}
	err := v.Err(quota.Limit{Rate: 96, Burst: 96})
	var refusal *quota.LimitError
	is.True(errors.As(err, &refusal))
	is.Equal(refusal.Limit().Rate, 96.0)
	is.Equal(refusal.Verdict().Decision, quota.Limited)
	is.Equal(err.Error(), "caller x, limit 96 requests/s and 96 at once: limited, 0 tokens, grant of 40 ms ago, next token in 250 ms")
	is.NoErr(quota.Verdict{Decision: quota.Granted}.Err(quota.Limit{}))
}
