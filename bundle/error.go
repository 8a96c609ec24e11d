package bundle

import "fmt"

// InvalidError reports that the entries do not form a valid bundle.
type InvalidError struct {
	firstProblem string
	problemCount int
}

// Error implements error.
func (e *InvalidError) Error() string {
	return fmt.Sprintf("invalid bundle: %s (%d problems in total)", e.firstProblem, e.problemCount)
}

// BaseError reports that a delta was applied to a bundle other than its base.
type BaseError struct {
	deltaBase, bundleDigest Digest
}

// Error implements error.
func (e *BaseError) Error() string {
	return fmt.Sprintf("delta has base %v, but the bundle is %v", e.deltaBase, e.bundleDigest)
}

// ResultError reports that applying a delta gave a bundle whose digest differs from the one that the delta states.
type ResultError struct {
	statedResult, actualResult Digest
}

// Error implements error.
func (e *ResultError) Error() string {
	return fmt.Sprintf("delta states result %v, got %v", e.statedResult, e.actualResult)
}
