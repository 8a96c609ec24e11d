// Package logstand is a stand-in of the platform's append-only log service, with its limits and faults.
package logstand
