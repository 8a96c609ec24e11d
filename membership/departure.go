package membership

import (
	"slices"
	"time"
)

// Departure is the leaving of an upstream that a node has acknowledged. It binds later processes of the node, too, so other nodes keep it.
type Departure struct {
	ID          string
	Incarnation uint64 // the newest incarnation of the upstream that has left
}

// covers reports whether d says as much as other: of the same upstream, no older incarnation.
func (d Departure) covers(other Departure) bool {
	return d.ID == other.ID && d.Incarnation >= other.Incarnation
}

// missingDepartures returns the departures of all that none of known covers.
func missingDepartures(all, known []Departure) []Departure {
	return slices.DeleteFunc(slices.Clone(all), func(d Departure) bool {
		return slices.ContainsFunc(known, func(k Departure) bool { return k.covers(d) })
	})
}

// owedTime is the time for which a returned node is told of departures that its record doesn't list. It need not list one of which it knows
// a later incarnation of the upstream.
const owedTime = 10 * time.Second

// updateOwed notes the departures that earlier processes of the node acknowledged and that its record next doesn't list: its current
// process must be told of them.
func (m *memberState) updateOwed(now time.Time, next *Member) {
	if m.own {
		return
	}
	if next.Incarnation > m.Incarnation {
		m.owed = append(m.owed, missingDepartures(m.Departures, m.owed)...)
		m.owedUntil = now.Add(owedTime)
	}
	m.owed = missingDepartures(m.owed, next.Departures)
}

// appendOwed appends to records one with the departures that the node must be told of. The node takes nothing else from it, since it is
// older than the node's own record.
func (m *memberState) appendOwed(now time.Time, records []Member) []Member {
	if len(m.owed) == 0 || now.After(m.owedUntil) {
		return records
	}
	return append(records, Member{Name: m.Name, Departures: slices.Clone(m.owed)})
}

// tellOwed tells a neighbour that has returned of its departures at once. Others tell it when they are in touch with it.
func (e *Engine) tellOwed(now time.Time, m *memberState) {
	if len(m.owed) > 0 && now.Before(m.owedUntil) && m.live() && slices.Contains(e.neighbours, m) {
		e.send(now, m)
	}
}

// recall adds the departures that earlier processes of this node acknowledged to the output.
func (e *Engine) recall(m Member) {
	e.output.Recalled = append(e.output.Recalled, missingDepartures(m.Departures, e.self.Departures)...)
}

// recordConfirmation notes which version of this node's own record another node has received.
func (e *Engine) recordConfirmation(sent []Member) {
	for _, m := range sent {
		if m.Name == e.self.Name && m.Incarnation == e.self.Incarnation {
			e.confirmedSeq = max(e.confirmedSeq, m.Seq)
		}
	}
}

// Confirmed reports whether another node has received the current record of this node; true if this node knows neither another one nor a seed.
func (e *Engine) Confirmed() bool {
	others := e.index.live
	if e.self.live() {
		others--
	}
	return others == 0 && len(e.seeds) == 0 || e.confirmedSeq >= e.self.Seq
}
