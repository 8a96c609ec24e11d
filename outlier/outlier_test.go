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
		success, failure, broken, overdue = outlier.Success, outlier.Error, outlier.Broken, outlier.Overdue
	)
	repeat := func(e outlier.Evidence, count int) []outlier.Evidence {
		var evidence []outlier.Evidence
		for range count {
			evidence = append(evidence, e)
		}
		return evidence
	}
	tests := []struct {
		name      string
		first     []outlier.Evidence
		second    []outlier.Evidence // added after first
		unhealthy bool               // whether the estimate after both is unhealthy
	}{
		{"all goes well", repeat(success, 5), repeat(success, 5), false},
		{"one connection breaks", repeat(success, 5), []outlier.Evidence{broken}, true},
		{"one error", repeat(success, 5), []outlier.Evidence{failure}, false},
		{"two errors in a row", repeat(success, 5), repeat(failure, 2), true},
		{"one answer is late", repeat(success, 5), []outlier.Evidence{overdue}, false},
		{"two late answers in a row", repeat(success, 5), repeat(overdue, 2), true},
		{"an error now and then", repeat(success, 5), []outlier.Evidence{failure, success, success, success, failure, success, success, success}, false},
		{"one good trial", repeat(broken, 5), []outlier.Evidence{success}, true},
		{"two good trials", repeat(broken, 5), repeat(success, 2), false},
		{"a good trial between bad ones", repeat(broken, 5), []outlier.Evidence{success, broken, success}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var est outlier.Estimator
			now := epoch
			for _, e := range append(tt.first, tt.second...) {
				now = now.Add(200 * time.Millisecond)
				est.Add(now, e)
			}
			is.Equal(est.Suspicion(now) > healthyBelow, tt.unhealthy)
			is.True(tt.unhealthy || est.Suspicion(now) < unhealthyAbove)
		})
	}
}

// TestEstimateIsAProbability draws evidence at random times and checks that the suspicion stays between 0 and 1, rises with broken
// connections and falls with successes, and returns to the range of an upstream without evidence after a long time without any.
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
