package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// encodedPrefix sends requests to unsafe routes, which a node that compares decoded paths takes for safe ones, while some servers lose the answers
// of some requests that they ran. The prefix of the first unsafe route has an encoded letter, and a safe route has a shorter prefix; the
// requests of the second have an encoded slash where the prefix of a safe route has a slash.
func encodedPrefix(w *world) verdict {
	const (
		workers    = 4
		eachWorker = 60
		lostOf     = 20 // a server loses each 20th answer: 0.05 of them
	)
	servers := w.fleet(4)
	targets := []string{"/club/reservaci%C3%B3n/17", "/pedidos/estado%2F17"}
	w.publish(7, []route{safeRoute("/club/"), unsafeRoute("/club/reservaci%C3%B3n/"), unsafeRoute("/pedidos/"), safeRoute("/pedidos/estado/")}, nil)
	startAll(servers)
	w.awaitServed("GET", "/club/carts")
	if w.trouble {
		for _, s := range servers[:len(servers)/2] { // a share of 0.5 of the servers
			s.answer = losing(lostOf)
		}
	}
	var sending sync.WaitGroup
	for i := range workers {
		sending.Go(func() {
			for j := range eachWorker {
				n := w.nodes[(i+j)%len(w.nodes)]
				n.request(http.MethodPost, targets[j%len(targets)], fmt.Sprintf("book-%d-%d", i, j), 3*time.Second, "one cart", nil)
			}
		})
	}
	sending.Wait()
	counts := map[string]int{}
	twice := map[string]int{} // by target
	for _, r := range allRuns(servers) {
		if r.method != http.MethodPost {
			continue
		}
		if counts[r.id]++; counts[r.id] == 2 {
			twice[r.target]++
			w.log("%s ran twice: %s", r.id, r.target)
		}
	}
	return verdict{len(twice) > 0, fmt.Sprintf("of %d requests of unsafe routes, these ran more than once: %v", len(counts), twice)}
}

// losing returns an answer function that closes the connection in place of each answer with a number that n divides.
func losing(n int) func(*serverConn, *run) {
	var mu sync.Mutex
	answers := 0
	return func(c *serverConn, r *run) {
		mu.Lock()
		answers++
		lost := answers%n == 0
		mu.Unlock()
		if lost {
			c.w.log("server %s has run %s and its answer is lost", r.server, r.id)
			_ = c.Close()
			return
		}
		c.send(http.StatusOK, "done "+r.id, r.id)
	}
}
