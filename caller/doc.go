// Package caller serves callers: it parses their requests, passes them to the fleet and writes the responses.
package caller
