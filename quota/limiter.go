package quota

import (
	"time"
)

// Parameters of the state that a node keeps for each caller.
const (
	requestInterval = 100 * time.Millisecond // minimum interval between two token requests for one caller
	deniedInterval  = 250 * time.Millisecond // interval after a token request that failed or got less than half of what it asked for
	tokenTTL        = 5 * time.Second        // time after which unused tokens expire
	idleTimeout     = 10 * time.Second       // time after which the state of an idle caller is deleted
	prefetchTime    = 500 * time.Millisecond // time whose demand the requested tokens are to cover
	demandDecayTime = time.Second            // time constant of the moving average of the demand
	maxCallers      = 20000                  // callers beyond which a new one gets no initial tokens
	initialTokens   = 1                      // requests of a new caller that are admitted before its home node has responded
)

// TokenRequest asks the home node of the caller for tokens.
type TokenRequest struct {
	Caller            string
	RequestedTokens   float64
	UngrantedRequests float64 // requests admitted without a grant
}

type account struct {
	tokens      float64
	initial     float64
	unreported  float64
	demand      float64 // requests per second
	lastSeen    time.Time
	requestedAt time.Time
	retryAfter  time.Duration
	refilledAt  time.Time
}

// Limiter admits the requests of callers at one node; the zero value is ready to use.
type Limiter struct {
	accounts map[string]*account
	sweptAt  time.Time
}

// Admit reports whether a request of the caller is admitted, and may return a token request that is to be sent in the background.
func (l *Limiter) Admit(now time.Time, caller string) (ok bool, req *TokenRequest) {
	a := l.account(now, caller)
	a.updateDemand(now)
	if now.Sub(a.refilledAt) > tokenTTL {
		a.tokens = 0
	}
	switch {
	case a.tokens >= 1:
		a.tokens--
		ok = true
	case a.initial >= 1:
		a.initial--
		a.unreported++
		ok = true
	}
	return ok, l.tokenRequest(now, caller, a)
}

func (l *Limiter) account(now time.Time, caller string) *account {
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	l.sweep(now)
	a := l.accounts[caller]
	if a == nil {
		a = &account{initial: initialTokens, lastSeen: now, refilledAt: now}
		if len(l.accounts) >= maxCallers {
			a.initial = 0
		}
		l.accounts[caller] = a
	}
	return a
}

func (a *account) updateDemand(now time.Time) {
	dt := now.Sub(a.lastSeen).Seconds() / demandDecayTime.Seconds()
	a.lastSeen = now
	a.demand = a.demand/(1+dt) + 1/demandDecayTime.Seconds()
}

// tokenRequest returns a token request if less than half of the tokens for prefetchTime are left or admitted requests are unreported.
func (l *Limiter) tokenRequest(now time.Time, caller string, a *account) *TokenRequest {
	want := a.demand*prefetchTime.Seconds() + 1
	if a.tokens >= want/2 && a.unreported == 0 || now.Sub(a.requestedAt) < max(requestInterval, a.retryAfter) {
		return nil
	}
	a.requestedAt = now
	req := &TokenRequest{Caller: caller, RequestedTokens: want, UngrantedRequests: a.unreported}
	a.unreported = 0
	return req
}

// ApplyGrant adds the n tokens that the home node granted for the token request.
func (l *Limiter) ApplyGrant(now time.Time, req TokenRequest, n float64) {
	a := l.accounts[req.Caller]
	if a == nil {
		return
	}
	a.retryAfter = requestInterval
	if n < req.RequestedTokens/2 {
		a.retryAfter = deniedInterval
	}
	a.tokens += n
	a.refilledAt = now
}

// ApplyFailure handles a token request that got no response: the node refills its tokens itself at rate tokens per second,
// its share of the limit.
func (l *Limiter) ApplyFailure(now time.Time, req TokenRequest, rate float64) {
	a := l.accounts[req.Caller]
	if a == nil {
		return
	}
	a.unreported += req.UngrantedRequests
	a.retryAfter = deniedInterval
	span := min(tokenTTL, now.Sub(a.refilledAt)).Seconds()
	a.tokens = min(a.tokens+rate*span, rate*tokenTTL.Seconds()+1)
	a.refilledAt = now
}

func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < idleTimeout {
		return
	}
	l.sweptAt = now
	for name, a := range l.accounts {
		if now.Sub(a.lastSeen) > idleTimeout {
			delete(l.accounts, name)
		}
	}
}

// Len returns the number of callers with state at this node.
func (l *Limiter) Len() int { return len(l.accounts) }
