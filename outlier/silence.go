package outlier

import (
	"math"
	"time"
)

// Parameters of the model of requests without a response.
const (
	silentShare     = 0.6                    // share of its requests that an unhealthy upstream never answers
	logTimeSpread   = 0.6                    // standard deviation of the natural logarithm of the service time at a healthy upstream
	pauseTime       = 150 * time.Millisecond // mean time for which a healthy upstream pauses and answers nothing
	maxSilenceRatio = 30                     // upper bound on the ratio for one request
)

// Silence is a request that has had no response yet.
type Silence struct {
	Age       time.Duration // time since the request was sent
	Typical   time.Duration // typical service time of its class; 0 if unknown
	Overtaken bool          // the upstream responded to another request when this one was due
}

// Ratio returns how many times likelier the silence is at an unhealthy upstream than at a healthy one that does not pause; at least 1.
func (s Silence) Ratio() float64 {
	if s.Typical <= 0 || s.Age <= 0 {
		return 1
	}
	deviation := math.Log(float64(s.Age)/float64(s.Typical)) / logTimeSpread
	stillRunning := 0.5 * math.Erfc(deviation/math.Sqrt2)
	return min(maxSilenceRatio, (silentShare+(1-silentShare)*stillRunning)/stillRunning)
}

// SilenceRatio returns the ratio for all requests in flight together. One pause of the upstream or of the network explains all
// requests that were due since the last response, unheard ago, so together these count no more than a pause of that length.
func SilenceRatio(requests []Silence, unheard time.Duration) float64 {
	overtaken, paused := 1.0, 1.0
	for _, s := range requests {
		if s.Overtaken {
			overtaken *= s.Ratio()
		} else {
			paused *= s.Ratio()
		}
	}
	return overtaken * min(paused, math.Exp(float64(max(0, unheard))/float64(pauseTime)))
}

// Combine returns what a suspicion becomes with evidence that is ratio times likelier at an unhealthy upstream than at a healthy one.
func Combine(suspicion, ratio float64) float64 {
	bounded := min(maxSuspicion, max(minSuspicion, suspicion))
	return min(maxSuspicion, bounded*ratio/(bounded*ratio+1-bounded))
}

// AddRatio updates the suspicion with evidence that is ratio times likelier at an unhealthy upstream than at a healthy one.
func (est *Estimator) AddRatio(now time.Time, ratio float64) {
	est.suspicion, est.updatedAt = Combine(est.Suspicion(now), ratio), now
}
