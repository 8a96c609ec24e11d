package node

import (
	"testing"

	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

// TestRecallIsComplete guards against a restarted process that takes an announcement before it can know that the upstream has left.
func TestRecallIsComplete(t *testing.T) {
	const own, old, young = 1_000_000, 1_000_000 - longRunning - 1, 1_000_000 - 200
	tests := []struct {
		name  string
		steps func(r *recall)
		want  bool
	}{
		{"nothing heard", func(*recall) {}, false},
		{"directory only", func(r *recall) { r.readDirectory() }, false},
		{"directory and a node", func(r *recall) { r.readDirectory(); r.hear("a", young, own) }, true},
		{"directory that names no other node", func(r *recall) { r.readDirectory(); r.hearNobody() }, true},
		{"nodes, directory not asked yet", func(r *recall) { r.hear("a", old, own); r.hear("b", old, own) }, false},
		{"no directory, one old node", func(r *recall) { r.failDirectory(); r.hear("a", old, own); r.hear("a", old, own) }, false},
		{"no directory, two old nodes", func(r *recall) { r.failDirectory(); r.hear("a", old, own); r.hear("b", old, own) }, true},
		{"no directory, nodes as young as this one", func(r *recall) { r.failDirectory(); r.hear("a", young, own); r.hear("b", young, own) }, false},
		{"directory back, nodes as young as this one", func(r *recall) { r.failDirectory(); r.hear("a", young, own); r.readDirectory() }, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var r recall
			tt.steps(&r)
			is.Equal(r.complete(), tt.want)
		})
	}
}

// TestDepartureLogKnowsWhatIsRecorded guards against an acknowledgement that takes the record of an earlier list for one of a later list.
func TestDepartureLogKnowsWhatIsRecorded(t *testing.T) {
	is := is.New(t)
	var l departureLog
	_, _, changed := l.due()
	is.True(changed != nil) // nothing is due
	first := l.set([]upstream.Departure{{ID: "a", Incarnation: 1}})
	<-changed
	record, version, changed := l.due()
	is.Equal(len(record.Departures), 1)
	is.Equal(version, first)
	is.True(changed == nil)
	second := l.set([]upstream.Departure{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 1}}) // while the first is being written
	l.setRecorded(version, 0)
	is.True(l.has(first))
	is.True(!l.has(second))
	record, version, _ = l.due()
	is.Equal(len(record.Departures), 2)
	l.setRecorded(version, 0)
	is.True(l.has(second))
	is.Equal(l.set(record.Departures), second) // an equal list needs no new record
	_, _, changed = l.due()
	is.True(changed != nil)
}

// TestDepartureLogWritesAgainInALaterEra guards against departures that are taken for recorded though the directory was restored from a copy
// that lacks them, and against a second write of what the directory has.
func TestDepartureLogWritesAgainInALaterEra(t *testing.T) {
	list := []upstream.Departure{{ID: "a", Incarnation: 1}}
	tests := []struct {
		name      string
		recorded  []upstream.Departure
		steps     func(l *departureLog, version uint64)
		wantDue   bool
		wantCount int // departures that are due
	}{
		{"same era", list, func(*departureLog, uint64) {}, false, 0},
		{"later era", list, func(l *departureLog, _ uint64) { l.renew(1, list, true) }, true, 1},
		{"later era, nothing was recorded in this process", nil, func(l *departureLog, _ uint64) { l.renew(1, list, true) }, true, 1},
		{"nothing to record, but that must be noted", nil, func(l *departureLog, _ uint64) { l.renew(1, nil, true) }, true, 0},
		{"nothing to record yet", nil, func(l *departureLog, _ uint64) { l.renew(1, nil, false) }, false, 0},
		{"two eras in a row", list, func(l *departureLog, _ uint64) { l.renew(1, list, true); l.renew(2, list, true) }, true, 1},
		{"an earlier era is heard of late", list, func(l *departureLog, v uint64) {
			l.renew(2, list, true)
			l.setRecorded(v+1, 2)
			l.renew(1, list, true)
		}, false, 0},
		{"the write of the former era is answered late", list, func(l *departureLog, v uint64) { l.renew(1, list, true); l.setRecorded(v+1, 0) }, true, 1},
		{"written in the later era before it was heard of", list, func(l *departureLog, v uint64) {
			l.renew(1, list, true)
			l.setRecorded(v+1, 2)
			l.renew(2, list, true)
		}, false, 0},
		{"known as complete only later", list, func(l *departureLog, v uint64) {
			l.renew(1, list, false)
			l.setRecorded(v+1, 1)
			l.renew(1, list, true)
		}, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var l departureLog
			version := l.set(tt.recorded)
			l.setRecorded(version, 0)
			tt.steps(&l, version)
			record, due, changed := l.due()
			is.Equal(changed == nil, tt.wantDue)
			is.Equal(len(record.Departures), tt.wantCount)
			is.True(!tt.wantDue || due > version && !l.has(due)) // no acknowledgement relies on the record of a former era
		})
	}
}

// TestDepartureEpochsOnlyRise guards against a write with an epoch that an earlier write has used: a store that forgot its fences would then
// let the earlier one in.
func TestDepartureEpochsOnlyRise(t *testing.T) {
	is := is.New(t)
	var l departureLog
	started := l.nextEpoch(1000)
	is.Equal(started, uint64(1001))
	recorded := l.nextEpoch(5000) // of an earlier process whose clock was ahead
	is.True(recorded > 5000)
	is.True(l.nextEpoch(0) > recorded)
	is.True(l.nextEpoch(10) > recorded)
}
