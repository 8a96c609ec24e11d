// Package quota holds each caller to its limit over the whole fleet: the caller's home node has one token bucket and hands out tokens in advance, so that no request needs a message; its types are deterministic state machines.
package quota
