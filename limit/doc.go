// Package limit runs the limits of callers at a node: it lets requests wait for the decisions of package quota, and makes the calls to other
// nodes that these ask for.
package limit
