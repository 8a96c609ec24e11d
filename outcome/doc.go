// Package outcome names what is told to a caller about whether its request was run.
package outcome
