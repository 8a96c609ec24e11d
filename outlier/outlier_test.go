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

// Beliefs between which an upstream is neither surely well nor surely sick.
const (
	surelyWell = 0.3
	surelySick = 0.5
)

func TestJudgement(t *testing.T) {
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
		name   string
		before []outlier.Evidence
		then   []outlier.Evidence
		sick   bool
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
			var b outlier.Estimator
			now := epoch
			for _, e := range append(tt.before, tt.then...) {
				now = now.Add(200 * time.Millisecond)
				b.Add(now, e)
			}
			is.Equal(b.UnhealthyProbability(now) > surelyWell, tt.sick)
			is.True(tt.sick || b.UnhealthyProbability(now) < surelySick)
		})
	}
}

// TestBeliefIsAProbability draws any evidence at any times and checks the bounds, and that silence leads to no verdict.
func TestBeliefIsAProbability(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b outlier.Estimator
		now := epoch
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(-50, 3000).Draw(t, "ms")) * time.Millisecond)
			e := outlier.Evidence(rapid.IntRange(0, 3).Draw(t, "evidence"))
			before := b.UnhealthyProbability(now)
			b.Add(now, e)
			after := b.UnhealthyProbability(now)
			if after <= 0 || after >= 1 {
				t.Fatalf("belief %v", after)
			}
			if e == outlier.Success && after > before+1e-9 || e == outlier.Broken && after < before-1e-9 && before < 0.9 {
				t.Fatalf("evidence %v moved the belief from %v to %v", e, before, after)
			}
		}
		rest := b.UnhealthyProbability(now.Add(10 * time.Minute))
		if rest < 0.1 || rest > surelyWell {
			t.Fatalf("after silence the belief is %v", rest)
		}
	})
}

func TestSamplerNoticesPausesLessThanSickness(t *testing.T) {
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
	is.True(paused.Mean-base.Mean < math.Log(3))
	for range 40 {
		now = now.Add(10 * time.Millisecond)
		s.Add(now, 200*time.Millisecond, false)
	}
	sick := s.Report(now, nil)
	is.True(sick.Mean-base.Mean > math.Log(8))
}

func BenchmarkBelief(b *testing.B) {
	var belief outlier.Estimator
	now := epoch
	for i := range b.N {
		now = now.Add(time.Millisecond)
		belief.Add(now, outlier.Evidence(i%4))
	}
}
