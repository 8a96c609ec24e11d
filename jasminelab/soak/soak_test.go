package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/matryer/is"
)

func TestDrawIsFixedAndEndsInTime(t *testing.T) {
	is := is.New(t)
	const span, nodes, sites = 15 * time.Second, 8, 4
	seen := make(map[Kind]bool)
	for seed := range uint64(60) {
		list := Draw(seed, span, nodes, sites)
		is.Equal(list, Draw(seed, span, nodes, sites))
		for i, s := range list {
			seen[s.Kind] = true
			is.True(s.At+s.Duration <= span+clusterSpan)
			is.True(s.A != s.B)
			is.True(i == 0 || list[i-1].At <= s.At)
			if s.BetweenDataCentres {
				is.True(s.A < sites && s.B < sites)
			}
		}
	}
	is.Equal(len(seen), len(kinds)) // every kind comes up
}

func TestMarksJudge(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	tests := []struct {
		name      string
		disturbed string        // part that was disturbed a second before the question
		shown     uint64        // version that the process showed five seconds before
		sent      time.Duration // of the question for version 2, which the store took after 10 s
		status    int
		want      string
	}{
		{"in force", "", 0, 20 * time.Second, http.StatusOK, ""},
		{"within the bound", "", 0, 12 * time.Second, http.StatusNotFound, ""},
		{"late", "", 0, 14 * time.Second, http.StatusNotFound, "config"},
		{"refused", "", 0, 14 * time.Second, http.StatusServiceUnavailable, ""},
		{"node disturbed", "a", 0, 30 * time.Second, http.StatusNotFound, ""},
		{"store disturbed", storeName, 0, 14 * time.Second, http.StatusNotFound, ""},
		{"store disturbed for long", storeName, 0, 19 * time.Second, http.StatusNotFound, "config"},
		{"back", "", 2, 30 * time.Second, http.StatusNotFound, "back"},
		{"back though disturbed", "a", 3, 30 * time.Second, http.StatusNotFound, "back"},
		{"older than shown", "", 1, 11 * time.Second, http.StatusNotFound, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := ""
			tr := newTouch()
			m := newMarks(tr, func(promise, _ string) {
				if got == "" {
					got = promise
				}
			})
			m.acked = []time.Time{start, at(10 * time.Second), at(10 * time.Second)}
			n := &fleet.Node{Name: "a", Started: start}
			if tt.shown > 0 {
				m.judge(n, tt.shown, at(0), http.StatusOK)
				for id := range m.seen {
					m.seen[id] = sighting{tt.shown, at(tt.sent - 5*time.Second)}
				}
			}
			if tt.disturbed != "" {
				tr.ended[tt.disturbed] = at(tt.sent - time.Second)
			}
			m.judge(n, 2, at(tt.sent), tt.status)
			is.Equal(got, tt.want)
		})
	}
}
