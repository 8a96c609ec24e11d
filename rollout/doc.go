// Package rollout decides which version of the configuration bundle is in force. Engine builds one chain of versions from
// the records of the platform's log and from the states of other nodes. The version of a node never decreases.
package rollout
