package routing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// maxSubset is the maximum number of upstreams of one service that a node routes to.
const maxSubset = 32

// tierQuotas holds the number of places in the subset that are reserved for the upstreams of each tier.
var tierQuotas = [tierCount]int{maxSubset / 2, maxSubset / 4, maxSubset / 4}

// candidate is an upstream of the service with its rank at this node.
type candidate struct {
	Upstream
	rank uint64
}

// candidates holds all upstreams of a service, the highest ranked first, so that a change costs no sorting.
type candidates struct {
	self   uint64 // hash of the name of the node
	ranked []candidate
	counts [tierCount]int
}

// rank returns a hash of the node and the upstream, so that different nodes rank the same upstreams differently.
func (c *candidates) rank(id string) uint64 { return mix(c.self ^ xxhash.Sum64String(id)) }

// mix spreads the bits of a hash (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// find returns the index of the upstream, or where to insert it, and whether it is there.
func (c *candidates) find(id string) (int, bool) {
	rank := c.rank(id)
	return slices.BinarySearchFunc(c.ranked, id, func(x candidate, id string) int {
		return cmp.Or(cmp.Compare(rank, x.rank), cmp.Compare(x.ID, id))
	})
}

// set adds or replaces an upstream and reports whether the choice of the subset may change.
func (c *candidates) set(u Upstream) bool {
	i, found := c.find(u.ID)
	if !found {
		c.ranked = slices.Insert(c.ranked, i, candidate{Upstream: u, rank: c.rank(u.ID)})
		c.counts[u.Tier]++
		return true
	}
	moved := c.ranked[i].Tier != u.Tier
	c.counts[c.ranked[i].Tier]--
	c.counts[u.Tier]++
	c.ranked[i].Upstream = u
	return moved
}

// remove removes an upstream and reports whether it was there.
func (c *candidates) remove(id string) bool {
	i, found := c.find(id)
	if found {
		c.counts[c.ranked[i].Tier]--
		c.ranked = slices.Delete(c.ranked, i, i+1)
	}
	return found
}

// subset returns at most maxSubset upstreams: the highest ranked of each tier up to the quota of the tier, then the highest ranked
// of the others.
func (c *candidates) subset() []Upstream {
	quota, open := tierQuotas, min(maxSubset, len(c.ranked))
	for tier := range quota {
		quota[tier] = min(quota[tier], c.counts[tier])
		open -= quota[tier]
	}
	selected := make([]Upstream, 0, maxSubset)
	for i := range c.ranked {
		u := &c.ranked[i].Upstream
		switch {
		case quota[u.Tier] > 0:
			quota[u.Tier]--
		case open > 0:
			open--
		default:
			continue
		}
		selected = append(selected, *u)
		if len(selected) == maxSubset {
			break
		}
	}
	return selected
}
