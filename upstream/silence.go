package upstream

import (
	"time"

	"github.com/jasminevane/jasminevane/outlier"
)

// minConvertedRatio is the ratio from which the silence of a request becomes lasting evidence once a later request was answered.
const minConvertedRatio = 1.5

// inFlight is a request that was sent to the upstream and has not ended.
type inFlight struct {
	start          time.Time
	typicalLatency time.Duration
	responded      bool // the head of the response has arrived
	counted        bool // its silence is part of the estimate already
	body           *sentBody
}

// silent reports whether the request's silence is evidence that the estimate does not contain yet.
func (w *inFlight) silent() bool { return !w.responded && !w.counted }

// silence returns the silence of a request at now.
func (g *Gate) silence(now time.Time, w *inFlight) outlier.Silence {
	start := w.start.Add(w.body.awaited(now))
	due := start.Add(w.typicalLatency)
	return outlier.Silence{Age: now.Sub(start), Typical: w.typicalLatency, Overtaken: g.lastHeard.After(due)}
}

// suspicion returns the probability that the upstream is unhealthy, from the results of its requests and from the silence of those
// in flight. The silence of an upstream that warms up is no sign of a fault.
func (g *Gate) suspicion(now time.Time) float64 {
	suspicion := g.estimator.Suspicion(now)
	if g.announcement.State == Warming {
		return suspicion
	}
	var silences []outlier.Silence
	first := now
	for _, w := range g.inFlight {
		if w.silent() && !g.pauses.affect(w.start, now) {
			silences = append(silences, g.silence(now, w))
			first = earlier(first, w.start)
		}
	}
	if len(silences) == 0 {
		return suspicion
	}
	return outlier.Combine(suspicion, outlier.SilenceRatio(silences, g.unheard(now, first)))
}

// unheard returns the time since the last response, or since the given start of a request if that was later.
func (g *Gate) unheard(now, start time.Time) time.Duration {
	if g.lastHeard.After(start) {
		start = g.lastHeard
	}
	return now.Sub(start)
}

// recordHead records that the head of a response to the request has arrived.
func (g *Gate) recordHead(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastHeard = time.Now()
	if w := g.inFlight[id]; w != nil {
		w.responded = true
	}
}

// recordSilence makes the silence of a request that ends without a response part of the estimate.
func (g *Gate) recordSilence(now time.Time, w *inFlight) {
	if !w.silent() || g.announcement.State == Warming || g.pauses.affect(w.start, now) {
		return
	}
	w.counted = true
	ratio := outlier.SilenceRatio([]outlier.Silence{g.silence(now, w)}, g.unheard(now, w.start))
	g.estimator.AddRatio(now, ratio)
}

// recordOvertaken makes the silence of the requests that started before the given time part of the estimate: a request that started
// later was answered, so that they tell of the past.
func (g *Gate) recordOvertaken(now, start time.Time) {
	for _, w := range g.inFlight {
		if w.silent() && w.start.Before(start) && g.silence(now, w).Ratio() >= minConvertedRatio {
			g.recordSilence(now, w)
		}
	}
}
