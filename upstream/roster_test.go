package upstream_test

import (
	"errors"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

func TestRosterRejectsEndedIncarnations(t *testing.T) {
	type step struct {
		end   string // the upstream to remove; empty for an announcement
		final bool
		a     upstream.Announcement
		ok    bool
	}
	announce := func(id string, incarnation, seq uint64, s upstream.State) upstream.Announcement {
		return upstream.Announcement{ID: id, Service: "s", Address: "127.0.0.1:1", Slots: 1, Incarnation: incarnation, Seq: seq, State: s}
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"a delayed announcement after the end", []step{
			{a: announce("a", 1, 5, upstream.Ready), ok: true},
			{end: "a", final: true},
			{a: announce("a", 1, 4, upstream.Ready), ok: false},
			{a: announce("a", 1, 6, upstream.Ready), ok: false},
		}},
		{"a start under the same id", []step{
			{a: announce("a", 1, 5, upstream.Ready), ok: true},
			{end: "a", final: true},
			{a: announce("a", 2, 0, upstream.Ready), ok: true},
			{a: announce("a", 1, 9, upstream.Ready), ok: false},
		}},
		{"a silence that ends", []step{
			{a: announce("a", 1, 5, upstream.Ready), ok: true},
			{end: "a"},
			{a: announce("a", 1, 5, upstream.Ready), ok: true},
		}},
		{"another one at the address", []step{
			{a: announce("a", 1, 5, upstream.Ready), ok: true},
			{a: announce("b", 2, 0, upstream.Ready), ok: true},
			{a: announce("a", 1, 6, upstream.Ready), ok: false},
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

func TestRosterKeepsDrainingIncarnation(t *testing.T) {
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
