package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTrackerIsBounded guards against memory that grows with the number of callers ever seen.
func TestTrackerIsBounded(t *testing.T) {
	is := is.New(t)
	var s tracker[int]
	now := time.Unix(0, 0)
	for caller := range 5000 {
		now = now.Add(time.Millisecond)
		s.get(now, caller).recordOffer(now, 1)
		s.get(now, 0).recordOffer(now, 1)
	}
	is.Equal(len(s.tallies), maxTallies)
	is.True(s.tallies[0] != nil) // the one in use stays
	is.True(s.get(now, 0).offered > 1000)
}

// TestTrackerDropsTheLeastRecentlyUsed guards against the tally of a busy caller being dropped, with what is known of its usual demand, because another
// caller was ranked since. It also guards against a choice by the order of a map, which differs from run to run.
func TestTrackerDropsTheLeastRecentlyUsed(t *testing.T) {
	is := is.New(t)
	var shares callerShares
	var all tally
	now := time.Unix(1000, 0)
	name := func(i int) string { return fmt.Sprintf("c%d", i) }
	for i := range maxTallies {
		shares.get(now, name(i)).recordOffer(now, 1)
		now = now.Add(time.Millisecond)
	}
	shares.get(now, name(0)).recordOffer(now, 1)
	now = now.Add(time.Second)
	shares.overuse(now, name(5), 1, &all) // brings all tallies up to date
	shares.get(now, "new")
	shares.get(now, "newer")
	is.Equal(len(shares.tallies), maxTallies)
	for _, dropped := range []int{1, 2} {
		is.True(shares.tallies[name(dropped)] == nil)
	}
	is.True(shares.tallies[name(0)] != nil)
	is.True(shares.tallies["new"] != nil)
}
