// Package ownership assigns each shard of idempotency keys to one owner node at a time. The platform's log orders the
// changes of owner; an owner serves only under a lease that a majority of witness nodes renews, so that an owner that
// was replaced stops serving.
package ownership
