// Package link is a stand-in of the network between nodes: it delays, bounds and cuts the connections that pass through it.
package link
