// Package caller speaks to callers: it reads their requests, passes them to the fleet and answers with the outcome.
package caller
