// Package load sends requests at an open rate, as callers do, and records what they were told.
package load
