// Package bundle holds the operators' versioned description of services, classes of work, routes, callers and sign-off rules, with its digest and deltas.
package bundle
