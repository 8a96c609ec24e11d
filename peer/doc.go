// Package peer implements the communication between the nodes of a fleet: the control protocol over Connect,
// and the forwarding of requests over cleartext HTTP/2.
package peer
