package node

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

// TestRefusalsAreCountedByReason guards against refusals that an operator can't tell apart, and against failures that are counted as refusals.
func TestRefusalsAreCountedByReason(t *testing.T) {
	is := is.New(t)
	m := newMetrics("here")
	m.recordRefusal("s", "c", outcome.NewError(outcome.NotRun, outcome.CodeOverload, nil))
	m.recordRefusal("s", "c", outcome.NewError(outcome.NotRun, outcome.CodeExpired, nil))
	m.recordRefusal("s", "c", outcome.NewError(outcome.Unknown, outcome.CodeTimeout, nil))
	m.recordRefusal("s", "c", nil)
	is.Equal(testutil.ToFloat64(m.refusals.WithLabelValues("s", "c", "gate", "overload")), 1.0)
	is.Equal(testutil.ToFloat64(m.refusals.WithLabelValues("s", "c", "gate", "expired")), 1.0)
	is.Equal(testutil.CollectAndCount(m.refusals), 2)
}

func TestAttemptsAreCountedByResultAndDataCentre(t *testing.T) {
	testCases := []struct {
		name      string
		resp      *upstream.Response
		err       error
		wantLabel string
	}{
		{"answer", &upstream.Response{Status: 204}, nil, "2xx"},
		{"failure", &upstream.Response{Status: 502}, nil, "5xx"},
		{"refusal", nil, outcome.NewError(outcome.NotRun, outcome.CodeOverload, nil), "not-run/overload"},
		{"doubt", nil, outcome.NewError(outcome.Unknown, outcome.CodeTimeout, nil), "unknown/timeout"},
		{"path", nil, errors.New("dial tcp 127.0.0.1:1: refused"), "path-lost"},
	}
	for _, tc := range testCases {
		t.Run(tc.name, func(t *testing.T) {
			is := is.New(t)
			m := newMetrics("here")
			m.recordAttempt("s", "c", "there", tc.resp, tc.err, time.Millisecond)
			is.Equal(testutil.ToFloat64(m.attempts.WithLabelValues("s", "c", "there", tc.wantLabel)), 1.0)
			is.Equal(testutil.CollectAndCount(m.attemptLatency), 1)
		})
	}
}
