package membership

import (
	"slices"
	"time"
)

// SetSeeds replaces the addresses of the seeds, through which the node joins the fleet.
func (e *Engine) SetSeeds(seeds []string) { e.seeds = slices.Clone(seeds) }

// contactSeed sends a heartbeat with this node's own record to a random seed at whose address no live node is known.
func (e *Engine) contactSeed(now time.Time) {
	if now.Before(e.nextJoin) {
		return
	}
	seeds := e.unknownSeeds()
	if len(seeds) == 0 {
		return
	}
	e.nextJoin = now.Add(joinInterval)
	msg := e.newMessage()
	msg.Members = []Member{e.self.Member}
	e.output.Heartbeats = append(e.output.Heartbeats, OutgoingHeartbeat{Address: seeds[e.rnd.IntN(len(seeds))], Message: msg})
}

// unknownSeeds returns the seeds at whose address no live node is known. Two groups of nodes that formed apart meet there.
func (e *Engine) unknownSeeds() []string {
	known := make(map[string]bool, len(e.index.sorted))
	for _, m := range e.index.sorted {
		if m.live() || m == e.self {
			known[m.Address] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(e.seeds), func(address string) bool { return known[address] })
}
