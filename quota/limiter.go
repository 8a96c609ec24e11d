package quota

import (
	"slices"
	"strings"
	"time"
)

// Parameters of a node that admits requests.
const (
	reportInterval = 200 * time.Millisecond // minimum interval between calls that only report
	spareTime      = 500 * time.Millisecond // time for which a token that comes too late may be used by another request
	staleTime      = time.Second            // age of an answer from which its tokens are dropped: the process was paused
	openTime       = 2 * time.Second        // time without a refusal after which a caller counts as within its limit
	unansweredTime = 100 * time.Millisecond // time for which a node doesn't ask again after no node has answered
)

// Call asks a node. The result goes to Answered or Failed; Late is called where it takes too long.
type Call struct {
	To    string // name of the node; this node's own name for its own allocator
	Ask   Ask
	Limit Limit
	sent  time.Time
}

// Output is what the node has to do after an input.
type Output struct {
	Verdicts []Verdict
	Call     *Call
}

// Limiter admits the requests of callers at one node.
type Limiter struct {
	fleet    *Fleet
	accounts map[string]*account
	tickets  uint64
}

// NewLimiter returns a limiter of a node with the given view.
func NewLimiter(fleet *Fleet) *Limiter {
	return &Limiter{fleet: fleet, accounts: make(map[string]*account)}
}

// Len returns the number of callers with state at this node.
func (l *Limiter) Len() int { return len(l.accounts) }

// Admit decides on a request. If the decision is Waiting, a later output decides on its ticket, or Cancel does.
func (l *Limiter) Admit(now time.Time, caller string, limit Limit) (Verdict, *Call) {
	if limit.Rate <= 0 {
		return Verdict{Caller: caller, Decision: Unlimited}, nil
	}
	a := l.accounts[caller]
	if a == nil {
		a = &account{}
		l.accounts[caller] = a
	}
	a.setLimit(limit)
	a.lastUsedAt = now
	a.expire(now)
	l.tickets++
	d := Waiting
	if len(a.queue) == 0 {
		d = a.take(now)
	}
	if d != Waiting {
		v := verdict(now, caller, a, l.tickets, d)
		if d == Allowed && a.low() {
			return v, l.report(now, caller, a)
		}
		return v, nil
	}
	a.queue = append(a.queue, l.tickets)
	v := Verdict{Ticket: l.tickets, Caller: caller, Decision: Waiting}
	if a.call != nil {
		return v, nil
	}
	out := l.ask(now, caller, a)
	if len(out.Verdicts) > 0 { // nobody is left to ask
		return out.Verdicts[len(out.Verdicts)-1], nil
	}
	return v, out.Call
}

func verdict(now time.Time, caller string, a *account, ticket uint64, d Decision) Verdict {
	v := Verdict{Ticket: ticket, Caller: caller, Decision: d, Tokens: a.spare + a.allowance}
	if !a.answeredAt.IsZero() {
		v.Age = now.Sub(a.answeredAt)
	}
	switch d {
	case Limited:
		v.RetryAfter = max(time.Millisecond, a.blockedUntil.Sub(now))
	case Unanswered:
		v.RetryAfter = unansweredTime
	}
	v.Changed = a.note(now, d.Admitted())
	return v
}

// ask starts a call to the first node that can be asked. If there is none, it decides on the waiting requests by the node's own share.
func (l *Limiter) ask(now time.Time, caller string, a *account) Output {
	a.places = l.fleet.place(caller, a.places)
	for _, to := range []string{a.places.allocator, a.places.standIn} {
		if to == "" || to != l.fleet.self && l.fleet.silent(now, to) {
			continue
		}
		a.call = &Call{To: to, Limit: a.limit, sent: now, Ask: Ask{Caller: caller, Node: l.fleet.self, Wanted: float64(len(a.queue)), Used: a.used}}
		a.used, a.reportedAt = 0, now
		return Output{Call: a.call}
	}
	return Output{Verdicts: l.decideAlone(now, caller, a)}
}

func (l *Limiter) decideAlone(now time.Time, caller string, a *account) []Verdict {
	var out []Verdict
	a.blockedUntil = now.Add(unansweredTime)
	for _, ticket := range a.queue {
		d := Unanswered
		if a.takeOwn(now, l.fleet.part(1)) {
			d = OwnShare
		}
		out = append(out, verdict(now, caller, a, ticket, d))
	}
	a.queue = nil
	if a.ownTokens >= 1 {
		a.blockedUntil = time.Time{}
	}
	return out
}

// Answered takes the answer to a call.
func (l *Limiter) Answered(now time.Time, c *Call, g Grant) Output {
	l.fleet.answered(c.To)
	a := l.accounts[c.Ask.Caller]
	if a == nil {
		return Output{}
	}
	if now.Sub(c.sent) > staleTime {
		g.Tokens = 0
	}
	a.reach(now)
	a.extend(now, g.Allowance, c.sent.Add(g.TTL))
	if a.call != c { // the waiting requests were decided otherwise
		a.keep(now, g.Tokens)
		return Output{}
	}
	a.call = nil
	var out Output
	for g.Tokens >= 1 && len(a.queue) > 0 {
		g.Tokens--
		out.Verdicts = append(out.Verdicts, l.next(now, c.Ask.Caller, a, Granted))
	}
	a.keep(now, g.Tokens)
	if g.RetryAfter > 0 {
		a.blockedUntil = now.Add(g.RetryAfter)
	}
	return l.serveQueue(now, c.Ask.Caller, a, out)
}

// next decides on the first request of the queue.
func (l *Limiter) next(now time.Time, caller string, a *account, d Decision) Verdict {
	ticket := a.queue[0]
	a.queue = a.queue[1:]
	return verdict(now, caller, a, ticket, d)
}

// serveQueue decides on the requests that came while a call was under way, and asks again for the others.
func (l *Limiter) serveQueue(now time.Time, caller string, a *account, out Output) Output {
	for len(a.queue) > 0 {
		d := a.take(now)
		if d == Waiting {
			more := l.ask(now, caller, a)
			return Output{Verdicts: append(out.Verdicts, more.Verdicts...), Call: more.Call}
		}
		out.Verdicts = append(out.Verdicts, l.next(now, caller, a, d))
	}
	return out
}

// Late tells that a call has had no answer for so long that another node is asked. An answer that comes after all may still be used.
func (l *Limiter) Late(now time.Time, c *Call) Output {
	a := l.accounts[c.Ask.Caller]
	if a == nil || a.call != c {
		return Output{}
	}
	return l.askNext(now, c, a)
}

// Failed tells that a call failed. What it reported is reported again, since it may not have arrived.
func (l *Limiter) Failed(now time.Time, c *Call) Output {
	a := l.accounts[c.Ask.Caller]
	if a == nil {
		return Output{}
	}
	a.used += max(0, c.Ask.Used)
	if a.call != c {
		return Output{}
	}
	return l.askNext(now, c, a)
}

func (l *Limiter) askNext(now time.Time, c *Call, a *account) Output {
	l.fleet.silence(now, c.To)
	a.call = nil
	if len(a.queue) == 0 {
		return Output{}
	}
	return l.ask(now, c.Ask.Caller, a)
}

// Cancel ends the wait of a request and returns the decision on it; ok is false if it had been decided before.
func (l *Limiter) Cancel(now time.Time, caller string, ticket uint64) (v Verdict, ok bool) {
	a := l.accounts[caller]
	if a == nil {
		return Verdict{}, false
	}
	i := slices.Index(a.queue, ticket)
	if i < 0 {
		return Verdict{}, false
	}
	a.queue = slices.Delete(a.queue, i, i+1)
	return verdict(now, caller, a, ticket, Unanswered), true
}

// Return gives back the token of a request that was admitted but has not run. This node uses at most one such token itself. The others go back with
// the next report, and the allocator's bucket takes no more than it holds: many requests that have waited for seconds may be refused together, and as
// many more at once would exceed what may run in a window.
func (l *Limiter) Return(now time.Time, caller string) {
	a := l.accounts[caller]
	if a == nil {
		return
	}
	a.expire(now)
	if a.spare >= 1 {
		a.used--
		return
	}
	a.keep(now, 1)
}

// Tick returns the calls that report requests admitted without a token and give unused tokens back. It must be called several times a second.
func (l *Limiter) Tick(now time.Time) []*Call {
	var calls []*Call
	for caller, a := range l.accounts {
		a.expire(now)
		if a.used != 0 && a.call == nil && now.Sub(a.reportedAt) >= reportInterval {
			if c := l.report(now, caller, a); c != nil {
				calls = append(calls, c)
			}
		}
		if now.Sub(a.lastUsedAt) > idleTime && a.used <= 0 && a.call == nil {
			delete(l.accounts, caller)
		}
	}
	slices.SortFunc(calls, func(a, b *Call) int { return strings.Compare(a.Ask.Caller, b.Ask.Caller) })
	return calls
}

// report starts a call that asks for nothing, unless nobody can be asked.
func (l *Limiter) report(now time.Time, caller string, a *account) *Call {
	a.places = l.fleet.place(caller, a.places)
	a.reportedAt = now
	if to := a.places.allocator; to != l.fleet.self && l.fleet.silent(now, to) && (a.places.standIn == "" || l.fleet.silent(now, a.places.standIn)) {
		return nil
	}
	return l.ask(now, caller, a).Call
}
