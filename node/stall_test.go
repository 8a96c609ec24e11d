package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStallIsNoticedAndOrdinaryDelaysAreNot(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	var d stallDetector
	is.Equal(d.check(now), time.Duration(0)) // the first check
	now = now.Add(gateSweepInterval + minStall/2)
	is.Equal(d.check(now), time.Duration(0))
	now = now.Add(gateSweepInterval + 2*time.Second)
	is.Equal(d.check(now), 2*time.Second)
	now = now.Add(gateSweepInterval)
	is.Equal(d.check(now), time.Duration(0)) // a stall is reported once
}
