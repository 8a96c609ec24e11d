package bundle

import "fmt"

// InvalidError reports entries that do not form a valid bundle.
type InvalidError struct {
	first string
	count int
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid bundle: %s (%d problems in total)", e.first, e.count)
}

// BaseError reports a delta that was applied to another bundle than its base.
type BaseError struct {
	want, got Digest
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("delta has base %v, but the bundle is %v", e.want, e.got)
}

// ResultError reports a delta whose result does not have the digest that the delta states.
type ResultError struct {
	want, got Digest
}

// Error implements error.
func (e *ResultError) Error() string {
	return fmt.Sprintf("delta states result %v, got %v", e.want, e.got)
}
