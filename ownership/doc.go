// Package ownership gives each shard of idempotency keys one owner at a time: the platform's log orders the changes of owner, and leases renewed by witnesses keep an owner that was replaced from serving.
package ownership
