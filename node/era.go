package node

import (
	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/pkg/errors"
)

// eraStream is the stream name under which nodes exchange the newest era of the log service that they know. Only few nodes read the log, and
// the others must learn that what they wrote may be lost.
const eraStream = "era"

// recordEra counts and logs that the log service was restored from a copy.
func (n *Node) recordEra(from, to uint64) {
	n.metrics.eraChanges.Inc()
	_ = level.Warn(n.logger).Log("msg", "log service restored from a copy", "era", to, "before", from)
}

// era returns the newest era of the log service that this node knows; the caller holds n.mu.
func (n *Node) era() uint64 {
	if n.protocols.hasConfigSource() {
		return n.protocols.logClient.Era()
	}
	return n.logEra
}

// eraOf returns the era that a node has told with its positions.
func eraOf(positions []peer.Position) uint64 {
	for _, p := range positions {
		if p.Stream == eraStream {
			return uint64(p.Next)
		}
	}
	return 0
}

// withEra adds the era to the positions, unless the log service was never restored; the caller holds n.mu.
func (n *Node) withEra(positions []peer.Position) []peer.Position {
	if era := n.era(); era > 0 {
		positions = append(positions, peer.Position{Stream: eraStream, Next: platform.Offset(era)})
	}
	return positions
}

// observeEra notes the era that another node has told with its positions. It reports whether offsets and entries of that node are of this
// node's era; with the platform's protocols, nodes exchange none.
func (n *Node) observeEra(positions []peer.Position) bool {
	era := eraOf(positions)
	if n.protocols.hasConfigSource() {
		n.protocols.logClient.ObserveEra(era)
		return true
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if era > n.logEra {
		n.enterEra(era)
	}
	return era == n.logEra
}

// enterEra drops all offsets of earlier eras and reads the streams from their beginning. What this node knows goes into the log as soon as
// it is a relay. The caller holds n.mu.
func (n *Node) enterEra(era uint64) {
	n.recordEra(n.logEra, era)
	n.logEra = era
	n.peerPositions = make(map[string][]peer.Position)
	for stream := range n.tailCaches {
		n.rewind(stream)
		n.owedSnapshots[stream] = true
	}
}

// rewind reads a stream from its beginning; the caller holds n.mu.
func (n *Node) rewind(stream string) {
	n.tailCaches[stream].Reset(0)
	if stream == ownership.Stream {
		n.owners.Rewind()
		return
	}
	n.rollout.Rewind()
}

// checkPage handles the era of the answer to a read of a stream at an offset that was known in the given era. It reports whether the page can
// be applied.
func (n *Node) checkPage(stream string, offset platform.Offset, era uint64, page platform.Page, err error) (bool, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case page.Era > n.logEra:
		n.enterEra(page.Era)
		return false, nil
	case era != n.logEra:
		return false, err // another stream or node has told of a later era
	case errors.Is(err, platform.ErrGap) && offset > 0:
		n.rewind(stream)
		return false, nil
	case err == nil && page.Era < n.logEra:
		return false, errors.Errorf("read of %s: answer of era %d, this node is in era %d", stream, page.Era, n.logEra)
	}
	return err == nil, err
}
