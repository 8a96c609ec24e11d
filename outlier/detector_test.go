package outlier_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/outlier"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func members(n int) map[string]bool {
	m := make(map[string]bool, n)
	for i := range n {
		m[fmt.Sprintf("u%02d", i)] = true
	}
	return m
}

// TestFloorHolds draws any evidence and reachability and checks that ejection never takes what the floor needs.
func TestFloorHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(t, "n")
		share := rapid.Float64Range(0, 1).Draw(t, "floor")
		d := outlier.NewDetector(share, 2)
		reach := members(n)
		d.Members(reach)
		now, seq := epoch, uint64(100)
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			now = now.Add(time.Duration(rapid.IntRange(50, 2000).Draw(t, "ms")) * time.Millisecond)
			seq += 20
			for id := range reach {
				if rapid.IntRange(0, 9).Draw(t, "flip") == 0 {
					reach[id] = !reach[id]
					d.Reachable(id, reach[id])
				}
			}
			for i := range n {
				r := outlier.Report{
					Mean: rapid.Float64Range(1, 15).Draw(t, "mean"), Spread: 0.3, Seq: seq,
					Count: 100, Fail: rapid.Float64Range(0, 100).Draw(t, "fail"),
					Stuck: time.Duration(rapid.IntRange(0, 3000).Draw(t, "stuck")) * time.Millisecond,
				}
				d.Report(now, fmt.Sprintf("u%02d", i), rapid.IntRange(0, 1).Draw(t, "class"), r)
			}
			out := len(d.Out())
			reachable := 0
			for _, ok := range reach {
				if ok {
					reachable++
				}
			}
			was := d.InService()
			changes := d.Evaluate(now)
			ejected := 0
			for _, c := range changes {
				if c.To == outlier.Ejected {
					ejected++
				}
			}
			if len(d.Out()) > out && d.InService() < d.Floor() {
				t.Fatalf("ejected below the floor: %d of %d in service, floor %d, before %d", d.InService(), n, d.Floor(), was)
			}
			if n-len(d.Out()) < d.Floor() {
				t.Fatalf("%d of %d are out, floor %d", len(d.Out()), n, d.Floor())
			}
		}
	})
}

// feed reports the given mean service times and failure shares for a while and returns the changes.
func feed(d *outlier.Detector, span time.Duration, means []time.Duration, fails []float64) []outlier.Change {
	var out []outlier.Change
	seq := uint64(50)
	for now := epoch; now.Before(epoch.Add(span)); now = now.Add(100 * time.Millisecond) {
		seq += 10
		for i := range means {
			r := outlier.Report{Mean: math.Log(float64(means[i].Microseconds())), Spread: 0.3, Seq: seq, Count: 50, Fail: 50 * fails[i]}
			d.Report(now, fmt.Sprintf("u%02d", i), 0, r)
		}
		out = append(out, d.Evaluate(now)...)
	}
	return out
}

func TestJudgement(t *testing.T) {
	ms := time.Millisecond
	tests := []struct {
		name  string
		means []time.Duration
		fails []float64
		want  []string // ejected first
	}{
		{"all well", []time.Duration{20 * ms, 22 * ms, 18 * ms, 25 * ms, 20 * ms}, make([]float64, 5), nil},
		{"one is slow", []time.Duration{20 * ms, 60 * ms, 18 * ms, 25 * ms, 20 * ms}, make([]float64, 5), []string{"u01"}},
		{"all are slow", []time.Duration{200 * ms, 220 * ms, 180 * ms, 250 * ms, 200 * ms}, make([]float64, 5), nil},
		{"one fails", []time.Duration{20 * ms, 20 * ms, 20 * ms, 20 * ms, 20 * ms}, []float64{0, 0, 0.3, 0, 0}, []string{"u02"}},
		{"all fail", []time.Duration{20 * ms, 20 * ms, 20 * ms, 20 * ms, 20 * ms}, []float64{0.5, 0.5, 0.5, 0.5, 0.5}, nil},
		{"fast failure", []time.Duration{20 * ms, ms, 20 * ms, 20 * ms, 20 * ms}, []float64{0, 1, 0, 0, 0}, []string{"u01"}},
		{"too few to compare", []time.Duration{20 * ms, 90 * ms}, make([]float64, 2), nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := outlier.NewDetector(0.5, 1)
			d.Members(members(len(tt.means)))
			var got []string
			for _, c := range feed(d, 900*ms, tt.means, tt.fails) {
				if c.To == outlier.Ejected {
					got = append(got, c.ID)
				}
			}
			is.Equal(got, tt.want)
		})
	}
}

func TestReturnTakesLongerAfterARelapse(t *testing.T) {
	is := is.New(t)
	ms := time.Millisecond
	d := outlier.NewDetector(0.5, 1)
	d.Members(members(5))
	var trials, ejections []time.Duration
	seq := uint64(50)
	for now := epoch; now.Before(epoch.Add(20 * time.Second)); now = now.Add(100 * ms) {
		seq += 10
		for i := range 5 {
			mean := 20 * ms
			if i == 0 {
				mean = 200 * ms
			}
			d.Report(now, fmt.Sprintf("u%02d", i), 0, outlier.Report{Mean: math.Log(float64(mean.Microseconds())), Spread: 0.3, Seq: seq, Count: 50})
		}
		for _, c := range d.Evaluate(now) {
			switch c.To {
			case outlier.Ejected:
				ejections = append(ejections, now.Sub(epoch))
			case outlier.Trying:
				trials = append(trials, now.Sub(epoch))
			}
		}
	}
	is.True(len(trials) >= 3) // it is tried again and again
	first, third := trials[0]-ejections[0], trials[2]-ejections[2]
	is.True(third >= 3*first) // and the time out of service doubles
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

func BenchmarkEvaluate(b *testing.B) {
	for _, n := range []int{8, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d := outlier.NewDetector(0.6, 3)
			m := make(map[string]bool, n)
			for i := range n {
				m[fmt.Sprintf("u%04d", i)] = true
			}
			d.Members(m)
			now := epoch
			for i := range n {
				for c := range 3 {
					d.Report(now, fmt.Sprintf("u%04d", i), c, outlier.Report{Mean: 10, Spread: 0.3, Seq: 100, Count: 50})
				}
			}
			for b.Loop() {
				d.Evaluate(now)
			}
		})
	}
}

// TestColdUpstreamIsNotSickWhenAllSlowDown is the case of a new upstream whose first samples come after a slowdown of the whole group began, while the means of the others still move.
func TestColdUpstreamIsNotSickWhenAllSlowDown(t *testing.T) {
	is := is.New(t)
	ms := time.Millisecond
	d := outlier.NewDetector(0.5, 1)
	d.Members(members(5))
	samplers := make([]outlier.Sampler, 5)
	now := epoch
	for tick := range 200 {
		now = now.Add(20 * ms)
		took := 20 * ms
		if tick >= 100 {
			took = 60 * ms
		}
		for i := range samplers {
			if i > 0 || tick >= 100 {
				samplers[i].Add(now, took, false)
				d.Report(now, fmt.Sprintf("u%02d", i), 0, samplers[i].Report(now, nil))
			}
		}
		is.Equal(len(d.Evaluate(now)), 0)
	}
}
