// Package retry limits retries with a budget: a ratio of the first attempts plus a reserve.
package retry
