package bundle

import "fmt"

// InvalidError reports a set of entries that does not form a valid bundle.
type InvalidError struct {
	first string
	count int
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid bundle: %s (%d faults in all)", e.first, e.count)
}

// BaseError reports a delta that does not build on the bundle it was applied to.
type BaseError struct {
	want, got Digest
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("delta builds on %v, bundle is %v", e.want, e.got)
}

// ResultError reports a delta whose result differs from the digest it names.
type ResultError struct {
	want, got Digest
}

// Error implements error.
func (e *ResultError) Error() string {
	return fmt.Sprintf("delta names result %v, got %v", e.want, e.got)
}
