package caller

import (
	"net/http"
	"testing"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

// TestUnknownOutcomeDoesNotPromiseNotRun checks that an unknown outcome never gets a status that tells callers the request was not run.
func TestUnknownOutcomeDoesNotPromiseNotRun(t *testing.T) {
	codes := []outcome.Code{
		outcome.CodeNoRoute, outcome.CodeNoBundle, outcome.CodeBadRequest, outcome.CodeTooLarge, outcome.CodeHeadTooLarge, outcome.CodeCallerLimit,
		outcome.CodeOverload, outcome.CodeExpired, outcome.CodeDraining, outcome.CodeNoUpstream, outcome.CodeShed,
		outcome.CodeSuspect, outcome.CodeUpstreamFailed, outcome.CodeTimeout, outcome.CodeTruncated, outcome.CodeResponseMismatch,
		outcome.CodePathLost, outcome.CodeKeyOwner, outcome.CodeKeyMemory, outcome.CodeCanceled,
	}
	for _, c := range codes {
		t.Run(string(c), func(t *testing.T) {
			is := is.New(t)
			is.True(!upstream.PromisesNotRun(statusOf(outcome.NewError(outcome.Unknown, c, nil))))
		})
	}
}

func TestNotRunStatus(t *testing.T) {
	tests := []struct {
		code outcome.Code
		want int
	}{
		{outcome.CodeOverload, http.StatusServiceUnavailable},
		{outcome.CodeUpstreamFailed, http.StatusServiceUnavailable},
		{outcome.CodeExpired, http.StatusServiceUnavailable},
		{outcome.CodePathLost, http.StatusServiceUnavailable},
		{outcome.CodeNoRoute, http.StatusNotFound},
		{outcome.CodeCallerLimit, http.StatusTooManyRequests},
	}
	for _, tt := range tests {
		t.Run(string(tt.code), func(t *testing.T) {
			is := is.New(t)
			is.Equal(statusOf(outcome.NewError(outcome.NotRun, tt.code, nil)), tt.want)
		})
	}
}
