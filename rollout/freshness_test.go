package rollout_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/rollout"
	"github.com/matryer/is"
)

// TestFreshness guards against a node that takes its version for the newest although it has confirmed that too long ago, or never.
func TestFreshness(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	const limit = 3 * time.Second
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name     string
		advances []int // in milliseconds after the start
		now      int
		want     bool
	}{
		{"never confirmed", nil, 0, false},
		{"just now", []int{1000}, 1000, true},
		{"at the limit", []int{1000}, 4000, true},
		{"beyond the limit", []int{1000}, 4001, false},
		{"confirmed again", []int{1000, 3000}, 6000, true},
		{"an older confirmation arrives late", []int{3000, 1000}, 6000, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var f rollout.Freshness
			for _, ms := range tt.advances {
				f.Advance(at(ms))
			}
			is.Equal(f.Within(at(tt.now), limit), tt.want)
		})
	}
}

// TestReaderKnowsHowFreshItsVersionIs guards against a refusal of a key by a node whose version may be outdated: what a read or another
// node confirmed tells of an earlier time than that at which the answer arrived.
func TestReaderKnowsHowFreshItsVersionIs(t *testing.T) {
	const apply = 2 * time.Second
	start := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name   string
		events func(r *rollout.Reader)
		until  int // time in milliseconds until which the newest version is known; 0 for never
	}{
		{"started", func(*rollout.Reader) {}, 0},
		{"version of another node", func(r *rollout.Reader) { r.VersionKnown() }, 0},
		{"read that brought news", func(r *rollout.Reader) {
			r.Sent(at(1000), 600*time.Millisecond)
			r.Answered(at(1700), true)
		}, 1000},
		{"read that was held to its end", func(r *rollout.Reader) {
			r.Sent(at(1000), 600*time.Millisecond)
			r.Answered(at(1700), false)
		}, 1600},
		{"read that failed after one that didn't", func(r *rollout.Reader) {
			r.Sent(at(1000), 0)
			r.Answered(at(1100), false)
			r.Sent(at(1200), 0)
			r.Failed()
		}, 1000},
		{"confirmed by a reader", func(r *rollout.Reader) { r.Confirmed(at(1000), true) }, 40}, // less the age of what a reader confirms
		{"not confirmed", func(r *rollout.Reader) { r.Confirmed(at(1000), false) }, 0},
		{"reader has a newer version", func(r *rollout.Reader) { r.Behind(at(1000)) }, 0},
		{"reader doesn't answer", func(r *rollout.Reader) { r.Unanswered(at(1000)) }, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := rollout.NewReader(start, "n1", apply, rand.New(rand.NewPCG(1, 1)))
			tt.events(r)
			is.Equal(r.Freshness().Within(at(tt.until+2000), apply), tt.until > 0)
			is.True(!r.Freshness().Within(at(tt.until+2001), apply))
		})
	}
}
