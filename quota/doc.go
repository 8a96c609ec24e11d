// Package quota limits the request rate of each caller over the whole fleet. The allocator of a caller, a node chosen by rendezvous hashing,
// keeps its token bucket; the other nodes ask it for tokens. Another node stands in while the allocator doesn't answer. The types are
// deterministic state machines.
package quota
