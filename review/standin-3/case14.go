package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// latePings lets a server start again under its id and leave, while two pings of its former start arrive seconds late.
func latePings(w *world) verdict {
	servers := w.fleet(8, "cuyo-b", "cuyo-a", "cuyo-a", "pampa-a", "pampa-a", "pampa-a", "pampa-b", "pampa-b")
	w.publish(7, []route{safeRoute("/lohu930/"), unsafeRoute("/pufi791/")}, nil)
	leaving := servers[0] // 1 of 8: a share of 0.125
	startAll(servers[1:])
	leaving.start()
	time.Sleep(500 * time.Millisecond) // the node listens
	leaving.deliver(leaving.next())
	w.awaitServed(http.MethodGet, "/lohu930/2f")
	late := [2]ping{leaving.next()}
	held := time.Now()
	w.onTimeOrLate(leaving, late[0])
	time.Sleep(heartbeat)
	late[1] = leaving.next()
	w.onTimeOrLate(leaving, late[1])
	time.Sleep(100 * time.Millisecond)
	leaving.stop()
	time.Sleep(200 * time.Millisecond)
	leaving.start()
	leaving.deliver(leaving.next())
	time.Sleep(heartbeat)
	leaving.setState("draining")
	if !leaving.deliver(leaving.next()) {
		w.fail("that the server drains isn't acknowledged")
	}
	acked := time.Now()
	endTraffic := w.bookings()
	at := func(after time.Duration, f func()) {
		time.Sleep(time.Until(acked.Add(after)))
		f()
	}
	at(heartbeat, func() { leaving.deliver(leaving.next()) })
	if w.trouble {
		at(heartbeat+200*time.Millisecond, func() { leaving.deliver(late[0]) })
		w.log("the first late ping took %v", time.Since(held))
		at(heartbeat+1200*time.Millisecond, func() { leaving.deliver(late[1]) })
		w.log("the second late ping took %v", time.Since(held)-heartbeat)
	}
	at(2*heartbeat, func() { leaving.deliver(leaving.next()) })
	at(3*heartbeat, func() { leaving.deliver(leaving.next()) })
	at(3*heartbeat+500*time.Millisecond, func() { leaving.deregister() })
	endTraffic()
	leaving.stop()
	after := 0
	for _, r := range allRuns([]*server{leaving}) {
		if r.at.Sub(acked) > drainBound {
			after++
			w.log("%s reached the leaving server %v after the ack", r.id, r.at.Sub(acked))
		}
	}
	return verdict{after > 0, fmt.Sprintf("%d requests reached a server more than %v after its leaving was acknowledged", after, drainBound)}
}

// onTimeOrLate delivers a ping at once, unless it is to come late.
func (w *world) onTimeOrLate(s *server, p ping) {
	if !w.trouble {
		s.deliver(p)
		return
	}
	w.log("server %s: ping born=%d seq=%d state=%s is on its way", s.id, p.born, p.seq, p.state)
}

// bookings sends safe and unsafe requests at all nodes until the returned function is called.
func (w *world) bookings() (end func()) {
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for i, n := range w.nodes {
		sending.Go(func() {
			for j := 0; ; j++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				n.request(http.MethodGet, "/lohu930/2f", fmt.Sprintf("s-%d-%d", i, j), 2500*time.Millisecond, "", nil)
				n.request(http.MethodPost, "/pufi791/2f", fmt.Sprintf("u-%d-%d", i, j), 3*time.Second, "x", nil)
			}
		})
	}
	return func() {
		close(stop)
		sending.Wait()
	}
}
