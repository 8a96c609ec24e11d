// Package node combines the other packages into one process of the fleet. A node serves the requests of callers,
// admits requests to the upstreams beside it and exchanges state with the other nodes.
package node
