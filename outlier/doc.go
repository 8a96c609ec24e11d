// Package outlier estimates the suspicion of an upstream, which is the probability, 0 to 1, that it is unhealthy, from the results
// of its work, and summarizes its service times and failures.
// Its types are deterministic state machines.
package outlier
