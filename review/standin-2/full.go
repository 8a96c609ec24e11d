package main

import (
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"
)

// Parameters of the case "full".
const (
	greyShare    = 0.45                    // of the requests that fail at the server
	greyTime     = 6500 * time.Millisecond // of one spell
	greySpells   = 4
	badSize      = 90_000
	soundAfter   = 8 * time.Second // a server is sound without impairment for this long: twice stable_window on cuoc-chuyenvung-grown
	floorWindow  = 2 * time.Second
	minShare     = 0.7
	fullRate     = 110.0
	fullRequests = 2500 * time.Millisecond // time budget
)

// playFull has servers fail part of their requests for some seconds, one after the other, and then counts which of the sound servers get requests.
func playFull(f *fleet, trouble bool) (int, error) {
	const service = "wuno96b"
	for _, zone := range [][2]string{{"pampa-a", "pampa"}, {"pampa-b", "pampa"}, {"cuyo-a", "cuyo"}, {"cuyo-b", "cuyo"}} {
		for range 2 {
			if _, err := f.add(zone[0], zone[1], service, 3, 150*time.Millisecond, badSize); err != nil {
				return 0, err
			}
		}
	}
	grey := make([]atomic.Bool, len(f.machines))
	for i, m := range f.machines {
		m.server.fault = func(*http.Request) int {
			if grey[i].Load() && rand.Float64() < greyShare {
				return badSize
			}
			return 0
		}
	}
	if err := f.start(config(7, []string{service}, route("r-1", "/lohu930/", "download", service, fullRequests))); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	go f.load(fullRate, stop, func(m *machine) { f.send(m, http.MethodGet, "/lohu930/2f", "", fullRequests) })
	time.Sleep(3 * time.Second)
	for i := range greySpells {
		if trouble {
			f.record("server %d begins to fail %.2f of its requests", 2*i, greyShare)
			grey[2*i].Store(true)
		}
		time.Sleep(greyTime)
		if trouble {
			grey[2*i].Store(false)
			f.record("server %d is sound again", 2*i)
		}
	}
	lastFault := time.Now()
	time.Sleep(soundAfter + 10*time.Second)
	end := time.Now()
	close(stop)
	time.Sleep(fullRequests + 200*time.Millisecond)
	return f.checkFloor(f.machines, lastFault.Add(soundAfter), end), nil
}

// checkFloor looks for a window in which less than minShare of the servers get requests while more than a tenth, but under half, of the requests
// aren't served. The servers of the machines are all that the service has, and sound from then on.
func (f *fleet) checkFloor(sound []*machine, from, end time.Time) int {
	verdict := held
	for start := from; !start.Add(floorWindow).After(end); start = start.Add(floorWindow / 4) {
		to := start.Add(floorWindow)
		sent, served := 0, 0
		reached := make(map[int]bool)
		f.mu.Lock()
		for _, r := range f.requests {
			if !r.sent.Before(start) && r.sent.Before(to) {
				sent++
				if r.status/100 == 2 && !r.wrong {
					served++
				}
			}
		}
		for _, a := range f.arrivals {
			if !a.at.Before(start) && a.at.Before(to) {
				reached[a.server] = true
			}
		}
		f.mu.Unlock()
		unserved := 1 - float64(served)/float64(max(1, sent))
		share := float64(len(reached)) / float64(len(sound))
		bad := share > 0 && share < minShare && unserved > 0.1 && unserved < 0.5
		note := ""
		if bad {
			verdict, note = broken, ": FLOOR"
		}
		f.record("window %.1f to %.1f: %d of %d servers get requests, %.2f of %d requests aren't served%s",
			f.since(start), f.since(to), len(reached), len(sound), unserved, sent, note)
	}
	return verdict
}
