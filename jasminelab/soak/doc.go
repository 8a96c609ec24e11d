// Package soak runs a fleet on the platform's contract under drawn faults that come in series and overlap, and holds the promises against what callers and servers saw.
package soak
