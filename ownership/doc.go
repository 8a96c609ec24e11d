// Package ownership assigns each shard of idempotency keys to one owner node at a time. The platform's log orders the
// changes of owner. An owner serves a shard only while it holds a lease on it, which a majority of its witness nodes must
// keep renewing, so a replaced owner stops serving when its lease expires.
package ownership
