package node

import (
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/platform"
)

// versionRead is a read of the published versions that has ended.
type versionRead struct {
	from     platform.Offset // 0 for a read of the newest version
	hold     time.Duration   // how long the log service was allowed to hold it
	sentAt   time.Time       // by Node.bootTime
	versions int             // number of versions that it returned, invalid ones included
	err      error
}

// result returns the value of the metric's label for the read.
func (r versionRead) result() string {
	switch {
	case r.err != nil:
		return "failed"
	case r.versions > 0:
		return "news"
	}
	return "none"
}

// recordRead counts a read, and logs it unless it returned nothing.
func (n *Node) recordRead(r versionRead) {
	n.metrics.versionReads.WithLabelValues(r.result()).Inc()
	took := n.bootTime().Sub(r.sentAt)
	switch {
	case r.err != nil:
		_ = level.Warn(n.logger).Log("msg", "read failed", "from", r.from, "hold", r.hold, "took", took, "err", r.err)
	case r.versions > 0:
		_ = level.Info(n.logger).Log("msg", "read", "from", r.from, "hold", r.hold, "took", took, "versions", r.versions)
	}
}

// recordReadRepeated counts and logs that a read which has no answer is made once more.
func (n *Node) recordReadRepeated(r versionRead) {
	n.metrics.versionReads.WithLabelValues("repeated").Inc()
	_ = level.Info(n.logger).Log("msg", "read repeated", "from", r.from, "hold", r.hold, "after", n.bootTime().Sub(r.sentAt))
}
