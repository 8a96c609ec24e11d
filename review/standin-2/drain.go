package main

import (
	"net/http"
	"time"
)

// Parameters of the case "drain".
const (
	drainRate     = 40.0
	drainRequests = 2500 * time.Millisecond // time budget
	serveOn       = 7 * time.Second         // time for which a server goes on serving after the acknowledgement
	clockStep     = 2400 * time.Millisecond // by which the time of day jumps
)

// playDrain has the server of machine 0 start while the time of day of its machine is ahead, and start again under its id just after the clock
// has jumped back. Some seconds later it leaves.
func playDrain(f *fleet, trouble bool) (int, error) {
	const service = "huvo11a"
	for _, zone := range []string{"pampa-a", "pampa-a", "pampa-b", "pampa-b"} {
		if _, err := f.add(zone, "pampa", service, 5, 60*time.Millisecond, 1500); err != nil {
			return 0, err
		}
	}
	if err := f.start(config(7, []string{service}, route("r-1", "/lohu930/", "safe", service, drainRequests))); err != nil {
		return 0, err
	}
	stop := make(chan struct{})
	go f.load(drainRate, stop, func(m *machine) { f.send(m, http.MethodGet, "/lohu930/2f", "", drainRequests) })
	s := f.machines[0].server
	time.Sleep(3 * time.Second)
	if trouble {
		f.record("the time of day of machine 0 jumps ahead by %v", clockStep)
		s.clock = func() time.Time { return time.Now().Add(clockStep) }
	}
	time.Sleep(time.Second)
	s.crash()
	if err := s.start(s.id); err != nil {
		return 0, err
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		f.record("the time of day of machine 0 jumps back")
		s.clock = time.Now
	}
	s.crash()
	if err := s.start(s.id); err != nil {
		return 0, err
	}
	time.Sleep(stableWindow + 200*time.Millisecond) // the machine is in touch again
	return leave(f, s, stop), nil
}

// leave has the server report that it drains, go on serving for serveOn, deregister and end. It returns whether requests reached it later than
// the bound after the acknowledgement.
func leave(f *fleet, s *server, stop chan struct{}) int {
	s.setState("draining")
	s.mu.Lock()
	acked := s.acked
	s.mu.Unlock()
	time.Sleep(serveOn)
	f.record("server %d deregisters: acknowledged %v", s.index, s.post("Deregister/"+s.id, nil))
	s.crash()
	time.Sleep(time.Second)
	close(stop)
	time.Sleep(drainRequests + 200*time.Millisecond)
	late := 0
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if a.server == s.index && !acked.IsZero() && a.at.After(acked.Add(drainBound)) && a.status != http.StatusMisdirectedRequest {
			late++
			if late <= 3 {
				f.recordLocked("request %s reaches server %d %.3f s after the acknowledgement of draining: DRAIN", a.id, s.index, a.at.Sub(acked).Seconds())
			}
		}
	}
	f.recordLocked("%d requests reached server %d later than %v after the acknowledgement at %.3f", late, s.index, drainBound, f.since(acked))
	if late > 0 {
		return broken
	}
	return held
}
