package admission

import (
	"math"
	"time"
)

// Parameters of the cost to callers. The worth of a response in time is 1.
const (
	lateWorth          = 1.0 / 3 // worth of a response after the objective
	priorWorkShare     = 0.3     // mean service time as a share of the objective before there are samples
	priorWork          = 0.1     // mean service time in seconds before there are samples, for classes without an objective
	priorSpread        = 0.8     // standard deviation of the logarithm of the service time before there are samples
	minSpread          = 0.3
	maxSpread          = 1.2
	minTimesWeight     = 0.05 // weight of a sample in the distribution once there are many
	nestedRefusalRatio = 10   // loss by refusing a nested call, which wastes the slot and the work of the request that waits for it, relative to other requests
	onceRefusalRatio   = 1.25 // loss by refusing a non-idempotent request, which no hedged attempt can save, relative to an idempotent one
)

// serviceTimes estimates the distribution of the service times of one class, as a log-normal one. The zero value has no samples.
type serviceTimes struct {
	samples  int
	mean     float64 // in seconds
	logMean  float64
	variance float64 // of the logarithm
}

// prior returns the distribution that is assumed before there are samples.
func prior(objective time.Duration) serviceTimes {
	mean := priorWork
	if objective > 0 {
		mean = priorWorkShare * objective.Seconds()
	}
	return serviceTimes{mean: mean, logMean: math.Log(mean) - priorSpread*priorSpread/2, variance: priorSpread * priorSpread}
}

// orPrior returns the distribution, or the prior if there are no samples.
func (s serviceTimes) orPrior(objective time.Duration) serviceTimes {
	if s.samples > 0 {
		return s
	}
	return prior(objective)
}

// add adds the service time in seconds of a request that ended. A failed request counts only if it took longer than the mean, since its
// service time would have been at least that.
func (s *serviceTimes) add(serviceTime float64, objective time.Duration, result Result) {
	*s = s.orPrior(objective)
	if serviceTime <= 0 || result.Shed || result.Failed && serviceTime < s.mean {
		return
	}
	s.samples++
	weight := max(minTimesWeight, 1/float64(s.samples+1))
	s.mean += weight * (serviceTime - s.mean)
	deviation := math.Log(serviceTime) - s.logMean
	s.logMean += weight * deviation
	s.variance += weight * (deviation*deviation - s.variance)
}

// probabilityWithin returns the probability that a request which starts now ends within d.
func (s *serviceTimes) probabilityWithin(d time.Duration) float64 {
	if d <= 0 {
		return 0
	}
	spread := min(maxSpread, max(minSpread, math.Sqrt(s.variance)))
	return math.Erfc((s.logMean-math.Log(d.Seconds()))/(spread*math.Sqrt2)) / 2
}

// candidate is a request with what its cost depends on.
type candidate struct {
	Request
	class       *class
	times       serviceTimes // of the class, at the time of the last assessment
	objectiveAt time.Time    // time until which a response has its full worth

	worthAtOffer float64
	late         bool // it can hardly be in time
	owed         bool // its class, its priority or its caller is served too rarely
	overuse      int  // how far its caller is beyond its share
}

// newCandidate returns the request as a candidate.
func newCandidate(now time.Time, r Request, k *class) candidate {
	if r.Arrived.IsZero() || r.Arrived.After(now) {
		r.Arrived = now
	}
	candidate := candidate{Request: r, class: k, times: k.times.orPrior(k.Objective), objectiveAt: r.Deadline}
	if k.Objective > 0 && r.Arrived.Add(k.Objective).Before(r.Deadline) {
		candidate.objectiveAt = r.Arrived.Add(k.Objective)
	}
	candidate.worthAtOffer = candidate.worthAt(now)
	return candidate
}

// worthAt returns the expected worth of the response if the request starts at the given time.
func (c *candidate) worthAt(start time.Time) float64 {
	inTime := c.times.probabilityWithin(c.objectiveAt.Sub(start))
	answered := c.times.probabilityWithin(c.Deadline.Sub(start))
	return inTime + lateWorth*max(0, answered-inTime)
}

// loss is the expected loss to the caller of a request.
type loss struct {
	delay   float64 // of starting it after the wait instead of now
	refusal float64 // of refusing it now instead of starting it after the wait
}

// lossAfter returns the expected loss if the request has to wait.
func (c *candidate) lossAfter(now time.Time, wait time.Duration) loss {
	worth := c.worthAt(now.Add(wait))
	return loss{delay: max(0, c.worthAt(now)-worth), refusal: c.refusalRatio() * worth}
}

// refusalRatio returns the loss by a refusal relative to the worth of the response.
func (c *candidate) refusalRatio() float64 {
	ratio := 1.0
	if c.class.NonIdempotent {
		ratio *= onceRefusalRatio
	}
	if c.Nested {
		ratio *= nestedRefusalRatio
	}
	return ratio
}

// worthByWork returns the loss by a refusal of a request that would be in time, for each second of expected work.
func (c *candidate) worthByWork() float64 { return c.refusalRatio() / c.times.mean }

// canBeInTime reports whether the request, started now, has a fair chance to end within its objective.
func (c *candidate) canBeInTime(now time.Time) bool {
	return now.Add(seconds(minServiceTimeShare * c.times.mean)).Before(c.objectiveAt)
}
