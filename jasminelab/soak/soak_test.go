package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/matryer/is"
)

func TestDrawIsDeterministicAndInBounds(t *testing.T) {
	is := is.New(t)
	const span, nodes, dataCentres = 15 * time.Second, 8, 4
	kinds := make(map[Kind]bool)
	for seed := range uint64(60) {
		steps := DrawSteps(seed, span, nodes, dataCentres)
		is.Equal(steps, DrawSteps(seed, span, nodes, dataCentres))
		for i, s := range steps {
			kinds[s.Kind] = true
			is.True(s.At+s.Duration <= span+burstSpan)
			is.True(s.TargetIndex != s.PeerIndex)
			is.True(i == 0 || steps[i-1].At <= s.At)
			if s.BetweenDataCentres {
				is.True(s.TargetIndex < dataCentres && s.PeerIndex < dataCentres)
			}
		}
	}
	is.Equal(len(kinds), len(drawnKinds)+1) // every kind is drawn, and restorations of the store
}

func TestVersionProberCheckResponse(t *testing.T) {
	start := time.Now().Add(-time.Minute)
	timeAt := func(d time.Duration) time.Time { return start.Add(d) }
	tests := []struct {
		name          string
		faulty        string        // node or store whose fault ended a second before the probe
		seenVersion   uint64        // version seen from the process five seconds before the probe
		sent          time.Duration // time of the probe for version 2, which was published at 10 s
		status        int
		wantViolation string
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
			violated := ""
			tracker := newFaultTracker()
			prober := newVersionProber(tracker, func(guarantee, _ string) {
				if violated == "" {
					violated = guarantee
				}
			})
			prober.publishedAt = []time.Time{start, timeAt(10 * time.Second), timeAt(10 * time.Second)}
			n := &fleet.Node{Name: "a", StartedAt: start}
			if tt.seenVersion > 0 {
				prober.checkResponse(n, tt.seenVersion, timeAt(0), http.StatusOK)
				for id := range prober.highestVersions {
					prober.highestVersions[id] = observation{tt.seenVersion, timeAt(tt.sent - 5*time.Second)}
				}
			}
			if tt.faulty != "" {
				tracker.endedAt[tt.faulty] = timeAt(tt.sent - time.Second)
			}
			prober.checkResponse(n, 2, timeAt(tt.sent), tt.status)
			is.Equal(violated, tt.wantViolation)
		})
	}
}
