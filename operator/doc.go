// Package operator implements the administration API of a node and its client.
package operator
