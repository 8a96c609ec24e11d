// Package routing chooses the upstream for a request by locality, load and standing; a Group is a deterministic state machine for one service as seen by one node.
package routing
