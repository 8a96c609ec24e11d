// Package stream decides which responses a node ends when those that it is sending hold too much memory.
package stream
