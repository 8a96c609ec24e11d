// Package peer speaks between the nodes of a fleet: the control protocol over connect and the forwarding of requests over cleartext HTTP/2.
package peer
