package admission

import (
	"math"
	"time"
)

// Parameters of the shares.
const (
	shortMemory = 8 * time.Second  // time constant of what was offered and started lately
	longMemory  = 60 * time.Second // time constant of the usual demand
	minTallyAge = 2 * time.Second  // age of the tallies from which a usual demand can be told
	maxTallies  = 1024             // maximum number of keys of one tracker
	owedRatio   = 0.3              // ratio of the share of requests started to that of all requests, below which a key is owed a slot
	overuseStep = 0.5              // what a caller used beyond its usual demand is ranked in steps of this ratio
)

// tally counts the requests of one class, one priority or one caller, with exponential decay.
type tally struct {
	at      time.Time // time up to which the numbers below have decayed
	since   time.Time // time from which usual was counted
	offered float64   // requests offered within the short memory
	started float64   // requests started within the short memory
	used    float64   // work started within the short memory, in seconds
	usual   float64   // work offered within the long memory, in seconds
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
	t.offered++
	t.usual += work
}

func (t *tally) recordStart(now time.Time, work float64) {
	t.decay(now)
	t.started++
	t.used += work
}

// owed reports whether the share of requests that were started is far below that of all requests.
func (t *tally) owed(now time.Time, all *tally) bool {
	t.decay(now)
	all.decay(now)
	return t.started*all.offered < owedRatio*all.started*t.offered
}

// overuse returns by how many steps the work that was started exceeds the usual demand and one request of the given work.
func (t *tally) overuse(now time.Time, work float64) int {
	t.decay(now)
	age := max(minTallyAge, now.Sub(t.since))
	counted := float64(longMemory) * (1 - math.Exp(-float64(age)/float64(longMemory)))
	usual := t.usual * float64(shortMemory) / counted
	return int(t.used / (usual + work) / overuseStep)
}

// tracker holds the tallies of up to maxTallies keys. The zero value is empty.
type tracker[K comparable] struct {
	tallies   map[K]*tally
	startedAt time.Time
}

// get returns the tally of a key. If there is no room for a new one, the one that was not used for longest is dropped.
func (s *tracker[K]) get(now time.Time, key K) *tally {
	if s.tallies == nil {
		s.tallies, s.startedAt = make(map[K]*tally), now
	}
	if t := s.tallies[key]; t != nil {
		return t
	}
	if len(s.tallies) >= maxTallies {
		s.evict(now)
	}
	t := &tally{at: now, since: s.startedAt}
	s.tallies[key] = t
	return t
}

// evict drops the tallies that have decayed, or the oldest one if there are none.
func (s *tracker[K]) evict(now time.Time) {
	var oldest K
	oldestAt := now
	for key, t := range s.tallies {
		if now.Sub(t.at) > longMemory {
			delete(s.tallies, key)
			continue
		}
		if !t.at.After(oldestAt) {
			oldest, oldestAt = key, t.at
		}
	}
	if len(s.tallies) >= maxTallies {
		delete(s.tallies, oldest)
	}
}
