package quota

import (
	"time"
)

// Timing and bounds of what a node keeps for each caller.
const (
	askAgain   = 100 * time.Millisecond // least interval between two asks for one caller
	denyAgain  = 250 * time.Millisecond // interval after an ask that brought nothing
	holdTime   = 5 * time.Second        // time after which unused tokens lapse
	idleTime   = 10 * time.Second       // time after which an idle caller is forgotten
	ahead      = 500 * time.Millisecond // demand for which tokens are asked in advance
	rateWindow = time.Second            // time constant of the demand
	maxCallers = 20000                  // callers that one node remembers
	freeTokens = 1                      // requests of a new caller that run before the home has answered
)

// TokenRequest is a request for tokens to the caller's home.
type TokenRequest struct {
	Caller string
	Want   float64
	Used   float64 // tokens used without a grant
}

type account struct {
	tokens float64
	free   float64
	debt   float64
	demand float64 // requests a second
	seen   time.Time
	asked  time.Time
	wait   time.Duration
	filled time.Time
}

// Limiter admits the requests of callers at one node; the zero value works.
type Limiter struct {
	accounts map[string]*account
	swept    time.Time
}

// Admit decides on one request of the caller and may return an ask to be sent without waiting for it.
func (d *Limiter) Admit(now time.Time, caller string) (ok bool, ask *TokenRequest) {
	a := d.account(now, caller)
	a.observe(now)
	if now.Sub(a.filled) > holdTime {
		a.tokens = 0
	}
	switch {
	case a.tokens >= 1:
		a.tokens--
		ok = true
	case a.free >= 1:
		a.free--
		a.debt++
		ok = true
	}
	return ok, d.ask(now, caller, a)
}

func (d *Limiter) account(now time.Time, caller string) *account {
	if d.accounts == nil {
		d.accounts = make(map[string]*account)
	}
	d.sweep(now)
	a := d.accounts[caller]
	if a == nil {
		a = &account{free: freeTokens, seen: now, filled: now}
		if len(d.accounts) >= maxCallers {
			a.free = 0
		}
		d.accounts[caller] = a
	}
	return a
}

func (a *account) observe(now time.Time) {
	dt := now.Sub(a.seen).Seconds() / rateWindow.Seconds()
	a.seen = now
	a.demand = a.demand/(1+dt) + 1/rateWindow.Seconds()
}

// ask returns an ask when the tokens do not last for the time ahead.
func (d *Limiter) ask(now time.Time, caller string, a *account) *TokenRequest {
	want := a.demand*ahead.Seconds() + 1
	if a.tokens >= want/2 && a.debt == 0 || now.Sub(a.asked) < max(askAgain, a.wait) {
		return nil
	}
	a.asked = now
	ask := &TokenRequest{Caller: caller, Want: want, Used: a.debt}
	a.debt = 0
	return ask
}

// ApplyGrant takes the answer of the home to an ask.
func (d *Limiter) ApplyGrant(now time.Time, ask TokenRequest, n float64) {
	a := d.accounts[ask.Caller]
	if a == nil {
		return
	}
	a.wait = askAgain
	if n < ask.Want/2 {
		a.wait = denyAgain
	}
	a.tokens += n
	a.filled = now
}

// ApplyFailure takes an ask without an answer: the node goes on with its part of the limit, rate tokens a second.
func (d *Limiter) ApplyFailure(now time.Time, ask TokenRequest, rate float64) {
	a := d.accounts[ask.Caller]
	if a == nil {
		return
	}
	a.debt += ask.Used
	a.wait = denyAgain
	span := min(holdTime, now.Sub(a.filled)).Seconds()
	a.tokens = min(a.tokens+rate*span, rate*holdTime.Seconds()+1)
	a.filled = now
}

func (d *Limiter) sweep(now time.Time) {
	if now.Sub(d.swept) < idleTime {
		return
	}
	d.swept = now
	for name, a := range d.accounts {
		if now.Sub(a.seen) > idleTime {
			delete(d.accounts, name)
		}
	}
}

// Len returns the number of callers remembered.
func (d *Limiter) Len() int { return len(d.accounts) }
