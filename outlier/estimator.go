package outlier

import (
	"math"
	"time"
)

// Evidence is the result of one request, from which the health of the upstream is estimated.
type Evidence int

// Kinds of evidence.
const (
	Success Evidence = iota
	Error            // a complete response that reports a failure of the upstream
	Broken           // a broken connection, or a response that was truncated or belongs to another request
	Overdue          // a response that took far longer than the typical service time of its class
	evidenceCount
)

// likelihood holds the probability that a healthy upstream gives one kind of evidence, and that an unhealthy one does.
type likelihood struct{ healthy, unhealthy float64 }

var likelihoods = [evidenceCount]likelihood{
	Success: {healthy: 0.93, unhealthy: 0.15},
	Error:   {healthy: 0.05, unhealthy: 0.35},
	Broken:  {healthy: 0.005, unhealthy: 0.60},
	Overdue: {healthy: 0.02, unhealthy: 0.30},
}

// Parameters of the model in which an upstream alternates between healthy and unhealthy.
const (
	meanTimeToFailure  = 20 * time.Second // mean time until a healthy upstream becomes unhealthy
	meanTimeToRecovery = 8 * time.Second  // mean time until an unhealthy upstream recovers
	minSuspicion       = 0.01             // lower bound on the estimate after evidence
	maxSuspicion       = 0.93             // upper bound on the estimate after evidence
)

// Prior is the suspicion of an upstream for which there is no evidence yet.
const Prior = 0.2

// Estimator estimates the suspicion of an upstream by Bayes' rule; the zero value starts at Prior.
type Estimator struct {
	suspicion float64
	updatedAt time.Time
}

// Suspicion returns the suspicion of the upstream at now.
func (est *Estimator) Suspicion(now time.Time) float64 {
	if est.updatedAt.IsZero() {
		return Prior
	}
	return Decay(est.suspicion, now.Sub(est.updatedAt))
}

// Decay returns what a suspicion becomes after the elapsed time without evidence. It approaches the steady state, which is the long-run
// share of time that an upstream is unhealthy. A suspicion below the steady state approaches Prior instead if Prior is lower.
func Decay(suspicion float64, elapsed time.Duration) float64 {
	failureRate, recoveryRate := 1/meanTimeToFailure.Seconds(), 1/meanTimeToRecovery.Seconds()
	steadyState := failureRate / (failureRate + recoveryRate)
	if suspicion < steadyState {
		steadyState = min(steadyState, Prior)
	}
	return steadyState + (suspicion-steadyState)*math.Exp(-(failureRate+recoveryRate)*max(0, elapsed.Seconds()))
}

// Add updates the suspicion with one piece of evidence.
func (est *Estimator) Add(now time.Time, evidence Evidence) {
	suspicion := min(maxSuspicion, max(minSuspicion, est.Suspicion(now)))
	likelihood := likelihoods[evidence]
	suspicion = suspicion * likelihood.unhealthy / (suspicion*likelihood.unhealthy + (1-suspicion)*likelihood.healthy)
	est.suspicion, est.updatedAt = min(maxSuspicion, max(minSuspicion, suspicion)), now
}
