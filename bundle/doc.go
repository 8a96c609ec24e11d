// Package bundle defines the versioned configuration of a fleet that operators sign: services, request classes, routes, callers
// and sign-off rules, with its digest and deltas.
package bundle
