package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Timing and size of the servers.
const (
	pingInterval = 1500 * time.Millisecond
	pingTimeout  = time.Second
	serverSlots  = 5
	serverQueue  = 48
)

// server is a stand-in for an application server.
type server struct {
	id, service string
	addr        string
	control     string // address at which its node takes pings
	zone        string
	born        int64
	work        time.Duration
	log         *record
	http        *http.Server
	slots       chan struct{}

	mu        sync.Mutex
	seq       int
	queued    int
	state     string  // empty once it has deregistered
	failShare float64 // share of the requests that it runs and then answers with 503; its status check stays good
}

// startServer starts a server that listens on ln.
func startServer(ln net.Listener, id, service, zone, control string, work time.Duration, log *record) *server {
	s := &server{id: id, service: service, zone: zone, addr: ln.Addr().String(), control: control, born: time.Now().UnixMilli(), work: work, log: log, state: "ready", slots: make(chan struct{}, serverSlots)}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle), IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(ln) }()
	return s
}

func (s *server) close() { _ = s.http.Close() }

// handle runs a request, or refuses it if it is for another server or if there is no room for it.
func (s *server) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if !s.enter() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.log.add("run", id, "server=%s service=%s caller-service=%s target=%s", s.id, s.service, r.Header.Get("Caller-Service"), r.RequestURI)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.log.add("dropped", id, "server=%s", s.id)
		return
	}
	body := fmt.Sprintf("%s from %s\n", id, s.id)
	w.Header().Set("Response-Seal", fmt.Sprintf("%x", len(body)))
	status := http.StatusOK
	if s.fails() {
		status = http.StatusServiceUnavailable // without Not-Executed: it has run
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
	s.log.add("done", id, "server=%s status=%d", s.id, status)
}

// fails reports whether the server fails the request that it has just run.
func (s *server) fails() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return rand.Float64() < s.failShare
}

func (s *server) setFailShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failShare = share
}

// enter waits for a slot; it returns false if too many requests wait already.
func (s *server) enter() bool {
	s.mu.Lock()
	if s.queued >= serverQueue {
		s.mu.Unlock()
		return false
	}
	s.queued++
	s.mu.Unlock()
	s.slots <- struct{}{}
	s.mu.Lock()
	s.queued--
	s.mu.Unlock()
	return true
}

func (s *server) leave() { <-s.slots }

// ping is what a server says of itself.
type ping struct {
	Address string     `json:"address"`
	Born    int64      `json:"born"`
	Info    pingInfo   `json:"info"`
	Status  pingStatus `json:"status"`
}

type pingInfo struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

type pingStatus struct {
	State    string `json:"state"`
	Seq      int    `json:"seq"`
	ColdLeft string `json:"cold_left"`
}

// newPing returns the next ping of the server, or nil if it has deregistered.
func (s *server) newPing() *ping {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == "" {
		return nil
	}
	s.seq++
	return &ping{
		Address: s.addr, Born: s.born,
		Info:   pingInfo{Service: s.service, Version: "v1", Zone: s.zone, Slots: serverSlots},
		Status: pingStatus{State: s.state, Seq: s.seq, ColdLeft: "0ms"},
	}
}

// keepPinging sends pings until ctx ends or the server has deregistered.
func (s *server) keepPinging(ctx context.Context) {
	for {
		p := s.newPing()
		if p == nil {
			return
		}
		_ = s.send(ctx, p)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pingInterval):
		}
	}
}

// send sends a ping to the server's node.
func (s *server) send(ctx context.Context, p *ping) error {
	return post(ctx, s.control, "/v1/Instances.Heartbeat/"+s.id, p)
}

// deregister says that the server leaves; the time of the answer is that of the acknowledgement.
func (s *server) deregister(ctx context.Context) error {
	s.mu.Lock()
	s.state = ""
	s.mu.Unlock()
	return post(ctx, s.control, "/v1/Instances.Deregister/"+s.id, map[string]int64{"born": s.born})
}

var pingClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// post sends a JSON body on a connection of its own; an answer other than 2xx is an error.
func post(ctx context.Context, addr, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := pingClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.New(resp.Status)
	}
	return nil
}
