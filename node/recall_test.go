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
	list, version, changed := l.due()
	is.Equal(len(list), 1)
	is.Equal(version, first)
	is.True(changed == nil)
	second := l.set([]upstream.Departure{{ID: "a", Incarnation: 1}, {ID: "b", Incarnation: 1}}) // while the first is being written
	l.setRecorded(version)
	is.True(l.has(first))
	is.True(!l.has(second))
	list, version, _ = l.due()
	is.Equal(len(list), 2)
	l.setRecorded(version)
	is.True(l.has(second))
	is.Equal(l.set(list), second) // an equal list needs no new record
	_, _, changed = l.due()
	is.True(changed != nil)
}
