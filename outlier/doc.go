// Package outlier detects upstreams that are slow, failing or stuck relative to the other upstreams of their service, and decides which of them leave service without breaking the capacity floor; its types are deterministic state machines.
package outlier
