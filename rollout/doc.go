// Package rollout decides which version of the bundle is in force: Engine folds the records of the platform's log, and steps learned from other nodes, into one chain of versions that never goes back.
package rollout
