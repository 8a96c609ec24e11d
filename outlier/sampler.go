package outlier

import (
	"math"
	"time"
)

// Parameters of the moving averages.
const (
	sampleWeight = 1.0 / 10                // minimum weight of one sample in the mean
	meanDecay    = 1500 * time.Millisecond // time constant with which an old mean loses its weight
	countDecay   = 2 * time.Second         // time constant of the decayed counts
)

// Report summarizes the results of one class of work at one upstream; it is sent with responses.
type Report struct {
	MeanLogMicros float64 // mean of the natural logarithm of the service time in microseconds
	FailureCount  float64 // decayed count of failures
	SampleCount   float64 // decayed count of samples
	TotalSamples  uint64  // number of samples since the start
}

// FailureRate returns the share of samples that failed.
func (r Report) FailureRate() float64 {
	if r.SampleCount < 1 {
		return r.FailureCount
	}
	return r.FailureCount / r.SampleCount
}

// Sampler summarizes the results of one class at one upstream, measured beside the upstream so that they exclude queueing and the network.
type Sampler struct {
	mean        float64
	fail, count float64
	seq         uint64
	last        time.Time
}

// Add counts one result; the service time of a failure is ignored.
func (s *Sampler) Add(now time.Time, serviceTime time.Duration, failed bool) {
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
	s.updateMean(serviceTime, dt)
}

func (s *Sampler) updateMean(serviceTime time.Duration, dt float64) {
	x := logMicros(serviceTime)
	if s.mean == 0 {
		s.mean = x
		return
	}
	w := max(sampleWeight, 1-math.Exp(-dt/meanDecay.Seconds()))
	s.mean += w * (x - s.mean)
}

func logMicros(d time.Duration) float64 { return math.Log(float64(max(1, d.Microseconds()))) }

// Report returns the summary at now; running work that is older than the mean counts as if it ended now.
func (s *Sampler) Report(now time.Time, running []time.Duration) Report {
	r := Report{MeanLogMicros: s.mean, FailureCount: s.fail, SampleCount: s.count, TotalSamples: s.seq}
	for _, age := range running {
		if x := logMicros(age); r.MeanLogMicros > 0 && x > r.MeanLogMicros {
			r.MeanLogMicros += sampleWeight * (x - r.MeanLogMicros)
		}
	}
	if s.seq > 0 {
		decay := math.Exp(-now.Sub(s.last).Seconds() / countDecay.Seconds())
		r.FailureCount *= decay
		r.SampleCount *= decay
	}
	return r
}

// MeanServiceTime returns the mean service time, or 0 if there are no samples.
func (s *Sampler) MeanServiceTime() time.Duration {
	if s.mean == 0 {
		return 0
	}
	return time.Duration(math.Exp(s.mean)) * time.Microsecond
}
