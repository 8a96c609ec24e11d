// Package pipeline runs the pipelined requests of an HTTP/1.1 connection in parallel, while net/http answers them in order.
package pipeline
