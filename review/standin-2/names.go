package main

import (
	"net/http"
	"time"
)

// Parameters of the case "names".
const (
	namesRate  = 30.0
	namesTime  = 8 * time.Second // after the time for a version to be in force
	longName   = "Autoridad Portuaria"
	secondName = "autoridad-portuaria"
	secondKey  = "k-2b60-second-tenant"
)

// playNames has the operator add a tenant and take away a key of the first one, in one version. The disruption is that the name of the new tenant has
// a space. It counts the requests that are handled as only the version before allows.
func playNames(f *fleet, trouble bool) (int, error) {
	const service = "wuno96b"
	for _, zone := range []string{"lima-a", "lima-b", "lima-b"} {
		if _, err := f.add(zone, "lima", service, 8, 60*time.Millisecond, 1500); err != nil {
			return 0, err
		}
	}
	version := func(number int, tenants ...any) map[string]any {
		c := config(number, []string{service}, route("r-1", "/lohu930/", "safe", service, keysRequests))
		c["tenants"] = tenants
		return c
	}
	tenant := func(name string, keys ...string) any { return map[string]any{"name": name, "api_keys": keys} }
	if err := f.start(version(7, tenant(tenantName, tenantKeys...))); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	go f.load(namesRate, stop, func(m *machine) {
		for path, key := range map[string]string{"/lohu930/kept": tenantKeys[0], "/lohu930/dropped": tenantKeys[1], "/lohu930/added": secondKey} {
			go f.send(m, http.MethodGet, path, "", keysRequests, "Authorization", "Bearer "+key)
		}
	})
	time.Sleep(3 * time.Second)
	name := secondName
	if trouble {
		name = longName
	}
	if err := f.store.putConfig(version(8, tenant(tenantName, tenantKeys[0]), tenant(name, secondKey))); err != nil {
		return 0, err
	}
	f.record("the store acknowledges version 8: the tenant %q is added, and the second key of %q is taken away", name, tenantName)
	from := time.Now().Add(applyBound)
	time.Sleep(applyBound + namesTime)
	close(stop)
	time.Sleep(keysRequests + 200*time.Millisecond)
	return f.checkVersion(from), nil
}

// checkVersion counts the requests sent from the given time on that only the version before allows: one with the added key is refused with 401, or one
// with the dropped key runs.
func (f *fleet) checkVersion(from time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := make(map[string]bool)
	for _, a := range f.arrivals {
		ran[a.id] = ran[a.id] || a.ran
	}
	sent, refused, dropped := 0, 0, 0
	for _, r := range f.requests {
		switch {
		case r.sent.Before(from):
		case r.path == "/lohu930/added":
			sent++
			if r.status == http.StatusUnauthorized {
				refused++
			}
		case r.path == "/lohu930/dropped" && ran[r.id]:
			dropped++
		}
	}
	f.recordLocked("later than %v after the acknowledgement: %d of %d requests with the added key are refused with 401, and %d with the dropped key run", applyBound, refused, sent, dropped)
	if refused+dropped > 0 {
		return broken
	}
	return held
}
