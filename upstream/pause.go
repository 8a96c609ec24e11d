package upstream

import "time"

// maxRunGap is the longest time between two calls of RecordRunning after which the node has not run for some time: it was suspended or starved.
const maxRunGap = 500 * time.Millisecond

// pauses tells which requests ran while the node did not. What becomes of them is no evidence of the health of the upstream. The zero value
// knows of no pause.
type pauses struct {
	runningAt time.Time // last time at which the node is known to run
	resumedAt time.Time // end of the last pause
}

// recordRunning records that the node runs at now.
func (p *pauses) recordRunning(now time.Time) {
	if p.interrupted(now) {
		p.resumedAt = now
	}
	p.runningAt = now
}

// interrupted reports whether the node has not run for some time before now.
func (p *pauses) interrupted(now time.Time) bool {
	return !p.runningAt.IsZero() && now.Sub(p.runningAt) > maxRunGap
}

// affect reports whether a request that started at start and still ran at now was in flight during a pause.
func (p *pauses) affect(start, now time.Time) bool {
	return start.Before(p.resumedAt) || p.interrupted(now) && start.Before(p.runningAt.Add(maxRunGap))
}
