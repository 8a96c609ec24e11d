// Package upstream communicates with the upstreams local to a node.
// It receives their announcements, limits the requests that they run at a time and verifies their responses.
package upstream
