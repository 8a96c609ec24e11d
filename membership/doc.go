// Package membership keeps the view that one node has of the fleet: who is there, which upstreams each node serves, and who was lost; Engine is a deterministic state machine fed by a shell that sends its messages.
package membership
