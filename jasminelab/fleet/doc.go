// Package fleet brings up nodes as processes, with stand-ins of the log, the upstreams and the network between data centres, all on loopback.
package fleet
