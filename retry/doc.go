// Package retry bounds repeated attempts by a ratio of the first ones.
package retry
