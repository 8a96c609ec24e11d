package main

import (
	"fmt"
	"net/http"
	"time"
)

// Names of the small deployment.
const (
	host    = "ficu95.example"
	service = "huvo11a"
)

// fleet starts nodes and prepares a server of the service beside each. All are in the zone pampa-a, unless the zones are given.
func (w *world) fleet(n int, zones ...string) []*server {
	var servers []*server
	for i := range n {
		zone := "pampa-a"
		if i < len(zones) {
			zone = zones[i]
		}
		node := w.newNode(fmt.Sprintf("sidecar-%d", i+1), service, zone)
		servers = append(servers, w.newServer(node, fmt.Sprintf("i-%d", i+1)))
	}
	return servers
}

// startAll starts servers that send their pings at the interval of the platform.
func startAll(servers []*server) {
	for _, s := range servers {
		s.start()
		s.beat()
	}
}

// unsafeRoute returns a route whose requests may run once at most.
func unsafeRoute(prefix string) route {
	return route{Name: "r" + prefix, Host: host, Prefix: prefix, Kind: "unsafe", Timeout: "3000ms", SLO: "1200ms", Priority: 1, Service: service, Attempts: 2}
}

// safeRoute returns a route whose requests may run more than once.
func safeRoute(prefix string) route {
	return route{Name: "r" + prefix, Host: host, Prefix: prefix, Kind: "safe", Timeout: "2500ms", SLO: "1200ms", Priority: 1, Service: service, Attempts: 2}
}

// awaitServed waits until all nodes serve a request, and then until the last version is due at each.
func (w *world) awaitServed(method, target string) {
	for _, n := range w.nodes {
		served := false
		for i := 0; i < 100 && !served; i++ {
			served = n.request(method, target, fmt.Sprintf("warm-%s-%d", n.name, i), 2*time.Second, "", nil).status == http.StatusOK
			time.Sleep(50 * time.Millisecond)
		}
		if !served {
			w.fail("%s doesn't serve: %s", n.name, n.logs())
		}
	}
	time.Sleep(configApply)
}
