package node

import (
	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/platform"
)

// eraStream is the stream name under which nodes exchange the newest era of the log service that they know. Only few nodes read the log, and
// the others must learn that what they wrote may be lost.
const eraStream = "era"

// recordEra counts and logs that the log service was restored from a copy.
func (n *Node) recordEra(from, to uint64) {
	n.metrics.eraChanges.Inc()
	_ = level.Warn(n.logger).Log("msg", "log service restored from a copy", "era", to, "before", from)
}

// eraPosition returns the position that tells other nodes the era; ok is false if the log service was never restored.
func (n *Node) eraPosition() (p peer.Position, ok bool) {
	era := n.protocols.logClient.Era()
	return peer.Position{Stream: eraStream, Next: platform.Offset(era)}, era > 0
}

// observeEra notes the era that another node has told with its positions.
func (n *Node) observeEra(positions []peer.Position) {
	if !n.protocols.hasConfigSource() {
		return
	}
	for _, p := range positions {
		if p.Stream == eraStream {
			n.protocols.logClient.ObserveEra(uint64(p.Next))
		}
	}
}
