// Package experiment runs fleets under load and faults and compares what it measures with the bounds of the fleet's objectives.
package experiment
