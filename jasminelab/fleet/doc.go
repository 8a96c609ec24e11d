// Package fleet runs a deployment on loopback: nodes as processes, with a simulated store, simulated upstreams and a
// simulated network between data centres.
package fleet
