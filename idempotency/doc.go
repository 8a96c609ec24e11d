// Package idempotency remembers which requests with an idempotency key ran, within bounds of time and memory; Ledger is a deterministic state machine.
package idempotency
