package upstream_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

func TestRosterKeepsEndedIncarnationsOut(t *testing.T) {
	type step struct {
		end   string // an upstream that ends; empty for an announcement
		final bool
		a     upstream.Announcement
		ok    bool
	}
	say := func(id string, born, seq uint64, s upstream.State) upstream.Announcement {
		return upstream.Announcement{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: 1, Incarnation: born, Seq: seq, State: s}
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"a delayed announcement after the end", []step{
			{a: say("a", 1, 5, upstream.Ready), ok: true},
			{end: "a", final: true},
			{a: say("a", 1, 4, upstream.Ready), ok: false},
			{a: say("a", 1, 6, upstream.Ready), ok: false},
		}},
		{"a start under the same id", []step{
			{a: say("a", 1, 5, upstream.Ready), ok: true},
			{end: "a", final: true},
			{a: say("a", 2, 0, upstream.Ready), ok: true},
			{a: say("a", 1, 9, upstream.Ready), ok: false},
		}},
		{"a silence that ends", []step{
			{a: say("a", 1, 5, upstream.Ready), ok: true},
			{end: "a"},
			{a: say("a", 1, 5, upstream.Ready), ok: true},
		}},
		{"another one at the address", []step{
			{a: say("a", 1, 5, upstream.Ready), ok: true},
			{a: say("b", 2, 0, upstream.Ready), ok: true},
			{a: say("a", 1, 6, upstream.Ready), ok: false},
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var r upstream.Roster
			now := time.Unix(0, 0)
			for _, s := range tt.steps {
				now = now.Add(time.Second)
				if s.end != "" {
					r.Remove(now, s.end, s.final)
					continue
				}
				_, err := r.Apply(now, s.a)
				var stale *upstream.StaleError
				is.Equal(err == nil, s.ok)
				is.Equal(errors.As(err, &stale), !s.ok)
			}
		})
	}
}

func TestRosterKeepsALeavingIncarnationLeaving(t *testing.T) {
	is := is.New(t)
	var r upstream.Roster
	now := time.Unix(0, 0)
	a := upstream.Announcement{ID: "a", Address: "127.0.0.1:1", Incarnation: 1, Seq: 1, State: upstream.Draining}
	_, err := r.Apply(now, a)
	is.NoErr(err)
	a.Seq, a.State = 2, upstream.Ready
	_, err = r.Apply(now, a)
	is.NoErr(err)
	got, _ := r.Current("a")
	is.Equal(got.State, upstream.Draining)
}
