package outlier

import (
	"math"
	"time"
)

// Evidence is what one attempt showed of an upstream.
type Evidence int

// The kinds of evidence.
const (
	Success Evidence = iota
	Error            // a whole answer that reports a failure of the upstream
	Broken           // a connection that broke, or an answer that was cut or crossed
	Overdue          // work that ran far longer than such work usually does
	evidences
)

// likelihood holds the probabilities of one kind of evidence from a well and from a sick upstream.
type likelihood struct{ well, sick float64 }

var likelihoods = [evidences]likelihood{
	Success: {well: 0.93, sick: 0.15},
	Error:   {well: 0.05, sick: 0.35},
	Broken:  {well: 0.005, sick: 0.60},
	Overdue: {well: 0.02, sick: 0.30},
}

// Rates of the change between well and sick.
const (
	fallTime    = 20 * time.Second // mean time until a well upstream falls sick
	recoverTime = 8 * time.Second  // mean time until a sick upstream is well
	leastBelief = 0.01
	mostBelief  = 0.93
)

// Prior is the belief in the sickness of an upstream of which nothing is known.
const Prior = 0.2

// Estimator is the probability that an upstream is sick, as its gate sees it; the zero value knows nothing.
type Estimator struct {
	sick float64
	at   time.Time
}

// UnhealthyProbability returns the probability at now.
func (b *Estimator) UnhealthyProbability(now time.Time) float64 {
	if b.at.IsZero() {
		return Prior
	}
	return Decay(b.sick, now.Sub(b.at))
}

// Decay returns what a belief has become after a span without evidence.
func Decay(sick float64, span time.Duration) float64 {
	up, down := 1/fallTime.Seconds(), 1/recoverTime.Seconds()
	rest := up / (up + down)
	if sick < rest {
		rest = min(rest, Prior)
	}
	return rest + (sick-rest)*math.Exp(-(up+down)*max(0, span.Seconds()))
}

// Add takes one piece of evidence.
func (b *Estimator) Add(now time.Time, e Evidence) {
	p := min(mostBelief, max(leastBelief, b.UnhealthyProbability(now)))
	l := likelihoods[e]
	p = p * l.sick / (p*l.sick + (1-p)*l.well)
	b.sick, b.at = min(mostBelief, max(leastBelief, p)), now
}
