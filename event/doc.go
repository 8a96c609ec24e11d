// Package event records the decisions of a process in a ring buffer.
// A hybrid logical clock stamps them, so that the events of many processes merge into one order.
package event
