// Package quota limits the request rate of each caller over the whole fleet. The home node of a caller keeps its token bucket and
// grants tokens to the other nodes in advance, so that admitting a request needs no message. Its types are deterministic state machines.
package quota
