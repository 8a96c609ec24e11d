package outlier

import (
	"math"
	"time"
)

// Parameters of the moving averages.
const (
	minSampleWeight = 1.0 / 10                // minimum weight of one sample in the moving average
	meanDecay       = 1500 * time.Millisecond // time constant with which earlier samples lose their weight in the moving average
	countDecay      = 2 * time.Second         // time constant with which the counts of samples and failures decay
)

// Report summarizes the results of the requests of one class at one upstream; it is sent with responses.
type Report struct {
	MeanLogMicros float64 // moving average of the natural logarithm of the service time in microseconds
	FailureCount  float64 // count of failures that decays over time
	SampleCount   float64 // count of samples that decays over time
	TotalSamples  uint64  // number of samples since the process started, without decay
}

// FailureRate returns the share of recent samples that failed.
func (r Report) FailureRate() float64 {
	if r.SampleCount < 1 {
		return r.FailureCount
	}
	return r.FailureCount / r.SampleCount
}

// Sampler collects the results of the requests of one class at one upstream. They are measured by the node beside the upstream,
// so the service times exclude queueing and the network.
type Sampler struct {
	meanLogMicros             float64
	failureCount, sampleCount float64
	totalSamples              uint64
	updatedAt                 time.Time
}

// Add records the result of one request; the service time of a failed request is ignored.
func (s *Sampler) Add(now time.Time, serviceTime time.Duration, failed bool) {
	elapsedSeconds := now.Sub(s.updatedAt).Seconds()
	if s.totalSamples == 0 {
		elapsedSeconds = 0
	}
	s.updatedAt = now
	decay := math.Exp(-elapsedSeconds / countDecay.Seconds())
	s.failureCount *= decay
	s.sampleCount = s.sampleCount*decay + 1
	s.totalSamples++
	if failed {
		s.failureCount++
		return
	}
	s.updateMean(serviceTime, elapsedSeconds)
}

// updateMean adds a service time to the moving average; the weight of a sample grows with the time since the previous sample.
func (s *Sampler) updateMean(serviceTime time.Duration, elapsedSeconds float64) {
	sample := logMicros(serviceTime)
	if s.meanLogMicros == 0 {
		s.meanLogMicros = sample
		return
	}
	weight := max(minSampleWeight, 1-math.Exp(-elapsedSeconds/meanDecay.Seconds()))
	s.meanLogMicros += weight * (sample - s.meanLogMicros)
}

// logMicros returns the natural logarithm of the duration in microseconds.
func logMicros(d time.Duration) float64 { return math.Log(float64(max(1, d.Microseconds()))) }

// Report returns the summary at now. It is given the time for which each running request has run; a running request that already took
// longer than the mean is included as if it completed now.
func (s *Sampler) Report(now time.Time, runningTimes []time.Duration) Report {
	r := Report{MeanLogMicros: s.meanLogMicros, FailureCount: s.failureCount, SampleCount: s.sampleCount, TotalSamples: s.totalSamples}
	for _, runningTime := range runningTimes {
		if sample := logMicros(runningTime); r.MeanLogMicros > 0 && sample > r.MeanLogMicros {
			r.MeanLogMicros += minSampleWeight * (sample - r.MeanLogMicros)
		}
	}
	if s.totalSamples > 0 {
		decay := math.Exp(-now.Sub(s.updatedAt).Seconds() / countDecay.Seconds())
		r.FailureCount *= decay
		r.SampleCount *= decay
	}
	return r
}

// MeanServiceTime returns the mean service time, or 0 if there are no samples.
func (s *Sampler) MeanServiceTime() time.Duration {
	if s.meanLogMicros == 0 {
		return 0
	}
	return time.Duration(math.Exp(s.meanLogMicros)) * time.Microsecond
}
