package node

import (
	"time"

	"github.com/go-kit/log/level"
)

// minStall is the shortest stall that is reported.
const minStall = 300 * time.Millisecond

// stallDetector notices that the process did not run for some time, because it was suspended or got no processor. It expects a check each
// gateSweepInterval.
type stallDetector struct{ lastCheck time.Time }

// check returns for how long the process did not run before now, or 0 if that is less than minStall.
func (d *stallDetector) check(now time.Time) time.Duration {
	last := d.lastCheck
	d.lastCheck = now
	if last.IsZero() {
		return 0
	}
	stall := now.Sub(last) - gateSweepInterval
	if stall < minStall {
		return 0
	}
	return stall
}

// reportStall logs that the process did not run for some time before now.
func (n *Node) reportStall(now time.Time) {
	stall := n.stalls.check(now)
	if stall == 0 {
		return
	}
	n.metrics.stalledSeconds.Add(stall.Seconds())
	_ = level.Warn(n.logger).Log("msg", "process stalled", "for", stall)
}
