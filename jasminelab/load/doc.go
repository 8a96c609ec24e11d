// Package load generates open-loop load on a fleet as its callers would, records the responses and audits them.
package load
