// Package outcome defines the outcomes and error codes that tell a caller whether its request was run.
package outcome
