package outlier_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/outlier"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// objective is the objective of the requests in these tests; their typical service time is a share of it.
const (
	objective = 800 * time.Millisecond
	typical   = 220 * time.Millisecond
)

func TestSilenceOfSeveralRequests(t *testing.T) {
	at := func(age time.Duration, overtaken bool) outlier.Silence {
		return outlier.Silence{Age: age, Typical: typical, Overtaken: overtaken}
	}
	tests := []struct {
		name      string
		silences  []outlier.Silence
		unheard   time.Duration
		unhealthy bool // whether a healthy upstream becomes unhealthy
	}{
		{"one that is due", []outlier.Silence{at(typical, false)}, typical, false},
		{"one that others overtook, at a quarter of the objective", []outlier.Silence{at(objective/4, true)}, 10 * time.Millisecond, false},
		{"two that others overtook, at half of the objective", []outlier.Silence{at(objective/2, true), at(objective/2+50*time.Millisecond, true)}, 10 * time.Millisecond, true},
		{"two in a row and nothing else, at three quarters", []outlier.Silence{at(3*objective/4, false), at(objective/2, false)}, 3 * objective / 4, true},
		{"many in a short pause", []outlier.Silence{at(objective, false), at(objective, false), at(objective, false), at(objective, false)}, 200 * time.Millisecond, false},
		{"without a typical time", []outlier.Silence{{Age: time.Minute}}, time.Minute, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const healthy = 0.05
			suspicion := outlier.Combine(healthy, outlier.SilenceRatio(tt.silences, tt.unheard))
			is.Equal(suspicion > healthyBelow, tt.unhealthy)
		})
	}
}

// TestSilenceGrows draws requests and checks that the ratio is at least 1 and never falls as they get older.
func TestSilenceGrows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var silences []outlier.Silence
		for range rapid.IntRange(0, 6).Draw(t, "n") {
			silences = append(silences, outlier.Silence{
				Age:       time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond,
				Typical:   time.Duration(rapid.IntRange(0, 2000).Draw(t, "typical")) * time.Millisecond,
				Overtaken: rapid.Bool().Draw(t, "overtaken"),
			})
		}
		unheard := time.Duration(rapid.IntRange(0, 3000).Draw(t, "unheard")) * time.Millisecond
		before := outlier.SilenceRatio(silences, unheard)
		for i := range silences {
			silences[i].Age += 100 * time.Millisecond
		}
		after := outlier.SilenceRatio(silences, unheard+100*time.Millisecond)
		if before < 1 || after < before-1e-9 || math.IsNaN(after) {
			t.Fatalf("ratio %v, then %v", before, after)
		}
	})
}

// TestHealthyServiceTimesRaiseNoSuspicion draws service times of a healthy upstream that runs several requests at once, and checks that
// the silence of those in flight makes its gate report it as suspect for no more than a small share of the time.
func TestHealthyServiceTimesRaiseNoSuspicion(t *testing.T) {
	const slots, requests, spread = 4, 4000, 0.5
	const maxShare = 0.02 // of the samples
	rnd := rand.New(rand.NewPCG(1, 1))
	var starts, ends [slots]time.Time
	now, lastHeard := epoch, epoch
	var est outlier.Estimator
	samples, suspected, done := 0, 0, 0
	for done < requests {
		now = now.Add(10 * time.Millisecond)
		var silences []outlier.Silence
		first := now
		for i := range slots {
			if !now.Before(ends[i]) {
				if !ends[i].IsZero() {
					est.Add(now, outlier.Success)
					lastHeard = now
					done++
				}
				starts[i] = now
				ends[i] = now.Add(time.Duration(float64(typical) * math.Exp(spread*rnd.NormFloat64())))
			}
			silences = append(silences, outlier.Silence{Age: now.Sub(starts[i]), Typical: typical, Overtaken: lastHeard.After(starts[i].Add(typical))})
			if starts[i].Before(first) {
				first = starts[i]
			}
		}
		if lastHeard.After(first) {
			first = lastHeard
		}
		samples++
		if outlier.Combine(est.Suspicion(now), outlier.SilenceRatio(silences, now.Sub(first))) > unhealthyAbove {
			suspected++
		}
	}
	if share := float64(suspected) / float64(samples); share > maxShare {
		t.Fatalf("suspected for %.1f%% of the time", 100*share)
	}
}
