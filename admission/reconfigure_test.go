package admission_test

import (
	"slices"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestRunningRequestOutlivesItsClass guards against a process that ends by itself when a bundle takes the last class of a service, or the
// class of a running request, and that request then ends.
func TestRunningRequestOutlivesItsClass(t *testing.T) {
	urgent, normal := threeClasses()[0], threeClasses()[1]
	tests := []struct {
		name  string
		after [][]admission.Class // the classes of the bundles that follow
	}{
		{"no class is left", [][]admission.Class{nil}},
		{"its class is gone", [][]admission.Class{{urgent}}},
		{"another class has its index", [][]admission.Class{{normal, urgent}}},
		{"all classes go and come back", [][]admission.Class{nil, {urgent, normal}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := admission.New(2, []admission.Class{urgent, normal})
			is.Equal(len(c.Offer(epoch, admission.Request{ID: 1, ClassIndex: 1, Deadline: epoch.Add(time.Minute)})), 1)
			for _, classes := range tt.after {
				c.SetClasses(classes)
			}
			is.Equal(c.Load(epoch).Running, 1)
			c.Done(epoch.Add(time.Second), 1, admission.Result{})
			is.Equal(c.Load(epoch).Running, 0) // its slot is free
		})
	}
}

// TestRunningRequestCountsForItsOwnClass guards against a request that ends after a change of the classes being counted for the class
// that has taken its index: EachRunning then tells the age of a request of another class, and that class gets its service time.
func TestRunningRequestCountsForItsOwnClass(t *testing.T) {
	const serviceTime = 10 * time.Second
	is := is.New(t)
	slow, fast := admission.Class{Name: "slow", Priority: 1}, admission.Class{Name: "fast", Priority: 0}
	deadline := epoch.Add(time.Minute)
	c := admission.New(1, []admission.Class{slow})
	c.Offer(epoch, admission.Request{ID: 1, ClassIndex: 0, Deadline: deadline})
	c.SetClasses([]admission.Class{fast, slow})
	c.EachRunning(func(_ uint64, classIndex int, _ time.Time) { is.Equal(classIndex, 1) })
	c.SetClasses([]admission.Class{fast})
	c.EachRunning(func(_ uint64, classIndex int, _ time.Time) { is.Equal(classIndex, admission.NoClass) })
	now := epoch.Add(serviceTime)
	c.Done(now, 1, admission.Result{})

	// With the service time of slow as its own, fast would not be queued with less than that time left.
	c.Offer(now, admission.Request{ID: 2, ClassIndex: 0, Deadline: now.Add(serviceTime)})
	is.Equal(c.Offer(now, admission.Request{ID: 3, ClassIndex: 0, Deadline: now.Add(serviceTime / 2)}), nil) // it waits in the queue
}

// TestRunningRequestsThroughChangesOfClasses draws bundles with any of the classes in any order while requests run and end. Each running
// request must keep its slot until it ends, and be told of under its own class or none.
func TestRunningRequestsThroughChangesOfClasses(t *testing.T) {
	for _, policy := range []admission.Policy{admission.ByShare, admission.ByCost} {
		t.Run(string(policy), func(t *testing.T) { checkChangesOfClasses(t, policy) })
	}
}

func checkChangesOfClasses(t *testing.T, policy admission.Policy) {
	rapid.Check(t, func(t *rapid.T) {
		classes := threeClasses()
		c := admission.New(4, classes)
		c.SetPolicy(policy)
		now, lastID := epoch, uint64(0)
		running := map[uint64]string{} // name of the class, by ID
		queued := map[uint64]string{}
		apply := func(decisions []admission.Decision) {
			for _, d := range decisions {
				if d.Start {
					running[d.ID] = queued[d.ID]
				}
				delete(queued, d.ID)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				if len(classes) == 0 {
					t.Skip("no class")
				}
				lastID++
				i := rapid.IntRange(0, len(classes)-1).Draw(t, "class")
				queued[lastID] = classes[i].Name
				apply(c.Offer(now, admission.Request{ID: lastID, ClassIndex: i, Deadline: now.Add(time.Minute)}))
			},
			"done": func(*rapid.T) {
				for id := range running {
					delete(running, id)
					apply(c.Done(now, id, admission.Result{}))
					break
				}
			},
			"tick": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond)
				apply(c.Tick(now))
			},
			"bundle": func(t *rapid.T) {
				classes = rapid.Permutation(threeClasses()).Draw(t, "order")[:rapid.IntRange(0, 3).Draw(t, "count")]
				apply(c.SetClasses(classes))
			},
			"": func(t *rapid.T) {
				if load := c.Load(now); load.Running != len(running) || load.Queued != len(queued) {
					t.Fatalf("load %+v, want %d running and %d queued", load, len(running), len(queued))
				}
				c.EachRunning(func(id uint64, classIndex int, _ time.Time) {
					want := slices.IndexFunc(classes, func(k admission.Class) bool { return k.Name == running[id] })
					if classIndex != admission.NoClass && classIndex != want {
						t.Fatalf("request %d of class %q runs under index %d of %v", id, running[id], classIndex, classes)
					}
				})
			},
		})
	})
}
