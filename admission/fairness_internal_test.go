package admission

import (
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
