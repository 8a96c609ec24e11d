// Package routing chooses the upstream for a request by locality, load and health.
// A Balancer is a deterministic state machine for one service as seen by one node.
package routing
