package upstream_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
	"pgregory.net/rapid"
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

// TestClockThatJumpedBackHidesNoDeparture guards against the draining of a server that is acknowledged and has no effect, since the server started
// again under its id just after the time of day of its instance had jumped back.
func TestClockThatJumpedBackHidesNoDeparture(t *testing.T) {
	is := is.New(t)
	var r upstream.Roster
	start := time.Unix(0, 0)
	apply := func(at time.Duration, incarnation, seq uint64, s upstream.State) error {
		_, err := r.Apply(start.Add(at), upstream.Announcement{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1, Incarnation: incarnation, Seq: seq, State: s})
		return err
	}
	current := func() upstream.Announcement {
		a, _ := r.Current("a")
		return a
	}
	var stale *upstream.StaleError
	var unsettled *upstream.UnsettledError
	is.NoErr(apply(0, 9000, 1, upstream.Ready))
	is.True(errors.As(apply(500*time.Millisecond, 8000, 1, upstream.Ready), &stale))
	is.True(errors.As(apply(600*time.Millisecond, 8000, 2, upstream.Draining), &unsettled)) // isn't acknowledged
	is.NoErr(apply(1600*time.Millisecond, 8000, 3, upstream.Draining))
	is.Equal(current().State, upstream.Draining)
	is.Equal(current().Incarnation, uint64(8000))
	is.True(errors.As(apply(1700*time.Millisecond, 9000, 2, upstream.Ready), &stale)) // delayed
	is.Equal(current().State, upstream.Draining)
	is.NoErr(r.Depart(start.Add(2*time.Second), upstream.Departure{ID: "a", Incarnation: 8000}))
	is.True(errors.As(apply(3*time.Second, 9000, 3, upstream.Ready), &stale))
	is.True(errors.As(apply(4*time.Second, 8000, 4, upstream.Ready), &stale))
}

// TestLateAnnouncementsTakeNoPlace guards against delayed announcements of an ended incarnation that take the place of the live one.
func TestLateAnnouncementsTakeNoPlace(t *testing.T) {
	is := is.New(t)
	var r upstream.Roster
	now := time.Unix(0, 0)
	for seq := uint64(1); seq < 10; seq++ {
		now = now.Add(time.Second)
		_, err := r.Apply(now, upstream.Announcement{ID: "a", Address: "127.0.0.1:1", Incarnation: 9000, Seq: seq, State: upstream.Ready})
		is.NoErr(err)
		_, err = r.Apply(now, upstream.Announcement{ID: "a", Address: "127.0.0.1:1", Incarnation: 8000, Seq: 50 + seq, State: upstream.Ready})
		is.True(err != nil)
	}
}

// TestLivesUnderJumpingClocks draws lives of a server whose clock jumps either way between and within them, and delayed announcements of earlier lives. It
// guards against a life that isn't the current one within some seconds, and against an acknowledged departure without effect.
func TestLivesUnderJumpingClocks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r upstream.Roster
		steady, offset := 100_000, 0 // milliseconds
		seq := uint64(0)
		var former []upstream.Announcement
		var life upstream.Announcement
		announce := func(a upstream.Announcement) error {
			_, err := r.Apply(time.UnixMilli(int64(steady)), a)
			return err
		}
		send := func(s upstream.State) error {
			seq++
			life.Seq, life.State = seq, s
			return announce(life)
		}
		lives := rapid.IntRange(1, 5).Draw(t, "lives")
		for i := range lives {
			offset = rapid.IntRange(-6000, 6000).Draw(t, "clock")
			if i > 0 {
				life.Seq += uint64(rapid.IntRange(1, 3).Draw(t, "delayed"))
				former = append(former, life)
			}
			seq = 0
			life = upstream.Announcement{ID: "a", Service: "s", Address: "127.0.0.1:1", Slots: 1, Incarnation: uint64(steady + offset)}
			for range rapid.IntRange(3, 8).Draw(t, "announcements") {
				_ = send(upstream.Ready) // may be refused at first
				steady += 1000
				if len(former) > 0 && rapid.Bool().Draw(t, "late") {
					_ = announce(former[rapid.IntRange(0, len(former)-1).Draw(t, "of")])
				}
			}
			if _, live := r.Current("a"); !live {
				t.Fatal("the upstream isn't live")
			}
			steady += rapid.IntRange(0, 3000).Draw(t, "down")
		}
		for repeats := 0; send(upstream.Draining) != nil; repeats++ {
			if repeats > 3 {
				t.Fatal("the departure isn't acknowledged")
			}
			steady += 1000
		}
		for _, a := range former {
			steady += 300
			_ = announce(a)
			if got, live := r.Current("a"); live && got.State != upstream.Draining {
				t.Fatalf("incarnation %d is ready after the departure of %d was acknowledged", got.Incarnation, life.Incarnation)
			}
		}
	})
}
