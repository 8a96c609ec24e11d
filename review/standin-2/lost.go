package main

import (
	"net/http"
	"syscall"
	"time"
)

// Parameters of the case "lost".
const (
	lostSize     = 540_000                // bytes of an answer, the largest of `statement-bulk`
	lostWork     = 500 * time.Millisecond // in which a server makes and sends it
	lostRequests = 5 * time.Second        // time budget
	lostAfter    = 5 * time.Second        // from the start of traffic to the loss
	levelTime    = 5 * time.Second        // for which the load has one of otherRates
	lostRate     = 20.0                   // requests a second that come to the machine that is lost
	otherRate    = 2.0                    // those that come to the others until then
)

// otherRates are the requests a second that come to the other machines, one after the other, once all servers there count as sound. Those servers
// could run 21.
var otherRates = []float64{7, 10, 13, 16}

// playLost has the machine to which most requesters send their requests stop for good, and then counts which of the other servers get requests.
func playLost(f *fleet, trouble bool) (int, error) {
	const own, service = "huvo11a", "wuno96b"
	if _, err := f.add("pampa-a", "pampa", own, 2, lostWork, 1000); err != nil {
		return 0, err
	}
	for _, zone := range []string{"pampa-a", "pampa-a", "pampa-a", "pampa-b", "pampa-b", "pampa-b"} {
		m, err := f.add(zone, "pampa", service, 2, lostWork, lostSize)
		if err != nil {
			return 0, err
		}
		m.server.streams = true
	}
	err := f.start(config(7, []string{own, service}, route("r-1", "/pufi791/", "unsafe", own, lostRequests), route("r-2", "/lohu930/", "download", service, lostRequests)))
	if err != nil {
		return 0, err
	}
	get := func(m *machine) { f.send(m, http.MethodGet, "/lohu930/2f", "", lostRequests) }
	stopFirst, stop := make(chan struct{}), make(chan struct{})
	go f.loadAt(f.machines[:1], lostRate, stopFirst, get)
	go f.loadAt(f.machines[1:], otherRate, stop, get)
	time.Sleep(lostAfter)
	close(stopFirst) // in both plays, so that the load afterwards is the same
	if trouble {
		f.signal(f.machines[0], syscall.SIGSTOP)
		f.record("machine 0 is lost for good: nothing of it answers, no connection of it is closed")
	}
	time.Sleep(lostRequests + soundAfter)
	close(stop)
	from := time.Now()
	for _, rate := range otherRates {
		f.record("%.0f requests a second come to the other machines", rate)
		stopLevel := make(chan struct{})
		go f.loadAt(f.machines[1:], rate, stopLevel, get)
		time.Sleep(levelTime)
		close(stopLevel)
	}
	end := time.Now()
	time.Sleep(lostRequests + 200*time.Millisecond)
	return f.checkFloor(f.machines[1:], from, end), nil
}
