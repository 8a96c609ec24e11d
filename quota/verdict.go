package quota

import (
	"fmt"
	"time"
)

// Decision is what becomes of a request.
type Decision string

// The decisions. All but Waiting are final.
const (
	Waiting    Decision = "waiting"    // for an answer
	Unlimited  Decision = "unlimited"  // the caller has no limit
	Granted    Decision = "granted"    // admitted with a token
	Allowed    Decision = "allowance"  // admitted with an allowance
	OwnShare   Decision = "own-share"  // admitted with the node's own share, since no node answered
	Limited    Decision = "limited"    // refused: no token
	Unanswered Decision = "unanswered" // refused: no node answered in time
)

// Admitted reports whether the request may run.
func (d Decision) Admitted() bool {
	return d == Unlimited || d == Granted || d == Allowed || d == OwnShare
}

// Verdict is the decision on one request.
type Verdict struct {
	Ticket     uint64
	Caller     string
	Decision   Decision
	RetryAfter time.Duration // for a refused request, the time until a token is expected
	Tokens     float64       // what is left at the node
	Age        time.Duration // time since the last answer of another node; 0 if there was none
	Changed    bool          // whether the caller has come to its limit, or is within it again
}

// Err returns the refusal of the request as a *LimitError, or nil if it was admitted.
func (v Verdict) Err(limit Limit) error {
	if v.Decision.Admitted() {
		return nil
	}
	return &LimitError{verdict: v, limit: limit}
}

// LimitError is the refusal of a request by the limit of its caller.
type LimitError struct {
	verdict Verdict
	limit   Limit
}

// Verdict returns the decision with its reasons.
func (e *LimitError) Verdict() Verdict { return e.verdict }

// Limit returns the limit in force.
func (e *LimitError) Limit() Limit { return e.limit }

// Error names the caller, its limit, the decision, the tokens left at the node and the age of the last grant.
func (e *LimitError) Error() string {
	v := e.verdict
	return fmt.Sprintf("caller %s, limit %g requests/s and %g at once: %s, %g tokens, grant of %d ms ago, next token in %d ms",
		v.Caller, e.limit.Rate, e.limit.burst(), v.Decision, v.Tokens, v.Age.Milliseconds(), v.RetryAfter.Milliseconds())
}
