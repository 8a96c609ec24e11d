package upstream

import (
	"fmt"
	"time"
)

// Bounds of what is remembered of upstreams that are gone.
const (
	maxGone  = 256
	goneSpan = 2 * time.Minute
)

// StaleError reports an announcement that was overtaken by a later event.
type StaleError struct {
	id, why string
}

// Error implements error.
func (e *StaleError) Error() string { return fmt.Sprintf("announcement of %s: %s", e.id, e.why) }

// gone is the last that is known of an upstream that left or was replaced.
type gone struct {
	last  Announcement
	at    time.Time
	final bool // the incarnation said itself that it ends, or another has its address
}

// Roster decides which announcements name an upstream to use: one that was delayed must not bring back an incarnation that has ended; the zero value is empty.
type Roster struct {
	live map[string]Announcement
	gone map[string]gone
}

// Apply decides on an announcement and returns the upstreams that it replaces; the error is a *StaleError for one that must not be used.
func (r *Roster) Apply(now time.Time, a Announcement) (replaced []string, err error) {
	if old, ok := r.live[a.ID]; ok && a.before(old) {
		return nil, &StaleError{a.ID, "a later one arrived before"}
	}
	if g, ok := r.gone[a.ID]; ok && now.Sub(g.at) < goneSpan {
		if a.before(g.last) || g.final && a.numbered() && a.Incarnation <= g.last.Incarnation {
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
			return nil, &StaleError{a.ID, "its address belongs to " + id}
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
		a.State = Draining // an incarnation that leaves does not come back
	}
	r.live[a.ID] = a
	delete(r.gone, a.ID)
	return replaced, nil
}

// Remove removes an upstream; final says that its incarnation will not return.
func (r *Roster) Remove(now time.Time, id string, final bool) {
	last, ok := r.live[id]
	if !ok {
		if g, known := r.gone[id]; known {
			g.final = g.final || final
			r.gone[id] = g
		}
		return
	}
	delete(r.live, id)
	if r.gone == nil {
		r.gone = make(map[string]gone)
	}
	if len(r.gone) >= maxGone {
		r.forget()
	}
	r.gone[id] = gone{last: last, at: now, final: final}
}

// forget drops what was gone longest.
func (r *Roster) forget() {
	oldest := ""
	for id, g := range r.gone {
		if oldest == "" || g.at.Before(r.gone[oldest].at) {
			oldest = id
		}
	}
	delete(r.gone, oldest)
}

// Current returns the announcement in force of an upstream.
func (r *Roster) Current(id string) (Announcement, bool) {
	a, ok := r.live[id]
	return a, ok
}
