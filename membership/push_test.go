package membership_test

import (
	"fmt"
	"math/bits"
	"math/rand/v2"
	"testing"

	"github.com/jasminevane/jasminevane/membership"
	"github.com/matryer/is"
)

// newRing returns the engines of n nodes of one data centre that know each other.
func newRing(n int) map[string]*membership.Engine {
	var members []membership.Member
	for i := range n {
		name := fmt.Sprintf("node-%03d", i)
		members = append(members, membership.Member{Name: name, Incarnation: 1, Seq: 1, Status: membership.Alive, Region: "r", DataCentre: "dc", Address: name})
	}
	ring := make(map[string]*membership.Engine, n)
	for i, m := range members {
		e := membership.New(epoch, m, nil, rand.New(rand.NewPCG(uint64(i), 1)))
		e.ReceiveHeartbeat(epoch, membership.Message{Name: members[(i+1)%n].Name, Incarnation: 1, Members: members})
		ring[m.Name] = e
	}
	return ring
}

// TestNewsReachesALargeRingInFewSteps guards against versions that come late at some nodes of a large data centre, since each step takes a push and
// a fetch.
func TestNewsReachesALargeRingInFewSteps(t *testing.T) {
	for _, nodes := range []int{1, 2, 4, 15, 25, 75, 225} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			is := is.New(t)
			limit := 1 + bits.Len(uint(nodes)) // steps of a push that doubles what it reaches, and one more
			ring := newRing(nodes)
			reached := map[string]bool{"node-000": true}
			news, steps := []string{"node-000"}, 0
			for ; len(reached) < nodes && len(news) > 0; steps++ {
				var next []string
				for _, name := range news {
					for _, to := range ring[name].PushTargets() {
						if !reached[to.Name] {
							reached[to.Name] = true
							next = append(next, to.Name)
						}
					}
				}
				news = next
			}
			is.Equal(len(reached), nodes)
			is.True(steps <= limit)
		})
	}
}
