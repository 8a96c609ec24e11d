package node_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/node"
	"github.com/matryer/is"
)

// TestRefusalByCostIsTrue floods an upstream through another node with admission by cost. It guards against refusals of requests that ran, and
// against refusals without a time to return.
func TestRefusalByCostIsTrue(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	byCost := func(cfg *node.Settings) { cfg.Admission.Policy = "cost" }
	a, _ := f.startWith("a", byCost)
	b, _ := f.startWith("b", byCost, a.Addresses().Peer)
	f.publishTestBundle(a)
	var mu sync.Mutex
	ran := map[string]bool{}
	f.addUpstream(b, "u", func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		ran[r.URL.Path] = true
		mu.Unlock()
		time.Sleep(300 * time.Millisecond)
	})
	f.waitFor("an upstream", func() bool { return call(a, "GET", "/ready", "").statusCode == http.StatusOK })
	const requests = 60
	results := make([]callResult, requests)
	path := func(i int) string { return "/x" + strings.Repeat("y", i) }
	var wg sync.WaitGroup
	for i := range results {
		wg.Add(1)
		go func() {
			defer wg.Done()
			results[i] = call(a, "POST", path(i), "")
		}()
	}
	wg.Wait()
	refused := 0
	for i, r := range results {
		is.NoErr(r.err)
		if r.statusCode == http.StatusOK {
			continue
		}
		refused++
		is.Equal(r.statusCode, http.StatusServiceUnavailable)
		is.Equal(r.header.Get("Outcome"), "not-run")
		is.True(r.header.Get("Retry-After") != "")
		is.True(!ran[path(i)]) // the refusal is true
	}
	t.Logf("%d of %d refused", refused, requests)
	is.True(refused > 0)
	is.True(refused < requests)
}
