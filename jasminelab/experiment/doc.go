// Package experiment measures the fleet against the bounds of its targets.
package experiment
