// Package outlier estimates the suspicion of an upstream, which is the probability, 0 to 1, that it is unhealthy, from the results
// of its requests. It also summarizes the service times and failures of the upstream.
// Its types are deterministic state machines.
package outlier
