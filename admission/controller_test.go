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
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		c := admission.New(slots, threeClasses())
		now := epoch
		queued, running := map[uint64]time.Time{}, map[uint64]bool{}
		id := uint64(0)
		apply := func(list []admission.Decision) {
			for _, d := range list {
				deadline, ok := queued[d.ID]
				if !ok {
					t.Fatalf("decision on %d, which is not queued", d.ID)
				}
				delete(queued, d.ID)
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
				id++
				deadline := now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "patience")) * time.Millisecond)
				queued[id] = deadline
				apply(c.Offer(now, admission.Request{ID: id, ClassIndex: rapid.IntRange(0, 2).Draw(t, "class"), Deadline: deadline}))
			},
			"done": func(t *rapid.T) {
				for k := range running {
					delete(running, k)
					apply(c.Done(now, k, admission.Result{Shed: rapid.Bool().Draw(t, "shed")}))
					break
				}
			},
			"withdraw": func(t *rapid.T) {
				for k := range queued {
					if !c.Cancel(k) {
						t.Fatalf("%d is queued but can't be canceled", k)
					}
					delete(queued, k)
					break
				}
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
				apply(c.Tick(now))
			},
			"drain": func(t *rapid.T) { apply(c.SetDraining(rapid.Bool().Draw(t, "on"))) },
			"": func(t *rapid.T) {
				l := c.Load(now)
				if l.Running != len(running) || l.Queued != len(queued) {
					t.Fatalf("load %+v, want %d running and %d queued", l, len(running), len(queued))
				}
			},
		})
	})
}

// simulate runs a controller in virtual time: each class offers requests at its rate per second, and each request takes 10 ms.
// It returns the started requests and the longest queue wait of each class.
func simulate(c *admission.Controller, rates []float64, span time.Duration) (started []int, maxWaits []time.Duration) {
	const serviceTime = 10 * time.Millisecond
	started, maxWaits = make([]int, len(rates)), make([]time.Duration, len(rates))
	offeredAt, credit, endsAt := map[uint64]time.Time{}, make([]float64, len(rates)), map[uint64]time.Time{}
	classOf := map[uint64]int{}
	id := uint64(0)
	for now := epoch; now.Before(epoch.Add(span)); now = now.Add(time.Millisecond) {
		apply := func(list []admission.Decision) {
			for _, d := range list {
				if !d.Start {
					continue
				}
				k := classOf[d.ID]
				started[k]++
				maxWaits[k] = max(maxWaits[k], now.Sub(offeredAt[d.ID]))
				endsAt[d.ID] = now.Add(serviceTime)
			}
		}
		for ended, at := range endsAt {
			if !at.After(now) {
				delete(endsAt, ended)
				apply(c.Done(now, ended, admission.Result{}))
			}
		}
		for k, r := range rates {
			for credit[k] += r / 1000; credit[k] >= 1; credit[k]-- {
				id++
				offeredAt[id], classOf[id] = now, k
				apply(c.Offer(now, admission.Request{ID: id, ClassIndex: k, Deadline: now.Add(time.Second)}))
			}
		}
		apply(c.Tick(now))
	}
	return started, maxWaits
}

func TestOverload(t *testing.T) {
	const slots, capacity, span = 5, 500.0, 4 * time.Second
	tests := []struct {
		name     string
		rates    []float64
		minRates []float64 // least requests per second that each class gets
	}{
		{"a flood of bulk costs urgent work nothing", []float64{150, 50, 5000}, []float64{149, 49, 250}},
		{"a flood of urgent work leaves the shares of the others", []float64{5000, 150, 50}, []float64{280, 142, 47}},
		{"without a flood all get what they ask for", []float64{100, 100, 100}, []float64{99, 99, 99}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := admission.New(slots, threeClasses())
			started, _ := simulate(c, tt.rates, span)
			sum := 0
			for i, n := range started {
				t.Logf("class %d: %d started of %.0f", i, n, tt.rates[i]*span.Seconds())
				is.True(float64(n)/span.Seconds() >= tt.minRates[i]) // the class gets its share
				sum += n
			}
			offered := 0.0
			for _, r := range tt.rates {
				offered += r
			}
			is.True(float64(sum)/span.Seconds() >= 0.95*min(capacity, offered)) // no capacity is left unused
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
	is.Equal(c.Load(now).Limit, 3) // one below the number that was running
	for done, id := uint64(2), uint64(5); done < 60; done, id = done+1, id+1 {
		now = now.Add(100 * time.Millisecond)
		c.Offer(now, admission.Request{ID: id, Deadline: now.Add(time.Minute)})
		c.Done(now, done, admission.Result{})
	}
	is.Equal(c.Load(now).Limit, 4) // grows back after completions at the limit
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
