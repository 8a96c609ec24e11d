// Package idempotency records which requests with an idempotency key were run, within limits of time and memory.
// Ledger is a deterministic state machine.
package idempotency
