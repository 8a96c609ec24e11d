package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// Parameters of the case "stray".
const (
	strayRate     = 28.0
	strayRequests = 3 * time.Second // time budget
	strayTime     = 8 * time.Second // after the ping of the other writer
)

// playStray has another writer send one ping that lacks the version and the zone, under the id of the server of machine 0, and names the other
// service in it. It counts what the server of machine 0 runs of the other service's requests.
func playStray(f *fleet, trouble bool) (int, error) {
	const booking, tracking = "huvo11a", "wuno96b"
	for _, place := range []struct{ zone, service string }{{"pampa-a", tracking}, {"pampa-b", tracking}, {"pampa-a", booking}, {"pampa-b", booking}} {
		if _, err := f.add(place.zone, "pampa", place.service, 5, 180*time.Millisecond, 1500); err != nil {
			return 0, err
		}
	}
	err := f.start(config(7, []string{booking, tracking},
		route("r-1", "/pufi791/", "unsafe", booking, strayRequests), route("r-2", "/gobo783/", "safe", booking, strayRequests),
		route("r-3", "/lohu930/", "safe", tracking, strayRequests)))
	if err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	go f.load(strayRate, stop, func(m *machine) {
		go f.send(m, http.MethodPost, "/pufi791/2f", "a booking", strayRequests)
		go f.send(m, http.MethodGet, "/gobo783/2f", "", strayRequests)
		go f.send(m, http.MethodGet, "/lohu930/2f", "", strayRequests)
	})
	time.Sleep(3 * time.Second)
	if trouble {
		if err := f.strayPing(f.machines[0].server, booking); err != nil {
			return 0, err
		}
	}
	time.Sleep(strayTime)
	close(stop)
	time.Sleep(2*strayRequests + 200*time.Millisecond)
	return f.checkRoutes(map[string]string{"/pufi791/": booking, "/gobo783/": booking, "/lohu930/": tracking}), nil
}

// strayPing sends a ping that names no server to use: its version and its zone are missing.
func (f *fleet) strayPing(s *server, service string) error {
	body, err := json.Marshal(map[string]any{
		"address": s.addr, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": service, "slots": s.slots},
		"status": map[string]any{"state": "ready", "seq": 1, "cold_left": "0ms"},
	})
	if err != nil {
		return err
	}
	resp, err := http.Post("http://"+s.control+"/v1/Instances.Heartbeat/"+s.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	f.record("another writer pings under the id %s: %s, status %d", s.id, body, resp.StatusCode)
	return nil
}

// checkRoutes compares the service of each server that ran a request with the one to which the request's route leads.
func (f *fleet) checkRoutes(services map[string]string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	wrong := 0
	for _, a := range f.arrivals {
		for prefix, service := range services {
			if !a.ran || !strings.HasPrefix(a.path, prefix) || service == f.machines[a.server].service {
				continue
			}
			wrong++
			if wrong <= 3 {
				f.recordLocked("request %s (%s %s, service %s) runs at server %d of service %s: ROUTE", a.id, a.method, a.path, service, a.server, f.machines[a.server].service)
			}
		}
	}
	f.recordLocked("%d requests ran at a server of another service than their route's", wrong)
	if wrong > 0 {
		return broken
	}
	return held
}
