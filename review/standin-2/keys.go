package main

import (
	"net/http"
	"time"
)

// Parameters of the case "keys".
const (
	keysRate     = 30.0
	keysRequests = 2500 * time.Millisecond // time budget
	revokeGap    = 1500 * time.Millisecond // between two keys that are taken away
	applyBound   = 3 * time.Second         // config_apply
	keysTime     = 5 * time.Second         // after that
	strangerKey  = "k-9f27-no-config-ever-held-this"
	tenantName   = "port-callao"
)

// tenantKeys are the keys of the only tenant.
var tenantKeys = []string{"k-51c0-first", "k-77ae-second"}

// playKeys has the operator take away the keys of the only tenant, one after the other. It counts what servers run of the requests of a stranger,
// whose key no config ever held and who names a tenant in a header.
func playKeys(f *fleet, trouble bool) (int, error) {
	const service = "wuno96b"
	for _, zone := range []string{"lima-a", "lima-b", "lima-b"} {
		if _, err := f.add(zone, "lima", service, 8, 60*time.Millisecond, 1500); err != nil {
			return 0, err
		}
	}
	version := func(number int, keys []string) map[string]any {
		c := config(number, []string{service}, route("r-1", "/lohu930/", "safe", service, keysRequests))
		c["tenants"] = []any{map[string]any{"name": tenantName, "api_keys": keys}}
		return c
	}
	if err := f.start(version(7, tenantKeys)); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	go f.load(keysRate, stop, func(m *machine) {
		go f.send(m, http.MethodGet, "/lohu930/tenant", "", keysRequests, "Authorization", "Bearer "+tenantKeys[1])
		f.send(m, http.MethodGet, "/lohu930/stranger", "", keysRequests, "Authorization", "Bearer "+strangerKey, "Tenant", tenantName)
	})
	time.Sleep(3 * time.Second)
	if trouble {
		for i := range tenantKeys {
			if err := f.store.putConfig(version(8+i, tenantKeys[i+1:])); err != nil {
				return 0, err
			}
			f.record("the store acknowledges version %d: the tenant has %d keys", 8+i, len(tenantKeys)-i-1)
			time.Sleep(revokeGap)
		}
	}
	time.Sleep(applyBound)
	from := time.Now()
	time.Sleep(keysTime)
	close(stop)
	time.Sleep(keysRequests + 200*time.Millisecond)
	return f.checkKeys(from), nil
}

// checkKeys looks for requests of the stranger that ran, at any time, and counts those of the tenant that were sent after the given time and ran.
func (f *fleet) checkKeys(from time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	strangers, passed, forged, late := 0, 0, 0, 0
	for _, a := range f.arrivals {
		switch {
		case !a.ran:
		case a.path == "/lohu930/stranger":
			strangers++
			if a.headers.Get("Authorization") != "" {
				passed++
			}
			if a.headers.Get("Tenant") != "" {
				forged++
			}
			if strangers <= 3 {
				f.recordLocked("request %s of the stranger runs at server %d, with Tenant %q and Authorization %q: ROUTE", a.id, a.server, a.headers.Get("Tenant"), a.headers.Get("Authorization"))
			}
		case a.at.After(from):
			late++
		}
	}
	f.recordLocked("%d requests ran whose key no config ever held; the key itself reached the server with %d of them, and the name of a tenant with %d", strangers, passed, forged)
	f.recordLocked("%d requests with the tenant's second key ran from %.3f on", late, f.since(from))
	if strangers > 0 {
		return broken
	}
	return held
}
