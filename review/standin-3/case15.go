package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// keyPassedOn lets one machine freeze while the first version with tenants comes into force, and sends requests with a key as it wakes.
func keyPassedOn(w *world) verdict {
	const (
		key      = "ruddedev3nax7u27gxpr"
		requests = 40

		// From the start of the freeze.
		change = 800 * time.Millisecond
		send   = 3700 * time.Millisecond
		wake   = 4 * time.Second
	)
	servers := w.fleet(3)
	routes := []route{safeRoute("/lohu930/")}
	w.publish(7, routes, nil)
	startAll(servers)
	w.awaitServed(http.MethodGet, "/lohu930/2f")
	frozen := w.nodes[0]
	var requesters []*http.Client // with a kept connection each
	for i := range requests {
		r := newRequester(true)
		defer r.CloseIdleConnections()
		frozen.requestOver(r, http.MethodGet, "/lohu930/2f", fmt.Sprintf("before-%d", i), 2*time.Second, "", nil)
		requesters = append(requesters, r)
	}
	begin := time.Now()
	if w.trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(time.Until(begin.Add(change)))
	w.publish(12, routes, []tenant{{Name: "pulo780", Keys: []string{key}, Rate: 100, Burst: 100}})
	time.Sleep(time.Until(begin.Add(send)))
	var sending sync.WaitGroup
	for i, r := range requesters {
		sending.Go(func() {
			frozen.requestOver(r, http.MethodGet, "/lohu930/2f", fmt.Sprintf("key-%d", i), 2*time.Second, "", map[string]string{"Authorization": "Bearer " + key})
		})
	}
	time.Sleep(time.Until(begin.Add(wake)))
	if w.trouble {
		frozen.signal(syscall.SIGCONT)
	}
	sending.Wait()
	passedOn := map[string]bool{}
	for _, r := range allRuns(servers) {
		if r.header.Get("Authorization") != "" {
			passedOn[r.id] = true
			w.log("server %s ran %s with Authorization=%q Tenant=%q", r.server, r.id, r.header.Get("Authorization"), r.header.Get("Tenant"))
		}
	}
	return verdict{len(passedOn) > 0, fmt.Sprintf("%d of %d requests ran at a server to which their key was passed on", len(passedOn), requests)}
}
