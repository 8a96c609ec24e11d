// Package node combines the other packages into one process of the fleet: it serves the requests of callers, admits work to the upstreams
// beside it and exchanges state with the other nodes.
package node
