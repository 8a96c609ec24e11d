// Package membership keeps one node's view of the fleet: the other nodes, the upstreams that each serves,
// and which nodes are dead or have left.
//
// Engine is a deterministic state machine; the node that embeds it sends its messages and feeds it the responses.
package membership
