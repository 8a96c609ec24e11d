// Package soak runs a fleet on the platform's contract under random faults that come in bursts and overlap, and checks the
// fleet's promises against what callers and upstream servers saw.
package soak
