// Package operator speaks to operators: the administration API of a node and its client.
package operator
