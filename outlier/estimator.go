package outlier

import (
	"math"
	"time"
)

// Evidence is the result of one attempt as a sign of the health of the upstream.
type Evidence int

// Kinds of evidence.
const (
	Success Evidence = iota
	Error            // a complete response that reports a failure of the upstream
	Broken           // a broken connection, or a response that was truncated or belongs to another request
	Overdue          // work that ran far longer than the typical latency of its class
	evidences
)

// likelihood holds the probabilities of one kind of evidence from a healthy and from an unhealthy upstream.
type likelihood struct{ healthy, unhealthy float64 }

var likelihoods = [evidences]likelihood{
	Success: {healthy: 0.93, unhealthy: 0.15},
	Error:   {healthy: 0.05, unhealthy: 0.35},
	Broken:  {healthy: 0.005, unhealthy: 0.60},
	Overdue: {healthy: 0.02, unhealthy: 0.30},
}

// Parameters of the change between healthy and unhealthy.
const (
	meanTimeToFailure  = 20 * time.Second // mean time until a healthy upstream becomes unhealthy
	meanTimeToRecovery = 8 * time.Second  // mean time until an unhealthy upstream recovers
	minSuspicion       = 0.01
	maxSuspicion       = 0.93
)

// Prior is the suspicion before there is any evidence.
const Prior = 0.2

// Estimator estimates the suspicion of an upstream by Bayes' rule; the zero value starts at Prior.
type Estimator struct {
	suspicion float64
	at        time.Time
}

// Suspicion returns the suspicion of the upstream at now.
func (est *Estimator) Suspicion(now time.Time) float64 {
	if est.at.IsZero() {
		return Prior
	}
	return Decay(est.suspicion, now.Sub(est.at))
}

// Decay returns the suspicion after a time without evidence, which approaches the steady state of failures and recoveries.
// A lower suspicion approaches Prior if that is lower than the steady state.
func Decay(suspicion float64, elapsed time.Duration) float64 {
	failureRate, recoveryRate := 1/meanTimeToFailure.Seconds(), 1/meanTimeToRecovery.Seconds()
	steadyState := failureRate / (failureRate + recoveryRate)
	if suspicion < steadyState {
		steadyState = min(steadyState, Prior)
	}
	return steadyState + (suspicion-steadyState)*math.Exp(-(failureRate+recoveryRate)*max(0, elapsed.Seconds()))
}

// Add updates the suspicion with one piece of evidence.
func (est *Estimator) Add(now time.Time, e Evidence) {
	p := min(maxSuspicion, max(minSuspicion, est.Suspicion(now)))
	l := likelihoods[e]
	p = p * l.unhealthy / (p*l.unhealthy + (1-p)*l.healthy)
	est.suspicion, est.at = min(maxSuspicion, max(minSuspicion, p)), now
}
