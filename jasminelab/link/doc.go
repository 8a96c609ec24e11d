// Package link simulates the network between nodes: a TCP proxy that adds delay, limits bandwidth and blocks traffic.
package link
