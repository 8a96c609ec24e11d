package admission

import (
	"math"
	"time"
)

// Parameters of the shares.
const (
	shortMemory    = 8 * time.Second        // time constant of what was offered and started lately
	longMemory     = 60 * time.Second       // time constant of the usual demand
	maxTallies     = 1024                   // maximum number of keys of one tracker
	owedRatio      = 0.5                    // ratio of the share of requests started to that of all requests, below which a key is owed a slot
	underuseRatio  = 0.5                    // ratio of what a caller used to its share, below which its requests go before others
	overuseRatio   = 1.1                    // the same, from which they go after others
	minUsual       = 8                      // requests that are added to the usual demand of a caller
	weightExponent = 0.75                   // exponent of the usual demand in the weight of a caller
	weightInterval = 200 * time.Millisecond // interval at which the sum of all weights is computed
)

// tally counts the requests of one class, one priority or one caller, with exponential decay.
type tally struct {
	at      time.Time // time up to which the numbers below have decayed
	offered float64   // requests offered within the short memory
	started float64   // requests started within the short memory
	used    float64   // work started within the short memory, in seconds
	usual   float64   // work offered within the long memory, in seconds
	usedAt  time.Time // time of the last offer or start, or of the creation
	number  uint64    // in the order in which the tallies of the tracker were created
}

// decay brings the tally up to date.
func (t *tally) decay(now time.Time) {
	elapsed := now.Sub(t.at)
	if elapsed <= 0 {
		return
	}
	short := math.Exp(-float64(elapsed) / float64(shortMemory))
	t.offered *= short
	t.started *= short
	t.used *= short
	t.usual *= math.Exp(-float64(elapsed) / float64(longMemory))
	t.at = now
}

func (t *tally) recordOffer(now time.Time, work float64) {
	t.decay(now)
	t.usedAt = now
	t.offered++
	t.usual += work
}

func (t *tally) recordStart(now time.Time, work float64) {
	t.decay(now)
	t.usedAt = now
	t.started++
	t.used += work
}

// owed reports whether the share of requests that were started, and one more, is far below that of all requests.
func (t *tally) owed(now time.Time, all *tally) bool {
	t.decay(now)
	all.decay(now)
	return (t.started+1)*all.offered < owedRatio*all.started*t.offered
}

// weight returns the share of a caller in relation to others, given the work of one request. It grows less than the usual demand does, so that
// a large caller is the first to feel that capacity is short.
func (t *tally) weight(work float64) float64 {
	return math.Pow(t.usual+minUsual*work, weightExponent)
}

// overuse ranks callers by the ratio of the work that was started for them to their fair share of it: 0 if that is about their share, less
// if it is far below, and more if it is beyond.
func overuse(used, fair float64) int {
	switch {
	case used < underuseRatio*fair:
		return -1
	case used < overuseRatio*fair:
		return 0
	case used < 2*overuseRatio*fair:
		return 1
	}
	return 2
}

// tracker holds the tallies of up to maxTallies keys. The zero value is empty.
type tracker[K comparable] struct {
	tallies map[K]*tally
	created uint64 // number of tallies created so far
}

// get returns the tally of a key. If there is no room for a new one, the one that was not used for longest is dropped.
func (s *tracker[K]) get(now time.Time, key K) *tally {
	if s.tallies == nil {
		s.tallies = make(map[K]*tally)
	}
	if t := s.tallies[key]; t != nil {
		return t
	}
	if len(s.tallies) >= maxTallies {
		s.evict(now)
	}
	s.created++
	t := &tally{at: now, usedAt: now, number: s.created}
	s.tallies[key] = t
	return t
}

// evict drops the tallies that were not used within the long memory, or the one that was not used for longest if there are none.
func (s *tracker[K]) evict(now time.Time) {
	var oldestKey K
	var oldest *tally
	for key, t := range s.tallies {
		if now.Sub(t.usedAt) > longMemory {
			delete(s.tallies, key)
			continue
		}
		if oldest == nil || t.usedBefore(oldest) {
			oldestKey, oldest = key, t
		}
	}
	if len(s.tallies) >= maxTallies {
		delete(s.tallies, oldestKey)
	}
}

// usedBefore reports whether the tally was last used before the other. Of two last used at the same time, it is the one created first.
func (t *tally) usedBefore(other *tally) bool {
	if t.usedAt.Equal(other.usedAt) {
		return t.number < other.number
	}
	return t.usedAt.Before(other.usedAt)
}

// callerShares holds the tallies of the callers. The zero value is empty.
type callerShares struct {
	tracker[string]
	weights  float64   // sum of the weights of all callers
	weighted time.Time // time at which weights was computed
}

// overuse returns the rank of a caller by its use, given the work of one request and the tally of all requests.
func (s *callerShares) overuse(now time.Time, caller string, work float64, all *tally) int {
	t := s.get(now, caller)
	t.decay(now)
	all.decay(now)
	if s.weights == 0 || now.Sub(s.weighted) >= weightInterval {
		s.weights, s.weighted = 0, now
		for _, other := range s.tallies {
			other.decay(now)
			s.weights += other.weight(work)
		}
	}
	return overuse(t.used, all.used*t.weight(work)/s.weights)
}
