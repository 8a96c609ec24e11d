package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"
)

// Bounds of the site files that the cases judge by.
const (
	stableWindow = 3 * time.Second
	configApply  = 2 * time.Second
	drain        = 2 * time.Second
)

// Requests of the small deployment.
var (
	order = requestKind{method: "POST", host: "shop.example", path: "/orders/", timeout: 3 * time.Second}
	look  = requestKind{method: "GET", host: "shop.example", path: "/look/", timeout: 2500 * time.Millisecond}
)

// orders and looks return the routes of the requests to a service.
func orders(service string) route {
	return route{Name: "r-orders", Host: order.host, Prefix: order.path, Kind: "unsafe", Timeout: "3000ms", SLO: "1200ms", Priority: 1, Service: service, Attempts: 2}
}

func looks(service string) route {
	return route{Name: "r-looks", Host: look.host, Prefix: look.path, Kind: "safe", Timeout: "2500ms", SLO: "1200ms", Priority: 1, Service: service, Attempts: 2}
}

// started returns a fleet that serves version 1 of the configuration.
func started(root, folder string, log *record, services []string, work time.Duration, routes ...route) (*fleet, error) {
	f, err := newFleet(root, folder, log, services, work)
	if err != nil {
		return nil, err
	}
	f.store.putConfig(config(1, []string{"alpha", "beta"}, routes...))
	if err := f.start(); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

// configMovesAllRoutes sends requests to the service alpha, and a version that moves its only route to the service beta. It checks LOST:
// a request that has been passed on to a server ends without a complete answer, from the sending of the version until configApply and 1 s
// after its acknowledgement, over three times as often as at other times.
func configMovesAllRoutes(root, folder string, trouble bool, log *record) (verdict, error) {
	const before, after, margin = 5 * time.Second, 8 * time.Second, time.Second
	f, err := started(root, folder, log, []string{"alpha", "alpha", "beta", "beta"}, 400*time.Millisecond, orders("alpha"), looks("beta"))
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	time.Sleep(stableWindow)
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	for _, n := range f.nodes {
		if n.service == "alpha" {
			go keepSending(ctx, log, n.name, n.caller, order, 150*time.Millisecond)
		}
		go keepSending(ctx, log, n.name, n.caller, look, 400*time.Millisecond)
	}
	time.Sleep(before)
	sentAt := time.Now()
	if trouble {
		log.add("config", "2", "the route of alpha moves to beta")
		f.store.putConfig(config(2, []string{"alpha", "beta"}, orders("beta"), looks("beta")))
	}
	ackAt := time.Now()
	time.Sleep(after)
	cancel()
	time.Sleep(margin)

	ran := make(map[string]bool)
	inside, outside, ends := 0, 0, 0
	for _, e := range log.all() {
		switch {
		case e.what == "run":
			ran[e.id] = true
		case e.what == "ended":
			ends++
		case e.what != "closed" || !ran[e.id]:
		case !e.at.Before(sentAt) && e.at.Before(ackAt.Add(configApply+margin)):
			inside++
		default:
			outside++
		}
	}
	window := ackAt.Add(configApply + margin).Sub(sentAt).Seconds()
	rest := (before + after).Seconds() - window
	broken := inside > 0 && float64(inside)/window > 3*float64(outside)/rest
	text := fmt.Sprintf("%d requests at a server lost their connection around the version and %d at other times; processes ended by themselves %d times; panics: %v",
		inside, outside, ends, f.panics())
	return verdict{broken, text}, nil
}

// strayPing sends one node a ping that names a service that the configuration doesn't have. It checks UNASKED: a server runs a request whose
// Caller-Service isn't the service of the machine where the request began.
func strayPing(root, folder string, trouble bool, log *record) (verdict, error) {
	const before, after = 3 * time.Second, 12 * time.Second
	f, err := started(root, folder, log, []string{"alpha", "beta"}, 100*time.Millisecond, orders("alpha"), looks("beta"))
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	time.Sleep(stableWindow)
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	for _, n := range f.nodes {
		go keepSending(ctx, log, n.name, n.caller, order, 150*time.Millisecond)
		go keepSending(ctx, log, n.name, n.caller, look, 150*time.Millisecond)
	}
	time.Sleep(before)
	if trouble {
		addrs, err := freeAddrs(1)
		if err != nil {
			return verdict{}, err
		}
		stray := &server{id: "i-stray", service: "gamma", zone: "z1", addr: addrs[0], control: f.nodes[0].control, born: time.Now().UnixMilli(), state: "draining"}
		err = stray.send(ctx, stray.newPing())
		log.add("ping", stray.id, "to=%s service=%s state=draining error=%v", f.nodes[0].name, stray.service, err)
	}
	time.Sleep(after)
	cancel()

	began := make(map[string]string) // service of the node where a request began, by id
	wrong, runs := 0, 0
	for _, e := range log.all() {
		switch e.what {
		case "sent":
			began[e.id] = f.serviceOf(field(e.text, "node"))
		case "run":
			runs++
			if field(e.text, "caller-service") != began[e.id] {
				wrong++
			}
		}
	}
	return verdict{wrong > 0, fmt.Sprintf("%d of %d runs had a Caller-Service that isn't the service of the machine where the request began", wrong, runs)}, nil
}

// lostDeparture lets a server deregister, kills all nodes just after the acknowledgement and delivers a ping that the server sent before. It
// checks DRAIN: a request reaches the server later than drain after the acknowledgement, taken and sent on by machines in touch.
func lostDeparture(root, folder string, trouble bool, log *record) (verdict, error) {
	const before, lateness, after = 3 * time.Second, 2 * time.Second, 9 * time.Second
	f, err := started(root, folder, log, []string{"alpha", "alpha", "alpha"}, 250*time.Millisecond, orders("alpha"), looks("alpha"))
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	time.Sleep(stableWindow)
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	for _, n := range f.nodes {
		go keepSending(ctx, log, n.name, n.caller, order, 200*time.Millisecond)
		go keepSending(ctx, log, n.name, n.caller, look, 200*time.Millisecond)
	}
	time.Sleep(before)
	leaver := f.nodes[0].server
	late := leaver.newPing()
	if err := leaver.deregister(ctx); err != nil {
		return verdict{}, err
	}
	ackAt := log.add("ack", leaver.id, "deregistered")
	if trouble {
		for _, n := range f.nodes {
			f.signal(n, syscall.SIGKILL)
		}
	}
	time.Sleep(lateness)
	err = leaver.send(ctx, late)
	log.add("ping", leaver.id, "late, sent before the deregistration, seq=%d error=%v", late.Status.Seq, err)
	time.Sleep(after)
	cancel()

	began := make(map[string]entry)
	inTouch := make(map[string]time.Time) // time from which a node is in touch
	reached := 0
	for _, e := range log.all() {
		switch {
		case e.what == "started":
			inTouch[e.id] = e.at.Add(stableWindow)
		case e.what == "sent":
			began[e.id] = e
		case e.what == "run" && field(e.text, "server") == leaver.id && e.at.After(ackAt.Add(drain)):
			origin, own := inTouch[field(began[e.id].text, "node")], inTouch[f.nodes[0].name]
			if sentAt := began[e.id].at; sentAt.After(origin) && sentAt.After(own) {
				reached++
			}
		}
	}
	return verdict{reached > 0, fmt.Sprintf("%d requests reached the server later than %v after its departure was acknowledged, by machines in touch", reached, drain)}, nil
}

// twoSlashes sends requests whose path begins with two slashes, on a route with the prefix "/". It checks UNASKED: a server runs a request
// with its path changed.
func twoSlashes(root, folder string, trouble bool, log *record) (verdict, error) {
	const length = 4 * time.Second
	all := orders("alpha")
	all.Prefix = "/"
	f, err := started(root, folder, log, []string{"alpha", "alpha"}, 100*time.Millisecond, all)
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	time.Sleep(stableWindow)
	kind := order
	if trouble {
		kind.path = "/" + order.path
	}
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	for _, n := range f.nodes {
		go keepSending(ctx, log, n.name, n.caller, kind, 150*time.Millisecond)
	}
	time.Sleep(length)
	cancel()

	runs, changed := 0, 0
	for _, e := range log.all() {
		if e.what == "run" {
			runs++
			if field(e.text, "target") != kind.path+e.id {
				changed++
			}
		}
	}
	return verdict{changed > 0, fmt.Sprintf("%d of %d runs had another request target than the requester sent", changed, runs)}, nil
}

// runAndRefused lets one server of seven fail part of its requests after it has run them, with the status 503 and without Not-Executed. It
// checks REFUSED: a request that isn't idempotent is answered with 503 and has run.
func runAndRefused(root, folder string, trouble bool, log *record) (verdict, error) {
	const servers, length, margin, failShare = 7, 40 * time.Second, time.Second, 0.4
	f, err := started(root, folder, log, slices.Repeat([]string{"alpha"}, servers), 100*time.Millisecond, orders("alpha"), looks("alpha"))
	if err != nil {
		return verdict{}, err
	}
	defer f.stop()
	time.Sleep(stableWindow)
	if trouble {
		f.nodes[0].server.setFailShare(failShare)
		log.add("fails", f.nodes[0].server.id, "share=%v", failShare)
	}
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	for _, n := range f.nodes {
		go keepSending(ctx, log, n.name, n.caller, order, 100*time.Millisecond)
		go keepSending(ctx, log, n.name, n.caller, look, 150*time.Millisecond)
	}
	time.Sleep(length)
	cancel()
	time.Sleep(margin)

	ordered, ran := make(map[string]bool), make(map[string]bool)
	refused, runs := 0, 0
	for _, e := range log.all() {
		switch {
		case e.what == "sent" && field(e.text, "path") == order.path:
			ordered[e.id] = true
		case e.what == "run" && ordered[e.id]:
			ran[e.id] = true
			runs++
		case e.what == "answered" && field(e.text, "status") == "503" && ran[e.id]:
			refused++
		}
	}
	return verdict{refused > 0, fmt.Sprintf("%d of %d orders that ran were answered with 503", refused, runs)}, nil
}

// serviceOf returns the service of the server beside the named node.
func (f *fleet) serviceOf(name string) string {
	for _, n := range f.nodes {
		if n.name == name {
			return n.service
		}
	}
	return ""
}

// field returns the value of KEY=VALUE in the text of an entry.
func field(text, key string) string {
	for _, f := range strings.Fields(text) {
		if v, ok := strings.CutPrefix(f, key+"="); ok {
			return v
		}
	}
	return ""
}
