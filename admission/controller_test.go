package admission_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func threeClasses() []admission.Class {
	return []admission.Class{
		{Name: "urgent", Priority: 0, Share: 0.3},
		{Name: "normal", Priority: 3, Share: 0.3},
		{Name: "bulk", Priority: 9, Share: 0.1},
	}
}

// TestEveryRequestIsDecidedOnce draws sequences of offers, completions, cancellations and drains. It checks that no request gets a second
// decision, that none starts after its deadline or beyond the slots, and that Load counts the running and the queued requests.
func TestEveryRequestIsDecidedOnce(t *testing.T) {
	for _, policy := range []admission.Policy{admission.ByShare, admission.ByCost} {
		t.Run(string(policy), func(t *testing.T) { checkDecisions(t, policy) })
	}
}

func checkDecisions(t *testing.T, policy admission.Policy) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		c := admission.New(slots, threeClasses())
		c.SetPolicy(policy)
		now := epoch
		deadlines, running := map[uint64]time.Time{}, map[uint64]bool{}
		lastID := uint64(0)
		apply := func(decisions []admission.Decision) {
			for _, d := range decisions {
				deadline, ok := deadlines[d.ID]
				if !ok {
					t.Fatalf("decision on %d, which is not queued", d.ID)
				}
				delete(deadlines, d.ID)
				if !d.Start {
					continue
				}
				if !now.Before(deadline) {
					t.Fatalf("%d started after its deadline", d.ID)
				}
				running[d.ID] = true
			}
			if len(running) > slots {
				t.Fatalf("%d run in %d slots", len(running), slots)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				lastID++
				deadline := now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "patience")) * time.Millisecond)
				deadlines[lastID] = deadline
				apply(c.Offer(now, admission.Request{ID: lastID, ClassIndex: rapid.IntRange(0, 2).Draw(t, "class"), Deadline: deadline}))
			},
			"done": func(t *rapid.T) {
				for id := range running {
					delete(running, id)
					apply(c.Done(now, id, admission.Result{Shed: rapid.Bool().Draw(t, "shed")}))
					break
				}
			},
			"withdraw": func(t *rapid.T) {
				for id := range deadlines {
					if !c.Cancel(id) {
						t.Fatalf("%d is queued but can't be canceled", id)
					}
					delete(deadlines, id)
					break
				}
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
				apply(c.Tick(now))
			},
			"drain": func(t *rapid.T) { apply(c.SetDraining(rapid.Bool().Draw(t, "on"))) },
			"": func(t *rapid.T) {
				load := c.Load(now)
				if load.Running != len(running) || load.Queued != len(deadlines) {
					t.Fatalf("load %+v, want %d running and %d queued", load, len(running), len(deadlines))
				}
			},
		})
	})
}

// simulate runs a controller in virtual time: each class offers requests at its rate per second, and each request takes 10 ms.
// It returns, for each class, the number of started requests and the longest wait in the queue.
func simulate(c *admission.Controller, rates []float64, duration time.Duration) (started []int, maxWaits []time.Duration) {
	const serviceTime = 10 * time.Millisecond
	started, maxWaits = make([]int, len(rates)), make([]time.Duration, len(rates))
	offeredAt, pendingOffers, endsAt := map[uint64]time.Time{}, make([]float64, len(rates)), map[uint64]time.Time{}
	classIndexByID := map[uint64]int{}
	id := uint64(0)
	for now := epoch; now.Before(epoch.Add(duration)); now = now.Add(time.Millisecond) {
		apply := func(decisions []admission.Decision) {
			for _, d := range decisions {
				if !d.Start {
					continue
				}
				classIndex := classIndexByID[d.ID]
				started[classIndex]++
				maxWaits[classIndex] = max(maxWaits[classIndex], now.Sub(offeredAt[d.ID]))
				endsAt[d.ID] = now.Add(serviceTime)
			}
		}
		for endedID, endAt := range endsAt {
			if !endAt.After(now) {
				delete(endsAt, endedID)
				apply(c.Done(now, endedID, admission.Result{}))
			}
		}
		for classIndex, rate := range rates {
			for pendingOffers[classIndex] += rate / 1000; pendingOffers[classIndex] >= 1; pendingOffers[classIndex]-- {
				id++
				offeredAt[id], classIndexByID[id] = now, classIndex
				apply(c.Offer(now, admission.Request{ID: id, ClassIndex: classIndex, Deadline: now.Add(time.Second)}))
			}
		}
		apply(c.Tick(now))
	}
	return started, maxWaits
}

func TestOverload(t *testing.T) {
	const slots, capacity, duration = 5, 500.0, 4 * time.Second // capacity in requests per second
	tests := []struct {
		name     string
		rates    []float64 // requests per second that each class offers
		minRates []float64 // minimum requests per second that each class must get
	}{
		{"a flood of bulk costs urgent work nothing", []float64{150, 50, 5000}, []float64{149, 49, 250}},
		{"a flood of urgent work leaves the shares of the others", []float64{5000, 150, 50}, []float64{280, 142, 47}},
		{"without a flood all get what they ask for", []float64{100, 100, 100}, []float64{99, 99, 99}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := admission.New(slots, threeClasses())
			started, _ := simulate(c, tt.rates, duration)
			totalStarted := 0
			for i, n := range started {
				t.Logf("class %d: %d started of %.0f", i, n, tt.rates[i]*duration.Seconds())
				is.True(float64(n)/duration.Seconds() >= tt.minRates[i]) // the class gets its minimum rate
				totalStarted += n
			}
			totalOffered := 0.0
			for _, r := range tt.rates {
				totalOffered += r
			}
			is.True(float64(totalStarted)/duration.Seconds() >= 0.95*min(capacity, totalOffered)) // no capacity is left unused
		})
	}
}

func TestSheddingLowersTheLimit(t *testing.T) {
	is := is.New(t)
	c := admission.New(4, threeClasses())
	now := epoch
	for i := uint64(1); i <= 4; i++ {
		c.Offer(now, admission.Request{ID: i, Deadline: now.Add(time.Minute)})
	}
	c.Done(now, 1, admission.Result{Shed: true})
	is.Equal(c.Load(now).Limit, 3) // one below the number of requests that were running
	for done, id := uint64(2), uint64(5); done < 60; done, id = done+1, id+1 {
		now = now.Add(100 * time.Millisecond)
		c.Offer(now, admission.Request{ID: id, Deadline: now.Add(time.Minute)})
		c.Done(now, done, admission.Result{})
	}
	is.Equal(c.Load(now).Limit, 4) // the limit grows back while nothing is shed
}

func BenchmarkOfferDone(b *testing.B) {
	c := admission.New(5, threeClasses())
	now := epoch
	for i := range b.N {
		now = now.Add(time.Millisecond)
		id := uint64(i + 1)
		c.Offer(now, admission.Request{ID: id, ClassIndex: i % 3, Deadline: now.Add(time.Second)})
		c.Done(now, id, admission.Result{})
	}
}
