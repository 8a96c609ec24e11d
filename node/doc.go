// Package node joins the libraries into one process: it takes requests of callers, admits work to the upstreams beside it and is a member of the fleet.
package node
