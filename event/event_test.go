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
			cause := a.Now(now)
			b.Observe(cause)
			effect := b.Now(now.Add(skew))
			if effect <= cause {
				t.Fatalf("the effect %d sorts before its cause %d", effect, cause)
			}
			a.Observe(effect)
		}
	})
}

func TestRingKeepsNewestEvents(t *testing.T) {
	is := is.New(t)
	r := event.NewRing("n", &event.Clock{}, 3)
	for _, u := range []string{"a", "b", "c", "d"} {
		r.Add(event.Event{Kind: event.Eject, Upstream: u})
	}
	events := r.Events(event.Filter{})
	is.Equal(len(events), 3)
	is.Equal(events[0].Upstream, "b")
	is.Equal(len(r.Events(event.Filter{Upstream: "d"})), 1)
	is.Equal(len(r.Events(event.Filter{Kind: event.Trial})), 0)
}
