package rollout_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/rollout"
	"github.com/matryer/is"
)

// TestKeysAreForAVersionThatMayBeMissing guards against a key being taken for a needless one by a node that can't know it yet, and against keys that
// are needless being refused for ever.
func TestKeysAreForAVersionThatMayBeMissing(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name       string
		keys       []int // times in milliseconds, of which the last one is judged
		knownUntil int   // until when the node knows all versions
		want       bool
	}{
		{"first key, known before", []int{2000}, 1500, false},
		{"second key, known before the first", []int{2000, 3000}, 1500, false},
		{"second key, known after the first", []int{2000, 4000}, 2500, true},
		{"known until the first", []int{2000, 4000}, 2000, true},
		{"keys go on", []int{2000, 9000, 18_000, 27_000}, 2500, true},
		{"first key after a pause", []int{2000, 15_000}, 14_000, false},
		{"second key after a pause", []int{2000, 15_000, 17_000}, 15_500, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var w rollout.KeyWatch
			var f rollout.Freshness
			f.Advance(at(tt.knownUntil))
			got := false
			for _, ms := range tt.keys {
				got = f.Covers(w.Seen(at(ms)))
			}
			is.Equal(got, tt.want)
		})
	}
}
