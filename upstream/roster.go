package upstream

import (
	"fmt"
	"time"
)

// Limits of the tombstones, which record upstreams that were removed.
const (
	maxTombstones = 256
	tombstoneTTL  = 2 * time.Minute
)

// StaleError reports an announcement that was superseded by a later one or by the removal of the upstream.
type StaleError struct {
	id, reason string
}

// Error implements error.
func (e *StaleError) Error() string { return fmt.Sprintf("announcement of %s: %s", e.id, e.reason) }

// tombstone records an upstream that was removed or replaced.
type tombstone struct {
	lastAnnouncement Announcement
	removedAt        time.Time
	final            bool // the incarnation ended for good: it deregistered, or another took its id or address
}

// Roster tracks the live upstreams and rejects stale announcements: a delayed one must not revive an ended incarnation.
// The zero value is empty.
type Roster struct {
	live       map[string]Announcement
	tombstones map[string]tombstone
}

// Apply stores an announcement and returns the ids of the upstreams that it replaces.
// The error is a *StaleError, after which the announcement must not be used.
func (r *Roster) Apply(now time.Time, a Announcement) (replaced []string, err error) {
	if old, ok := r.live[a.ID]; ok && a.olderThan(old) {
		return nil, &StaleError{a.ID, "a later announcement was received already"}
	}
	if stone, ok := r.tombstones[a.ID]; ok && now.Sub(stone.removedAt) < tombstoneTTL {
		if a.olderThan(stone.lastAnnouncement) || stone.final && a.numbered() && a.Incarnation <= stone.lastAnnouncement.Incarnation {
			return nil, &StaleError{a.ID, "this incarnation has ended"}
		}
	}
	for id, old := range r.live {
		if id == a.ID && a.Incarnation > old.Incarnation {
			replaced = append(replaced, id)
		}
		if id == a.ID || old.Address != a.Address {
			continue
		}
		if a.Incarnation < old.Incarnation {
			return nil, &StaleError{a.ID, "its address is in use by " + id}
		}
		replaced = append(replaced, id)
	}
	for _, id := range replaced {
		r.Remove(now, id, true)
	}
	if r.live == nil {
		r.live = make(map[string]Announcement)
	}
	if old, ok := r.live[a.ID]; ok && old.State == Draining && old.Incarnation == a.Incarnation {
		a.State = Draining // an incarnation never returns from draining
	}
	r.live[a.ID] = a
	delete(r.tombstones, a.ID)
	return replaced, nil
}

// Remove removes an upstream. If final is set, announcements of the same incarnation are rejected from then on.
func (r *Roster) Remove(now time.Time, id string, final bool) {
	last, ok := r.live[id]
	if !ok {
		if stone, removed := r.tombstones[id]; removed {
			stone.final = stone.final || final
			r.tombstones[id] = stone
		}
		return
	}
	delete(r.live, id)
	if r.tombstones == nil {
		r.tombstones = make(map[string]tombstone)
	}
	if len(r.tombstones) >= maxTombstones {
		r.evictOldest()
	}
	r.tombstones[id] = tombstone{lastAnnouncement: last, removedAt: now, final: final}
}

// evictOldest drops the oldest tombstone.
func (r *Roster) evictOldest() {
	oldest := ""
	for id, stone := range r.tombstones {
		if oldest == "" || stone.removedAt.Before(r.tombstones[oldest].removedAt) {
			oldest = id
		}
	}
	delete(r.tombstones, oldest)
}

// Current returns the current announcement of an upstream.
func (r *Roster) Current(id string) (Announcement, bool) {
	a, ok := r.live[id]
	return a, ok
}
