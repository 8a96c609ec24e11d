// Package admission decides in which order requests to one upstream start and which are refused.
// Its Controller is a deterministic state machine without a clock, locks or goroutines.
package admission
