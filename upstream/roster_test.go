package upstream_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

func TestRosterRejectsEndedIncarnations(t *testing.T) {
	type step struct {
		end    string // the upstream that falls silent; empty for an announcement or a departure
		depart upstream.Departure
		a      upstream.Announcement
		ok     bool
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
			{depart: upstream.Departure{ID: "a"}, ok: true},
			{a: announce("a", 1, 4, upstream.Ready), ok: false},
			{a: announce("a", 1, 6, upstream.Ready), ok: false},
		}},
		{"a start under the same id", []step{
			{a: announce("a", 1, 5, upstream.Ready), ok: true},
			{depart: upstream.Departure{ID: "a"}, ok: true},
			{a: announce("a", 2, 0, upstream.Ready), ok: true},
			{a: announce("a", 1, 9, upstream.Ready), ok: false},
		}},
		{"a silence that ends", []step{
			{a: announce("a", 1, 5, upstream.Ready), ok: true},
			{end: "a"},
			{a: announce("a", 1, 5, upstream.Ready), ok: true},
		}},
		{"a departure before any announcement", []step{
			{depart: upstream.Departure{ID: "a", NewestPossible: 7}, ok: true},
			{a: announce("a", 1, 5, upstream.Ready), ok: false},
			{a: announce("a", 7, 5, upstream.Ready), ok: false},
			{a: announce("a", 8, 1, upstream.Ready), ok: true},
		}},
		{"a departure that names its incarnation", []step{
			{depart: upstream.Departure{ID: "a", Incarnation: 3, NewestPossible: 7}, ok: true},
			{a: announce("a", 3, 5, upstream.Ready), ok: false},
			{a: announce("a", 4, 1, upstream.Ready), ok: true},
		}},
		{"a late departure of an earlier incarnation", []step{
			{a: announce("a", 2, 1, upstream.Ready), ok: true},
			{depart: upstream.Departure{ID: "a", Incarnation: 1}, ok: false},
			{a: announce("a", 2, 2, upstream.Ready), ok: true},
		}},
		{"a departure of a later incarnation than the known one", []step{
			{a: announce("a", 1, 5, upstream.Ready), ok: true},
			{depart: upstream.Departure{ID: "a", NewestPossible: 9}, ok: true},
			{a: announce("a", 8, 1, upstream.Ready), ok: false},
		}},
		{"a departure after a silence", []step{
			{a: announce("a", 1, 5, upstream.Ready), ok: true},
			{end: "a"},
			{depart: upstream.Departure{ID: "a"}, ok: true},
			{a: announce("a", 1, 6, upstream.Ready), ok: false},
		}},
		{"draining beside a later one at the address", []step{
			{a: announce("b", 2, 1, upstream.Ready), ok: true},
			{a: announce("a", 1, 6, upstream.Draining), ok: false},
			{end: "b"},
			{a: announce("a", 1, 5, upstream.Ready), ok: false},
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
					r.Expire(now, s.end)
					continue
				}
				var err error
				if s.depart.ID != "" {
					err = r.Depart(now, s.depart)
				} else {
					_, err = r.Apply(now, s.a)
				}
				var stale *upstream.StaleError
				is.Equal(err == nil, s.ok)
				is.Equal(errors.As(err, &stale), !s.ok)
			}
		})
	}
}

func TestRosterRefusesDeparturesThatItCannotIdentify(t *testing.T) {
	is := is.New(t)
	var r upstream.Roster
	var unidentified *upstream.UnidentifiedError
	err := r.Depart(time.Unix(0, 0), upstream.Departure{ID: "a"})
	is.True(errors.As(err, &unidentified))
}

func TestRosterKeepsDrainingIncarnation(t *testing.T) {
	announce := func(seq uint64, s upstream.State) upstream.Announcement {
		return upstream.Announcement{ID: "a", Address: "127.0.0.1:1", Incarnation: 1, Seq: seq, State: s}
	}
	tests := []struct {
		name  string
		steps []upstream.Announcement // one of seq 0 stands for a silence
	}{
		{"in order", []upstream.Announcement{announce(1, upstream.Draining), announce(2, upstream.Ready)}},
		{"after a silence", []upstream.Announcement{announce(1, upstream.Draining), {}, announce(2, upstream.Ready)}},
		{"the draining one comes late", []upstream.Announcement{announce(2, upstream.Ready), announce(1, upstream.Draining), announce(3, upstream.Ready)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var r upstream.Roster
			now := time.Unix(0, 0)
			for _, a := range tt.steps {
				if a.Seq == 0 {
					r.Expire(now, "a")
					continue
				}
				_, err := r.Apply(now, a)
				is.NoErr(err)
			}
			got, _ := r.Current("a")
			is.Equal(got.State, upstream.Draining)
		})
	}
}

func TestRosterKeepsTheDepartureOfAnEarlierIncarnation(t *testing.T) {
	is := is.New(t)
	var r upstream.Roster
	now := time.Unix(0, 0)
	is.NoErr(r.Depart(now, upstream.Departure{ID: "a", Incarnation: 3}))
	_, err := r.Apply(now, upstream.Announcement{ID: "a", Address: "127.0.0.1:1", Incarnation: 4, Seq: 1, State: upstream.Ready})
	is.NoErr(err)
	is.Equal(r.Departures(now), []upstream.Departure{{ID: "a", Incarnation: 3}})
}

// TestDrainingWithoutRequestsChangesNoOther guards against an announcement of another writer taking the place of an upstream that serves, or
// crowding out the departures that the node must keep.
func TestDrainingWithoutRequestsChangesNoOther(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_000_000, 0)
	announce := func(id, service string, incarnation, seq uint64, s upstream.State) upstream.Announcement {
		return upstream.Announcement{ID: id, Service: service, Address: "127.0.0.1:1", Slots: 1, Incarnation: incarnation, Seq: seq, State: s}
	}
	var stale *upstream.StaleError
	var r upstream.Roster
	_, err := r.Apply(now, announce("left", "s", 1, 1, upstream.Ready))
	is.NoErr(err)
	is.NoErr(r.Depart(now, upstream.Departure{ID: "left", Incarnation: 1}))
	_, err = r.Apply(now, announce("live", "s", 2, 1, upstream.Ready))
	is.NoErr(err)

	is.True(errors.As(r.RecordDraining(now, announce("live", "x", 9, 9, upstream.Draining)), &stale))
	is.True(errors.As(r.RecordDraining(now, announce("left", "x", 9, 9, upstream.Draining)), &stale))
	for i := range 1000 {
		_ = r.RecordDraining(now, announce(fmt.Sprint("stray-", i), "x", 9, 9, upstream.Draining))
	}
	a, ok := r.Current("live")
	is.True(ok)
	is.Equal(a, announce("live", "s", 2, 1, upstream.Ready))
	later := now.Add(time.Second)
	is.NoErr(r.Depart(later, upstream.Departure{ID: "left-later", Incarnation: 1}))
	is.Equal(r.Departures(later), []upstream.Departure{{ID: "left", Incarnation: 1}, {ID: "left-later", Incarnation: 1}})
	_, err = r.Apply(now, announce("left", "s", 1, 2, upstream.Ready))
	is.True(errors.As(err, &stale)) // it is still known to have left
	_, err = r.Apply(now, announce("live", "s", 2, 2, upstream.Ready))
	is.NoErr(err)
}

// TestDrainingWithoutRequestsHolds guards against an upstream that drained while it got no requests being ready again.
func TestDrainingWithoutRequestsHolds(t *testing.T) {
	announce := func(seq uint64, s upstream.State) upstream.Announcement {
		return upstream.Announcement{ID: "u", Service: "s", Address: "127.0.0.1:1", Slots: 1, Incarnation: 5, Seq: seq, State: s}
	}
	tests := []struct {
		name  string
		known bool // it was live before and fell silent
	}{
		{"unknown before", false},
		{"silent before", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_000_000, 0)
			var r upstream.Roster
			if tt.known {
				_, err := r.Apply(now, announce(1, upstream.Ready))
				is.NoErr(err)
				r.Expire(now, "u")
			}
			is.NoErr(r.RecordDraining(now, announce(3, upstream.Draining)))
			_, err := r.Apply(now, announce(4, upstream.Ready))
			is.NoErr(err)
			a, ok := r.Current("u")
			is.True(ok)
			is.Equal(a.State, upstream.Draining)
		})
	}
}
