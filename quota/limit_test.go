package quota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/quota"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

const (
	warmUp      = 8 * time.Second // nodes that have just started grant little
	modelTime   = 48 * time.Second
	calmShare   = 0.97
	troubleTime = 36 * time.Second // troubles begin before
)

// limitChange puts a limit in force.
type limitChange struct {
	at    time.Time // in force at all nodes
	limit quota.Limit
}

// checkRule fails if more requests ran in any window than the rule allows. A lower limit binds in windows that begin once it is in force.
func checkRule(t *rapid.T, m *model, changes []limitChange) {
	first := 0
	for i, at := range m.admitted {
		for at.Sub(m.admitted[first]) >= m.rule.Window {
			first++
		}
		allowed := 0.0
		for k, c := range changes {
			if k+1 < len(changes) && !changes[k+1].at.After(m.admitted[first]) {
				continue // replaced before the window
			}
			if c.at.After(at.Add(time.Second)) {
				continue // not in force anywhere yet
			}
			allowed = max(allowed, (c.limit.Rate*m.rule.Window.Seconds()+c.limit.Burst)*(1+m.rule.Overage)+m.rule.Slack)
		}
		if n := i - first + 1; float64(n) > allowed {
			t.Fatalf("%d requests ran in the window up to %v, allowed are %.1f", n, at.Sub(epoch), allowed)
		}
	}
}

// admittedShare returns what ran as a share of what a single token bucket with the limit admits of the same requests, compared in spans of a window.
func admittedShare(m *model, changes []limitChange) float64 {
	spans := int(modelTime / m.rule.Window)
	ran, possible := make([]float64, spans+1), make([]float64, spans+1)
	span := func(at time.Time) int { return int(at.Sub(epoch) / m.rule.Window) }
	for _, at := range m.admitted {
		ran[span(at)]++
	}
	tokens, refilledAt := 0.0, epoch
	for _, at := range m.arrived {
		limit := changes[0].limit
		for _, c := range changes {
			if !c.at.After(at) {
				limit = c.limit
			}
		}
		tokens = min(limit.Burst, tokens+limit.Rate*at.Sub(refilledAt).Seconds())
		refilledAt = at
		if tokens >= 1 {
			tokens--
			possible[span(at)]++
		}
	}
	missing, all, surplus := 0.0, 0.0, 0.0
	const larger = 0.25 // the fleet's bucket is larger than the single one by this share of the tolerance
	most := larger * (m.rule.Overage*(m.limit.Rate*m.rule.Window.Seconds()+m.limit.Burst) + m.rule.Slack)
	for i := range spans {
		if time.Duration(i)*m.rule.Window >= warmUp {
			missing += max(0, possible[i]-ran[i]-surplus)
			all += possible[i]
		}
		surplus = max(0, min(most, surplus+ran[i]-possible[i])) // what the larger bucket admitted before the single one does
	}
	return 1 - max(0, missing-1)/max(1, all) // a single request may fall on either side of a span's end
}

// drawDemand draws where and how much the caller sends, which changes every few seconds.
func drawDemand(t *rapid.T, m *model) {
	type phase struct {
		until  time.Duration
		factor float64
		kind   string
		node   int
	}
	var phases []phase
	rate := m.limit.Rate // a lower limit doesn't change what the caller sends
	for at := time.Duration(0); at < modelTime; {
		at += time.Duration(rapid.IntRange(3000, 9000).Draw(t, "phase")) * time.Millisecond
		phases = append(phases, phase{
			until:  at,
			factor: rapid.SampledFrom([]float64{0.625, 0.625, 0.625, 0.3, 3, 9, 15}).Draw(t, "factor"),
			kind:   rapid.SampledFrom([]string{"everywhere", "everywhere", "one node", "one zone"}).Draw(t, "where"),
			node:   rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node"),
		})
	}
	m.demand = func(i int) float64 {
		for _, p := range phases {
			if m.now.Sub(epoch) >= p.until {
				continue
			}
			total := rate * p.factor
			switch {
			case p.kind == "everywhere":
				return total / float64(len(m.nodes))
			case p.kind == "one node" && p.node == i:
				return total
			case p.kind == "one zone" && p.node%m.zones == i%m.zones:
				return total / float64((len(m.nodes)+m.zones-1)/m.zones)
			}
			return 0
		}
		return 0
	}
}

func drawModel(t *rapid.T, slack float64) *model {
	limit := quota.Limit{Rate: rapid.SampledFrom([]float64{1, 3, 10, 30, 96}).Draw(t, "rate")}
	limit.Burst = limit.Rate
	rule := quota.Rule{Window: 5 * time.Second, Overage: 0.1, Slack: slack}
	rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	m := newModel(rnd, rapid.IntRange(4, 24).Draw(t, "nodes"), rapid.IntRange(1, 4).Draw(t, "zones"), rule, limit)
	drawDemand(t, m)
	return m
}

// TestLimitHoldsInCalm guards against refusals of what is within the limit while all nodes run, wherever the demand is and wherever it moves.
func TestLimitHoldsInCalm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := drawModel(t, 20)
		changes := []limitChange{{epoch, m.limit}}
		m.run(modelTime)
		checkRule(t, m, changes)
		if share := admittedShare(m, changes); share < calmShare {
			t.Fatalf("%.3f of what the limit allows was admitted, %d calls for %d requests", share, m.calls, len(m.arrived))
		}
	})
}
