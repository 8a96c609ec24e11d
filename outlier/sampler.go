package outlier

import (
	"math"
	"time"
)

// Weights of the moving figures.
const (
	sampleWeight = 1.0 / 10                // least weight of one sample in the mean
	meanDecay    = 1500 * time.Millisecond // time after which an old mean has lost its weight
	countDecay   = 2 * time.Second         // time constant of the decayed counts
)

// Report is the evidence on one upstream and class that rides on answers.
type Report struct {
	Mean  float64 // mean of the natural logarithm of the service time in microseconds
	Fail  float64 // decayed count of failures
	Count float64 // decayed count of samples
	Seq   uint64  // samples since the start
}

// Failure returns the share of failures.
func (r Report) Failure() float64 {
	if r.Count < 1 {
		return r.Fail
	}
	return r.Fail / r.Count
}

// Sampler condenses the results of one upstream and class, as seen beside the upstream without queue or network.
type Sampler struct {
	mean        float64
	fail, count float64
	seq         uint64
	last        time.Time
}

// Add counts one result; the service time of a failure does not change the mean.
func (s *Sampler) Add(now time.Time, took time.Duration, failed bool) {
	dt := now.Sub(s.last).Seconds()
	if s.seq == 0 {
		dt = 0
	}
	s.last = now
	decay := math.Exp(-dt / countDecay.Seconds())
	s.fail *= decay
	s.count = s.count*decay + 1
	s.seq++
	if failed {
		s.fail++
		return
	}
	s.learn(took, dt)
}

func (s *Sampler) learn(took time.Duration, dt float64) {
	x := logTime(took)
	if s.mean == 0 {
		s.mean = x
		return
	}
	w := max(sampleWeight, 1-math.Exp(-dt/meanDecay.Seconds()))
	s.mean += w * (x - s.mean)
}

func logTime(d time.Duration) float64 { return math.Log(float64(max(1, d.Microseconds()))) }

// Report returns the evidence at now; running work that is older than the mean counts as if it ended now.
func (s *Sampler) Report(now time.Time, running []time.Duration) Report {
	r := Report{Mean: s.mean, Fail: s.fail, Count: s.count, Seq: s.seq}
	for _, age := range running {
		if x := logTime(age); r.Mean > 0 && x > r.Mean {
			r.Mean += sampleWeight * (x - r.Mean)
		}
	}
	if s.seq > 0 {
		decay := math.Exp(-now.Sub(s.last).Seconds() / countDecay.Seconds())
		r.Fail *= decay
		r.Count *= decay
	}
	return r
}

// Mean returns the typical service time, or 0 where none is known.
func (s *Sampler) Mean() time.Duration {
	if s.mean == 0 {
		return 0
	}
	return time.Duration(math.Exp(s.mean)) * time.Microsecond
}
