// Package soak runs a fleet that uses the platform's protocols under overlapping bursts of random faults. It checks the fleet's
// guarantees against the records of callers and upstream servers.
package soak
