package upstream_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/matryer/is"
)

// TestPriorityOfTheAttemptDecides guards against a gate that orders attempts by the priority of their class although they carry one of their
// own, by either policy, and against a priority that takes effect where the attempt carries none.
func TestPriorityOfTheAttemptDecides(t *testing.T) {
	tests := []struct {
		policy      admission.Policy
		prioritized bool
		want        []string
	}{
		{admission.ByShare, false, []string{"a.1", "a.2", "a.3"}},
		{admission.ByShare, true, []string{"a.1", "a.3", "a.2"}},
		{admission.ByCost, false, []string{"a.1", "a.2", "a.3"}},
		{admission.ByCost, true, []string{"a.1", "a.3", "a.2"}},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%s, prioritized %t", tt.policy, tt.prioritized), func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			var order []string
			first := make(chan struct{})
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get("Attempt-Id")
				mu.Lock()
				order = append(order, id)
				mu.Unlock()
				if id == "a.1" {
					<-first
				}
				w.Header().Set("Attempt-Id", id)
			}))
			defer srv.Close()
			g := newGate(t, srv.Listener.Addr().String(), 1)
			g.SetPolicy(tt.policy)
			var wg sync.WaitGroup
			for i, priority := range []int{0, 5, 1} {
				a := attempt(i+1, false)
				a.Prioritized, a.Priority, a.Arrived = tt.prioritized, priority, time.Now()
				wg.Add(1)
				go func() {
					defer wg.Done()
					_, err := g.Do(context.Background(), a)
					is.NoErr(err)
				}()
				for g.Outstanding() < i+1 {
					time.Sleep(time.Millisecond)
				}
			}
			close(first)
			wg.Wait()
			is.Equal(order, tt.want)
		})
	}
}
