// Package membership maintains one node's view of the fleet by heartbeats and gossip: the other nodes, the upstreams that
// each node serves, and which nodes are dead or have left.
//
// Engine is a deterministic state machine. The node that embeds it sends its messages and passes the responses to it.
package membership
