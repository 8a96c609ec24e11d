// Package outlier estimates the health of an upstream from the results of its work, and summarizes its service times and failures.
// Its types are deterministic state machines.
package outlier
