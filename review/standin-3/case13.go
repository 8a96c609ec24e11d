package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// cutExtra lets one of two servers send, late, a second copy of an answer that is cut short in its first line.
func cutExtra(w *world) verdict {
	const (
		workers    = 4
		eachWorker = 200
		failsOf    = 80 // a server fails each 80th request by itself: 0.0125 of them
	)
	servers := w.fleet(2)
	w.publish(7, []route{unsafeRoute("/pufi791/")}, nil)
	for i, s := range servers {
		s.work = 4 * time.Millisecond
		s.answer = failing(failsOf, w.trouble && i == 0) // a share of 0.5 of the servers
	}
	startAll(servers)
	w.awaitServed(http.MethodPost, "/pufi791/2f")
	var mu sync.Mutex
	var sending sync.WaitGroup
	wrong, total := 0, 0
	for i := range workers {
		sending.Go(func() {
			for j := range eachWorker {
				id := fmt.Sprintf("u-%d-%d", i, j)
				a := w.nodes[j%len(w.nodes)].request(http.MethodPost, "/pufi791/2f", id, 3*time.Second, "x", nil)
				mu.Lock()
				total++
				if a.status == http.StatusOK && a.body == "failed "+id {
					wrong++
					w.log("%s is answered 200, its server had answered 500", id)
				}
				mu.Unlock()
			}
		})
	}
	sending.Wait()
	return verdict{wrong > 0, fmt.Sprintf("%d of %d requests got a success where the server had answered with a failure", wrong, total)}
}

// failing returns an answer function that answers each request with a number that n divides with a failure of the server. If extra is true
// and the connection has carried an answer before, the start of a second copy of it arrives before that failure.
func failing(n int, extra bool) func(*serverConn, *run) {
	var mu sync.Mutex
	answers := 0
	return func(c *serverConn, r *run) {
		mu.Lock()
		answers++
		fails := answers%n == 0
		mu.Unlock()
		if !fails {
			c.send(http.StatusOK, "done "+r.id, r.id)
			return
		}
		text := wholeAnswer(http.StatusInternalServerError, "failed "+r.id, r.id)
		if extra && c.answered > 0 {
			text = "HTTP/1.1 200 OK" + text
			c.w.log("server %s sends 15 bytes of a second copy of its last answer", r.server)
		}
		c.w.log("server %s answers %s with status 500", r.server, r.id)
		_, _ = io.WriteString(c, text)
	}
}
