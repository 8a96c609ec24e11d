package outlier_test

import (
	"math"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/outlier"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

// Bounds of the suspicion between which the estimate is inconclusive.
const (
	healthyBelow   = 0.3
	unhealthyAbove = 0.5
)

func TestEstimator(t *testing.T) {
	const (
		ok, fail, broke, late = outlier.Success, outlier.Error, outlier.Broken, outlier.Overdue
	)
	repeat := func(e outlier.Evidence, n int) []outlier.Evidence {
		var out []outlier.Evidence
		for range n {
			out = append(out, e)
		}
		return out
	}
	tests := []struct {
		name      string
		before    []outlier.Evidence
		then      []outlier.Evidence
		unhealthy bool
	}{
		{"all goes well", repeat(ok, 5), repeat(ok, 5), false},
		{"one connection breaks", repeat(ok, 5), []outlier.Evidence{broke}, true},
		{"one error", repeat(ok, 5), []outlier.Evidence{fail}, false},
		{"two errors in a row", repeat(ok, 5), repeat(fail, 2), true},
		{"one answer is late", repeat(ok, 5), []outlier.Evidence{late}, false},
		{"two late answers in a row", repeat(ok, 5), repeat(late, 2), true},
		{"an error now and then", repeat(ok, 5), []outlier.Evidence{fail, ok, ok, ok, fail, ok, ok, ok}, false},
		{"one good trial", repeat(broke, 5), []outlier.Evidence{ok}, true},
		{"two good trials", repeat(broke, 5), repeat(ok, 2), false},
		{"a good trial between bad ones", repeat(broke, 5), []outlier.Evidence{ok, broke, ok}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var est outlier.Estimator
			now := epoch
			for _, e := range append(tt.before, tt.then...) {
				now = now.Add(200 * time.Millisecond)
				est.Add(now, e)
			}
			is.Equal(est.Suspicion(now) > healthyBelow, tt.unhealthy)
			is.True(tt.unhealthy || est.Suspicion(now) < unhealthyAbove)
		})
	}
}

// TestEstimateIsAProbability draws evidence at random times and checks that the suspicion stays between 0 and 1, moves with the evidence,
// and returns to the range of an unknown upstream after a long time without evidence.
func TestEstimateIsAProbability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var est outlier.Estimator
		now := epoch
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-50, 3000).Draw(t, "ms")) * time.Millisecond)
			e := outlier.Evidence(rapid.IntRange(0, 3).Draw(t, "evidence"))
			before := est.Suspicion(now)
			est.Add(now, e)
			after := est.Suspicion(now)
			if after <= 0 || after >= 1 {
				t.Fatalf("probability %v", after)
			}
			if e == outlier.Success && after > before+1e-9 || e == outlier.Broken && after < before-1e-9 && before < 0.9 {
				t.Fatalf("evidence %v moved the probability from %v to %v", e, before, after)
			}
		}
		steadyState := est.Suspicion(now.Add(10 * time.Minute))
		if steadyState < 0.1 || steadyState > healthyBelow {
			t.Fatalf("after a time without evidence the probability is %v", steadyState)
		}
	})
}

func TestSamplerWeighsPausesLessThanSlowness(t *testing.T) {
	is := is.New(t)
	var s outlier.Sampler
	now := epoch
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		s.Add(now, 20*time.Millisecond, false)
	}
	base := s.Report(now, nil)
	for range 5 {
		s.Add(now, 200*time.Millisecond, false)
	}
	paused := s.Report(now, nil)
	is.True(paused.MeanLogMicros-base.MeanLogMicros < math.Log(3))
	for range 40 {
		now = now.Add(10 * time.Millisecond)
		s.Add(now, 200*time.Millisecond, false)
	}
	slow := s.Report(now, nil)
	is.True(slow.MeanLogMicros-base.MeanLogMicros > math.Log(8))
}

func BenchmarkEstimator(b *testing.B) {
	var estimator outlier.Estimator
	now := epoch
	for i := range b.N {
		now = now.Add(time.Millisecond)
		estimator.Add(now, outlier.Evidence(i%4))
	}
}
