package quota

import (
	"time"
)

// Parameters of the tokens that a node keeps for each caller.
const (
	requestInterval = 100 * time.Millisecond // minimum interval between two token requests for one caller
	deniedInterval  = 250 * time.Millisecond // replaces requestInterval if the last request failed or was granted less than half of the tokens
	tokenTTL        = 5 * time.Second        // time since the last refill after which unused tokens expire
	idleTimeout     = 10 * time.Second       // time after which the state of an idle caller is deleted
	prefetchTime    = 500 * time.Millisecond // a token request asks for enough tokens for the expected requests of this time
	rateDecayTime   = time.Second            // time constant of the moving average of the request rate
	maxCallers      = 20000                  // number of callers at which new callers no longer get initial tokens
	initialTokens   = 1                      // tokens that a new caller gets before its home node has granted any
)

// TokenRequest asks the home node of the caller for tokens; one token admits one request.
type TokenRequest struct {
	Caller            string
	RequestedTokens   float64
	UngrantedRequests float64 // requests admitted with initial tokens, which the home node has not granted
}

// account is the state of one caller at one node.
type account struct {
	tokens             float64       // tokens that the home node granted or the node refilled itself
	initialTokens      float64       // remaining initial tokens
	unreportedRequests float64       // requests admitted with initial tokens and not yet reported to the home node
	requestRate        float64       // moving average in requests per second
	lastRequestAt      time.Time     // time of the last request of the caller
	tokenRequestAt     time.Time     // time of the last token request
	minInterval        time.Duration // minimum interval until the next token request
	refilledAt         time.Time     // time of the last grant or refill
}

// Limiter admits the requests of callers at one node; the zero value is ready to use.
type Limiter struct {
	accounts map[string]*account
	sweptAt  time.Time
}

// Admit reports whether a request of the caller is admitted, and may return a token request, which the node should send in the background.
func (l *Limiter) Admit(now time.Time, caller string) (admitted bool, req *TokenRequest) {
	a := l.account(now, caller)
	a.updateRequestRate(now)
	if now.Sub(a.refilledAt) > tokenTTL {
		a.tokens = 0
	}
	switch {
	case a.tokens >= 1:
		a.tokens--
		admitted = true
	case a.initialTokens >= 1:
		a.initialTokens--
		a.unreportedRequests++
		admitted = true
	}
	return admitted, l.tokenRequest(now, caller, a)
}

// account returns the account of the caller and creates it if there is none.
func (l *Limiter) account(now time.Time, caller string) *account {
	if l.accounts == nil {
		l.accounts = make(map[string]*account)
	}
	l.sweep(now)
	a := l.accounts[caller]
	if a == nil {
		a = &account{initialTokens: initialTokens, lastRequestAt: now, refilledAt: now}
		if len(l.accounts) >= maxCallers {
			a.initialTokens = 0
		}
		l.accounts[caller] = a
	}
	return a
}

// updateRequestRate adds one request to the moving average of the request rate.
func (a *account) updateRequestRate(now time.Time) {
	elapsedDecayTimes := now.Sub(a.lastRequestAt).Seconds() / rateDecayTime.Seconds()
	a.lastRequestAt = now
	a.requestRate = a.requestRate/(1+elapsedDecayTimes) + 1/rateDecayTime.Seconds()
}

// tokenRequest returns a token request if less than half of the tokens for prefetchTime are left or if admitted requests are unreported,
// and nil otherwise or if the last token request was too recent.
func (l *Limiter) tokenRequest(now time.Time, caller string, a *account) *TokenRequest {
	requestedTokens := a.requestRate*prefetchTime.Seconds() + 1
	if a.tokens >= requestedTokens/2 && a.unreportedRequests == 0 || now.Sub(a.tokenRequestAt) < max(requestInterval, a.minInterval) {
		return nil
	}
	a.tokenRequestAt = now
	req := &TokenRequest{Caller: caller, RequestedTokens: requestedTokens, UngrantedRequests: a.unreportedRequests}
	a.unreportedRequests = 0
	return req
}

// ApplyGrant adds the tokens that the home node granted for the token request.
func (l *Limiter) ApplyGrant(now time.Time, req TokenRequest, granted float64) {
	a := l.accounts[req.Caller]
	if a == nil {
		return
	}
	a.minInterval = requestInterval
	if granted < req.RequestedTokens/2 {
		a.minInterval = deniedInterval
	}
	a.tokens += granted
	a.refilledAt = now
}

// ApplyFailure handles a token request that got no response: the node refills the tokens itself at rate, which is its share of the
// caller's limit in tokens per second.
func (l *Limiter) ApplyFailure(now time.Time, req TokenRequest, rate float64) {
	a := l.accounts[req.Caller]
	if a == nil {
		return
	}
	a.unreportedRequests += req.UngrantedRequests
	a.minInterval = deniedInterval
	refillSeconds := min(tokenTTL, now.Sub(a.refilledAt)).Seconds()
	a.tokens = min(a.tokens+rate*refillSeconds, rate*tokenTTL.Seconds()+1)
	a.refilledAt = now
}

// sweep deletes the state of idle callers, at most once per idleTimeout.
func (l *Limiter) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < idleTimeout {
		return
	}
	l.sweptAt = now
	for caller, a := range l.accounts {
		if now.Sub(a.lastRequestAt) > idleTimeout {
			delete(l.accounts, caller)
		}
	}
}

// Len returns the number of callers with state at this node.
func (l *Limiter) Len() int { return len(l.accounts) }
