// Package event records what a process decided in a bounded ring, stamped by a hybrid logical clock, so that the records of many processes merge into one order.
package event
