package stream_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/stream"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var limits = stream.Limits{Total: 1000, Hard: 1500, MinStall: time.Second}

// TestStreamsThatAreReadGoOn guards against a stream being ended whose reader takes what is sent, or while the node is within its
// limits, and against limits that don't hold once readers are stalled.
func TestStreamsThatAreReadGoOn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := stream.NewBudget(limits)
		now := time.Unix(1000, 0)
		type state struct {
			bytes   int64
			stalled time.Time
		}
		open := make(map[stream.ID]*state)
		held := func() (n int64) {
			for _, s := range open {
				n += s.bytes
			}
			return n
		}
		pick := func() stream.ID {
			return stream.ID(rapid.IntRange(1, 40).Draw(t, "id"))
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				s := &state{bytes: rapid.Int64Range(1, 200).Draw(t, "bytes")}
				open[b.Open(s.bytes)] = s
			case 1:
				id := pick()
				b.Stall(now, id)
				if s := open[id]; s != nil {
					s.stalled = now
				}
			case 2:
				id := pick()
				b.Progress(id)
				if s := open[id]; s != nil {
					s.stalled = time.Time{}
				}
			case 3:
				id := pick()
				b.Close(id)
				delete(open, id)
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			}
			ended, next := b.End(now)
			for _, id := range ended {
				s := open[id]
				over := held() > limits.Hard || now.Sub(s.stalled) >= limits.MinStall && held() > limits.Total
				if s.stalled.IsZero() || !over {
					t.Fatalf("stream %d is ended, stalled for %v, with %d bytes held", id, now.Sub(s.stalled), held())
				}
				delete(open, id)
			}
			if b.Held() != held() {
				t.Fatalf("%d bytes are held, want %d", b.Held(), held())
			}
			exceeded := held() > limits.Total
			if exceeded == next.IsZero() || exceeded && !next.After(now) {
				t.Fatalf("next look at %v, now %v, exceeded %v", next, now, exceeded)
			}
			for id, s := range open {
				over := held() > limits.Total
				if !s.stalled.IsZero() && (held() > limits.Hard || over && now.Sub(s.stalled) >= limits.MinStall) {
					t.Fatalf("stream %d is stalled for %v and goes on with %d bytes held", id, now.Sub(s.stalled), held())
				}
			}
		}
	})
}

// TestLongestStalledIsEndedFirst guards against a reader that has just stopped being given up for one that reads nothing at all.
func TestLongestStalledIsEndedFirst(t *testing.T) {
	is := is.New(t)
	b := stream.NewBudget(limits)
	now := time.Unix(1000, 0)
	first, second, third := b.Open(300), b.Open(300), b.Open(300)
	b.Stall(now.Add(100*time.Millisecond), first)
	b.Stall(now, second)
	fourth := b.Open(300)
	ended, next := b.End(now.Add(500 * time.Millisecond))
	is.Equal(len(ended), 0)
	is.Equal(next, now.Add(time.Second))
	ended, next = b.End(next)
	is.Equal(ended, []stream.ID{second})
	is.True(next.IsZero())
	b.Close(first)
	b.Close(third)
	b.Close(fourth)
	is.Equal(b.Held(), int64(0))
}
