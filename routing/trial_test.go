package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/routing"
	"github.com/matryer/is"
)

// TestUpstreamThatStaysSuspectIsTriedOn guards against an upstream that nobody tries any more because the node's own knowledge of it has
// aged, while its gate still reports it as suspect and waits for a trial.
func TestUpstreamThatStaysSuspectIsTriedOn(t *testing.T) {
	const requests = 2000
	is := is.New(t)
	offers := func(age time.Duration) int {
		lb := routing.NewBalancer("s", "me", 0.5)
		list := upstreams(10, sameDataCentre)
		list[0].Suspect = true
		lb.Update(epoch, list)
		rnd := rand.New(rand.NewPCG(1, 1))
		now, count := epoch.Add(age), 0
		for range requests {
			for _, u := range list[1:] {
				lb.RecordReport(now, u.ID, 0, routing.Observation{Reported: true, Load: admission.Load{Running: 1, Limit: 5}, Suspicion: 0.02})
			}
			choice, err := lb.Pick(now, routing.Query{AllowTrial: true}, rnd)
			is.NoErr(err)
			lb.Finish(now, choice, 0, routing.Observation{})
			if choice.ID == list[0].ID {
				count++
			}
		}
		return count
	}
	early := offers(time.Second)
	is.True(early > 0)
	for _, age := range []time.Duration{10 * time.Second, 20 * time.Second, time.Minute, time.Hour} {
		late := offers(age)
		t.Logf("after %v: %d of %d requests, after 1s: %d", age, late, requests, early)
		is.True(late > early*3/4)
	}
}

// TestDueTrialIsOfferedAtOnce checks that an upstream which is known to wait for a trial gets the next request that may be one, and no other.
func TestDueTrialIsOfferedAtOnce(t *testing.T) {
	list := upstreams(5, sameDataCentre)
	list[0].Suspect = true
	due := list[0].ID
	tests := []struct {
		name      string
		query     routing.Query
		wantTrial bool
	}{
		{"safe to repeat", routing.Query{AllowTrial: true, DueTrialID: due}, true},
		{"not to be repeated", routing.Query{NonIdempotent: true, AllowTrial: true, DueTrialID: due}, false},
		{"a repeat", routing.Query{AllowTrial: true, DueTrialID: due, ExcludedIDs: []string{list[1].ID}}, false},
		{"no retry left", routing.Query{DueTrialID: due}, false},
		{"a healthy upstream", routing.Query{AllowTrial: true, DueTrialID: list[2].ID}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			lb := routing.NewBalancer("s", "me", 0.5)
			lb.Update(epoch, list)
			rnd := rand.New(rand.NewPCG(1, 1))
			for range 50 {
				choice, err := lb.Pick(epoch, tt.query, rnd)
				is.NoErr(err)
				is.Equal(choice.Trial && choice.ID == tt.query.DueTrialID, tt.wantTrial)
				lb.Finish(epoch, choice, 0, routing.Observation{})
			}
		})
	}
}

// TestUpstreamIsNotTriedOnceItIsKnownToBeWell checks that a report which says that an upstream is well ends its trials, though membership hasn't told yet
// that its gate has cleared it.
func TestUpstreamIsNotTriedOnceItIsKnownToBeWell(t *testing.T) {
	is := is.New(t)
	lb := routing.NewBalancer("s", "me", 0.5)
	list := upstreams(5, sameDataCentre)
	list[0].Suspect = true
	lb.Update(epoch, list)
	lb.RecordReport(epoch, list[0].ID, 0, routing.Observation{Reported: true, Load: admission.Load{Running: 1, Limit: 5}, Suspicion: 0.05})
	rnd := rand.New(rand.NewPCG(1, 1))
	for range 500 {
		choice, err := lb.Pick(epoch, routing.Query{AllowTrial: true}, rnd)
		is.NoErr(err)
		is.True(!choice.Trial)
		lb.Finish(epoch, choice, 0, routing.Observation{})
	}
}
