// Package fakelog is a stand-in of the platform's append-only log service, with its limits and faults.
package fakelog
