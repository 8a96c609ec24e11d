// Package fakelog is an in-memory fake of the platform's append-only log service, with its limits and injected faults.
package fakelog
