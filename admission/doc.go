// Package admission decides in which order the work for one upstream starts, and what is refused; it is a deterministic state machine without clock, lock or goroutine.
package admission
