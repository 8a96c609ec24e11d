// Package rollout decides which version of the bundle is in force. Engine applies the records of the platform's log,
// and states learned from other nodes, to one chain of versions; the version of a node never decreases.
package rollout
