package upstream

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Limits of the tombstones, which record upstreams that were removed.
const (
	maxTombstones = 256
	tombstoneTTL  = 2 * time.Minute
	maxDepartures = 16 // number of departures that Departures returns
)

// StaleError reports an announcement or a departure that was superseded by a later one or by the removal of the upstream.
type StaleError struct {
	id, reason string
}

// Error implements error.
func (e *StaleError) Error() string { return fmt.Sprintf("announcement of %s: %s", e.id, e.reason) }

// UnsettledError reports that an incarnation says that it leaves while another one of the upstream counts as the live one, so that its leaving can't
// be acknowledged yet. It must be announced again.
type UnsettledError struct{ id string }

// Error implements error.
func (e *UnsettledError) Error() string {
	return fmt.Sprintf("announcement of %s: another incarnation is live, announce again", e.id)
}

// UnidentifiedError reports a departure that doesn't tell which incarnation leaves, of an upstream that isn't known.
type UnidentifiedError struct{ id string }

// Error implements error.
func (e *UnidentifiedError) Error() string {
	return fmt.Sprintf("departure of %s: the upstream is unknown and its incarnation is not named", e.id)
}

// tombstone records an upstream that was removed or replaced.
type tombstone struct {
	lastAnnouncement Announcement // only the id and the incarnation are set if the upstream left before it was known
	removedAt        time.Time
	final            bool // the incarnation ended for good: it deregistered, or another took its id or address
	unserved         bool // the upstream drained while it got no requests, and may be the invention of another writer
}

func (s *tombstone) current(now time.Time) bool { return now.Sub(s.removedAt) < tombstoneTTL }

// rejects reports whether an announcement is of an incarnation that has ended, or older than the last one.
func (s *tombstone) rejects(a Announcement) bool {
	if a.olderThan(s.lastAnnouncement) {
		return true
	}
	return s.final && a.numbered() && a.Incarnation <= s.lastAnnouncement.Incarnation
}

// Roster tracks the live upstreams and rejects stale announcements: a delayed one must not revive an ended incarnation.
// The zero value is empty.
type Roster struct {
	live       map[string]Announcement
	tombstones map[string]tombstone
	contests   map[string]contest // by the id of a live upstream
}

// contestTime is the minimum time between two announcements of an incarnation by which it takes the place of one that started later. Delayed ones
// come together.
const contestTime = 800 * time.Millisecond

// contest tells of the incarnations that claim the id of a live upstream though their numbers say that they have ended, or that have been shown to
// have ended though their numbers are higher: incarnations are numbered by the time of day, which may jump.
type contest struct {
	ended       uint64 // the highest number of those whose place the live incarnation has taken
	incarnation uint64 // of the last announcement of an incarnation other than the live one, since which the live one hasn't announced itself
	seq         uint64
	since       time.Time
}

// claim records an announcement of an incarnation that has ended by its number. It returns true if the incarnation is alive after all, and the one that
// counts as live isn't: it has announced itself twice, and the other one hasn't meanwhile.
func (r *Roster) claim(now time.Time, a Announcement) bool {
	c := r.contests[a.ID]
	if c.incarnation == a.Incarnation && a.Seq > c.seq {
		return now.Sub(c.since) >= contestTime
	}
	if c.incarnation != a.Incarnation {
		c.incarnation, c.seq, c.since = a.Incarnation, a.Seq, now
		r.setContest(a.ID, c)
	}
	return false
}

// resolve returns nil if a, whose incarnation has ended by its number, takes the place of the live announcement old.
func (r *Roster) resolve(now time.Time, a, old Announcement) error {
	if a.Address != old.Address {
		return &StaleError{a.ID, "a later incarnation is live at another address"}
	}
	if r.claim(now, a) {
		return nil
	}
	if a.State == Draining {
		return &UnsettledError{a.ID}
	}
	return &StaleError{a.ID, "another incarnation is live"}
}

// setContest stores what is known of the other incarnations of a live upstream, or forgets them if c is zero.
func (r *Roster) setContest(id string, c contest) {
	if c == (contest{}) {
		delete(r.contests, id)
		return
	}
	if r.contests == nil {
		r.contests = make(map[string]contest)
	}
	r.contests[id] = c
}

// Apply stores an announcement and returns the ids of the upstreams that it replaces.
// The error is a *StaleError or an *UnsettledError, after which the announcement must not be used.
func (r *Roster) Apply(now time.Time, a Announcement) (replaced []string, err error) {
	old, isLive := r.live[a.ID]
	ended := r.contests[a.ID].ended
	contested := isLive && a.Incarnation != old.Incarnation && (a.Incarnation < old.Incarnation || a.Incarnation <= ended)
	switch {
	case contested:
		if err := r.resolve(now, a, old); err != nil {
			return nil, err
		}
		ended = max(ended, old.Incarnation)
	case isLive && a.olderThan(old):
		if a.State != Draining {
			return nil, &StaleError{a.ID, "a later announcement was received already"}
		}
		old.State = Draining // what an incarnation says of its leaving holds, however late it comes
		r.live[a.ID] = old
		return nil, nil
	}
	stone, removed := r.tombstones[a.ID]
	removed = removed && stone.current(now)
	isCurrent := isLive && a.Incarnation == old.Incarnation
	if removed && !contested && !isCurrent && stone.rejects(a) {
		return nil, &StaleError{a.ID, "this incarnation has ended"}
	}
	if isLive && a.Incarnation != old.Incarnation {
		replaced = append(replaced, a.ID)
	}
	for id, other := range r.live {
		if id == a.ID || other.Address != a.Address {
			continue
		}
		if a.Incarnation < other.Incarnation {
			if a.State == Draining {
				r.bury(now, a, true)
			}
			return nil, &StaleError{a.ID, "its address is in use by " + id}
		}
		replaced = append(replaced, id)
	}
	for _, id := range replaced {
		switch {
		case id != a.ID:
			r.end(now, r.live[id])
		case !contested:
			r.bury(now, old, true)
		}
	}
	r.setContest(a.ID, contest{ended: ended})
	if isLive && old.drains(a.Incarnation) || removed && stone.lastAnnouncement.drains(a.Incarnation) {
		a.State = Draining // an incarnation never returns from draining
	}
	if r.live == nil {
		r.live = make(map[string]Announcement)
	}
	r.live[a.ID] = a
	if r.tombstones[a.ID].lastAnnouncement.Incarnation == a.Incarnation {
		delete(r.tombstones, a.ID) // the tombstone of an earlier incarnation stays, for the next process of the node
	}
	return replaced, nil
}

// RecordDraining records that an upstream which gets no requests drains, so that it gets none later either. It changes nothing for the others:
// the error is a *StaleError if the id is that of a live upstream or of another one that was removed, or if there is no room.
func (r *Roster) RecordDraining(now time.Time, a Announcement) error {
	if _, isLive := r.live[a.ID]; isLive {
		return &StaleError{a.ID, "an upstream of this id is live"}
	}
	stone, removed := r.tombstones[a.ID]
	removed = removed && stone.current(now)
	switch {
	case removed && (stone.final || !a.sameProcess(stone.lastAnnouncement)):
		return &StaleError{a.ID, "an upstream of this id was removed"}
	case removed:
		stone.lastAnnouncement.State = Draining
		r.tombstones[a.ID] = stone
		return nil
	case len(r.tombstones) >= maxTombstones:
		return &StaleError{a.ID, "too many upstreams were removed"}
	}
	r.bury(now, a, false)
	stone = r.tombstones[a.ID]
	stone.unserved = true
	r.tombstones[a.ID] = stone
	return nil
}

// IsCurrent reports whether an announcement comes from a live upstream in its current incarnation.
func (r *Roster) IsCurrent(a Announcement) bool {
	current, ok := r.live[a.ID]
	return ok && a.sameProcess(current)
}

// Depart removes an upstream that leaves. Announcements of its incarnation are rejected from then on, even if it was not known.
// The error is a *StaleError if a later incarnation is live, or an *UnidentifiedError, after which nothing is recorded.
func (r *Roster) Depart(now time.Time, d Departure) error {
	last, isLive := r.live[d.ID]
	if isLive && d.Incarnation > 0 && d.Incarnation < last.Incarnation && d.Incarnation != r.contests[d.ID].incarnation {
		return &StaleError{d.ID, "a later incarnation is live"}
	}
	stone, removed := r.tombstones[d.ID]
	if removed && !isLive {
		last = stone.lastAnnouncement
	}
	ended := cmp.Or(d.Incarnation, d.NewestPossible)
	if !isLive && !removed && ended == 0 {
		return &UnidentifiedError{d.ID}
	}
	last.ID = d.ID
	last.Incarnation = max(last.Incarnation, ended)
	r.end(now, last)
	return nil
}

// end buries an upstream with all incarnations whose place it has taken.
func (r *Roster) end(now time.Time, last Announcement) {
	last.Incarnation = max(last.Incarnation, r.contests[last.ID].ended)
	r.bury(now, last, true)
}

// Expire removes an upstream that stopped renewing its announcements; a later announcement of the same incarnation brings it back.
func (r *Roster) Expire(now time.Time, id string) {
	if last, ok := r.live[id]; ok {
		r.bury(now, last, false)
	}
}

// bury replaces the live announcement of an upstream, if there is one, by a tombstone.
func (r *Roster) bury(now time.Time, last Announcement, final bool) {
	delete(r.live, last.ID)
	delete(r.contests, last.ID)
	if r.tombstones == nil {
		r.tombstones = make(map[string]tombstone)
	}
	if _, ok := r.tombstones[last.ID]; !ok && len(r.tombstones) >= maxTombstones {
		r.evictOldest()
	}
	r.tombstones[last.ID] = tombstone{lastAnnouncement: last, removedAt: now, final: final}
}

// evictOldest drops the oldest tombstone, one of an upstream that got no requests before any other.
func (r *Roster) evictOldest() {
	oldest := ""
	for id, stone := range r.tombstones {
		if oldest == "" || stone.yieldsTo(r.tombstones[oldest]) {
			oldest = id
		}
	}
	delete(r.tombstones, oldest)
}

// yieldsTo reports whether s is dropped before other if there is no room for both.
func (s *tombstone) yieldsTo(other tombstone) bool {
	if s.unserved != other.unserved {
		return s.unserved
	}
	return s.removedAt.Before(other.removedAt)
}

// Current returns the current announcement of an upstream.
func (r *Roster) Current(id string) (Announcement, bool) {
	a, ok := r.live[id]
	return a, ok
}

// Departures returns the newest departures that were acknowledged, with the incarnations that have left or drain, sorted by id.
// Upstreams that don't number their incarnations are left out.
func (r *Roster) Departures(now time.Time) []Departure {
	var newest []tombstone
	for _, a := range r.live {
		if a.State == Draining {
			newest = append(newest, tombstone{lastAnnouncement: a, removedAt: now})
		}
	}
	for _, stone := range r.tombstones {
		if stone.current(now) && !stone.unserved && (stone.final || stone.lastAnnouncement.State == Draining) {
			newest = append(newest, stone)
		}
	}
	newest = slices.DeleteFunc(newest, func(s tombstone) bool { return s.lastAnnouncement.Incarnation == 0 })
	slices.SortFunc(newest, func(a, b tombstone) int {
		return cmp.Or(b.removedAt.Compare(a.removedAt), cmp.Compare(a.lastAnnouncement.ID, b.lastAnnouncement.ID))
	})
	var departures []Departure
	for _, stone := range newest[:min(len(newest), maxDepartures)] {
		departures = append(departures, Departure{ID: stone.lastAnnouncement.ID, Incarnation: stone.lastAnnouncement.Incarnation})
	}
	slices.SortFunc(departures, func(a, b Departure) int { return cmp.Compare(a.ID, b.ID) })
	return departures
}
