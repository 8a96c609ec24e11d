package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// encodedPrefix sends requests to an unsafe route whose prefix has an encoded letter, beside a safe route with a shorter prefix, while some
// servers lose the answers of some requests that they ran.
func encodedPrefix(w *world) verdict {
	const (
		workers    = 4
		eachWorker = 60
		target     = "/club/reservaci%C3%B3n/17"
		lostOf     = 20 // a server loses each 20th answer: 0.05 of them
	)
	servers := w.fleet(4)
	w.publish(7, []route{safeRoute("/club/"), unsafeRoute("/club/reservaci%C3%B3n/")}, nil)
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
				n.request(http.MethodPost, target, fmt.Sprintf("book-%d-%d", i, j), 3*time.Second, "one cart", nil)
			}
		})
	}
	sending.Wait()
	counts := map[string]int{}
	for _, r := range allRuns(servers) {
		if r.method == http.MethodPost {
			counts[r.id]++
		}
	}
	twice := 0
	for id, n := range counts {
		if n > 1 {
			twice++
			w.log("%s ran %d times", id, n)
		}
	}
	return verdict{twice > 0, fmt.Sprintf("%d of %d requests of an unsafe route ran more than once", twice, len(counts))}
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
