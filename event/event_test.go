package event_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/event"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestClockOrdersEffectAfterCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Two processes with skewed physical clocks exchange messages; an event after a message must sort after the sending.
		var a, b event.Clock
		now := time.UnixMilli(1_000_000)
		skew := time.Duration(rapid.IntRange(-5000, 5000).Draw(t, "skew")) * time.Millisecond
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "ms")) * time.Millisecond)
			sent := a.Now(now)
			b.Observe(sent)
			got := b.Now(now.Add(skew))
			if got <= sent {
				t.Fatalf("the effect %d sorts before its cause %d", got, sent)
			}
			a.Observe(got)
		}
	})
}

func TestRingKeepsNewestEvents(t *testing.T) {
	is := is.New(t)
	r := event.NewRing("n", &event.Clock{}, 3)
	for _, u := range []string{"a", "b", "c", "d"} {
		r.Add(event.Event{Kind: event.Eject, Upstream: u})
	}
	got := r.Events(event.Filter{})
	is.Equal(len(got), 3)
	is.Equal(got[0].Upstream, "b")
	is.Equal(len(r.Events(event.Filter{Upstream: "d"})), 1)
	is.Equal(len(r.Events(event.Filter{Kind: event.Trial})), 0)
}
