// Package idempotency records which requests with an idempotency key were run, for a limited time and in limited memory.
// Ledger is a deterministic state machine.
package idempotency
