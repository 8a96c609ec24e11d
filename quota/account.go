package quota

import "time"

// account is the state of one caller at a node that admits its requests.
type account struct {
	limit          Limit
	places         places
	queue          []uint64 // tickets of the requests that wait for a token
	call           *Call    // call without an answer yet
	spare          float64  // granted tokens that no request waited for any more
	spareUntil     time.Time
	allowance      float64
	lastAllowance  float64 // allowance after the last grant
	allowanceUntil time.Time
	used           float64 // requests admitted without a token and not yet reported, less tokens to give back
	reportedAt     time.Time
	answeredAt     time.Time // time of the last answer
	blockedUntil   time.Time // asking is useless before
	ownSince       time.Time // start of the time for which no node has answered; zero if one has
	ownTokens      float64   // tokens of the node's own share
	ownRefilledAt  time.Time
	limited        bool // whether a request was refused within openTime
	refusedAt      time.Time
	lastUsedAt     time.Time
}

// take admits a request without asking, and returns the decision; Waiting if the node has to ask.
func (a *account) take(now time.Time) Decision {
	switch {
	case a.spare >= 1 && now.Before(a.spareUntil):
		a.spare--
		return Granted
	case a.allowance >= 1 && now.Before(a.allowanceUntil):
		a.allowance--
		return Allowed
	case now.Before(a.blockedUntil):
		return Limited
	}
	return Waiting
}

// keep stores tokens for later requests.
func (a *account) keep(now time.Time, tokens float64) {
	if tokens <= 0 {
		return
	}
	a.expire(now)
	a.spare += tokens
	a.spareUntil = now.Add(spareTime)
}

// extend adds an allowance to what is left of the last one.
func (a *account) extend(now time.Time, allowance float64, until time.Time) {
	if allowance <= 0 {
		return
	}
	a.expire(now)
	a.allowance += allowance
	a.lastAllowance, a.allowanceUntil = a.allowance, until
}

// low reports whether the next allowance should be asked for.
func (a *account) low() bool { return a.call == nil && a.allowance <= refillPart*a.lastAllowance }

// expire gives expired tokens back with the next report.
func (a *account) expire(now time.Time) {
	if a.spare > 0 && !now.Before(a.spareUntil) {
		a.used -= a.spare
		a.spare = 0
	}
	if a.allowance > 0 && !now.Before(a.allowanceUntil) {
		a.used -= a.allowance
		a.allowance = 0
	}
}

// takeOwn takes a token of the node's own share of the limit. The share fills once the nodes that could be asked must know of the cut.
func (a *account) takeOwn(now time.Time, share float64) bool {
	if a.ownSince.IsZero() {
		a.ownSince, a.ownRefilledAt, a.ownTokens = now, now.Add(detectionTime), 0
	}
	if elapsed := now.Sub(a.ownRefilledAt); elapsed > 0 {
		a.ownTokens = min(1, a.ownTokens+a.limit.Rate*share*elapsed.Seconds())
		a.ownRefilledAt = now
	}
	if a.ownTokens < 1 {
		return false
	}
	a.ownTokens--
	a.used++
	return true
}

// reach ends the use of the node's own share: another node has answered.
func (a *account) reach(now time.Time) {
	a.ownSince, a.answeredAt = time.Time{}, now
}

// setLimit sets the limit in force. Another limit may have tokens before the time that was named for the last one.
func (a *account) setLimit(l Limit) {
	if a.limit != l {
		a.blockedUntil = time.Time{}
	}
	a.limit = l
}

// note records whether a request was admitted, and reports whether the state of the caller changed.
func (a *account) note(now time.Time, admitted bool) bool {
	was := a.limited
	switch {
	case !admitted:
		a.limited, a.refusedAt = true, now
	case now.Sub(a.refusedAt) > openTime:
		a.limited = false
	}
	return a.limited != was
}
