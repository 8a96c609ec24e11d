package quota

import "time"

// Ask asks for tokens of a caller and reports the requests that the node admitted without one.
type Ask struct {
	Caller  string
	Node    string  // name of the node that asks
	Wanted  float64 // requests that wait for a token
	Used    float64 // requests admitted without a token since the last report, less the tokens that the node gives back
	Relayed bool    // the node could not reach the allocator itself
}

// Grant answers an Ask.
type Grant struct {
	Tokens     float64       // requests that may be admitted now, at most as many as wait
	Allowance  float64       // further tokens, for requests to come; the node gives back what it has not used within TTL
	TTL        time.Duration // of the allowance, counted from the time at which the Ask was sent
	RetryAfter time.Duration // time for which asking again is useless; 0 if all wanted tokens are granted
}
