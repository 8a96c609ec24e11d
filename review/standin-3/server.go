package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// server is a stand-in of an application server beside a node.
type server struct {
	w       *world
	node    *nodeProc
	id      string
	work    time.Duration
	answer  func(c *serverConn, r *run) // sends the answer to a request that has run; nil for a sound one
	mu      sync.Mutex
	born    int64
	seq     int
	state   string
	runs    []run
	stopped chan struct{}
	ln      net.Listener
	conns   map[net.Conn]bool
}

// run is one request that the server has begun to work on.
type run struct {
	at                 time.Time
	server             string
	id, method, target string
	body               string
	header             http.Header
}

// serverConn is a connection that the server has accepted.
type serverConn struct {
	net.Conn
	w        *world
	answered int // answers sent on the connection
}

func (w *world) newServer(n *nodeProc, id string) *server {
	s := &server{w: w, node: n, id: id, work: 20 * time.Millisecond, state: "ready", conns: make(map[net.Conn]bool)}
	return s
}

// start starts an incarnation of the server.
func (s *server) start() {
	ln, err := net.Listen("tcp", s.node.app)
	if err != nil {
		s.w.fail("server %s: %v", s.id, err)
	}
	s.mu.Lock()
	s.ln, s.born, s.seq, s.state = ln, time.Now().UnixMilli(), 0, "ready"
	s.stopped = make(chan struct{})
	s.mu.Unlock()
	s.w.log("server %s starts, born %d, at %s", s.id, s.born, s.node.app)
	s.w.atEnd(s.stop)
	go s.accept(ln)
}

// stop ends the incarnation: its connections are closed.
func (s *server) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln == nil {
		return
	}
	_ = s.ln.Close()
	s.ln = nil
	close(s.stopped)
	for c := range s.conns {
		_ = c.Close()
	}
	s.w.log("server %s ends", s.id)
}

func (s *server) accept(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.serve(&serverConn{Conn: c, w: s.w})
	}
}

func (s *server) serve(c *serverConn) {
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.conns, c.Conn)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		if target := req.Header.Get("Target-Instance"); target != "" && target != s.id {
			s.w.log("server %s: 421 to %s, which is for %s", s.id, id, target)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, s.id)
			continue
		}
		r := run{at: time.Now(), server: s.id, id: id, method: req.Method, target: req.RequestURI, body: string(body), header: req.Header}
		s.mu.Lock()
		s.runs = append(s.runs, r)
		s.mu.Unlock()
		s.w.log("server %s runs %s: %s %s", s.id, id, r.method, r.target)
		time.Sleep(s.work)
		if s.answer != nil {
			s.answer(c, &r)
		} else {
			c.send(http.StatusOK, "done "+id, id)
		}
		c.answered++
	}
}

// send sends a whole answer.
func (c *serverConn) send(status int, body, id string) {
	_, _ = io.WriteString(c, wholeAnswer(status, body, id))
}

func wholeAnswer(status int, body, id string) string {
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), id, seal(status, body), len(body), body)
}

// seal stands for the digest of an answer.
func seal(status int, body string) string {
	return fmt.Sprintf("%x.%d.%d", len(body), status, len(body)*7)
}

// ping is what the server says of itself at one time.
type ping struct {
	born  int64
	seq   int
	state string
}

// next returns the next ping of the incarnation.
func (s *server) next() ping {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	return ping{born: s.born, seq: s.seq, state: s.state}
}

func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// deliver sends a ping to the node beside the server and reports whether it was acknowledged.
func (s *server) deliver(p ping) bool {
	doc := map[string]any{
		"address": s.node.app, "born": p.born,
		"info":   map[string]any{"service": s.node.service, "version": "v1", "zone": s.node.zone, "slots": 5},
		"status": map[string]any{"state": p.state, "seq": p.seq, "cold_left": "0ms"},
	}
	data, _ := json.Marshal(doc)
	return s.call("/v1/Instances.Heartbeat/"+s.id, data, fmt.Sprintf("ping born=%d seq=%d state=%s", p.born, p.seq, p.state))
}

// deregister says that the incarnation leaves for good and reports whether that was acknowledged.
func (s *server) deregister() bool {
	data, _ := json.Marshal(map[string]any{"born": s.born})
	return s.call("/v1/Instances.Deregister/"+s.id, data, fmt.Sprintf("deregister born=%d", s.born))
}

func (s *server) call(path string, data []byte, what string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Post("http://"+s.node.control+path, "application/json", bytes.NewReader(data))
	if err != nil {
		s.w.log("server %s: %s: %v", s.id, what, err)
		return false
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	s.w.log("server %s: %s -> %d %s", s.id, what, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode/100 == 2
}

// beat sends pings at the interval of the platform until the incarnation ends.
func (s *server) beat() {
	s.mu.Lock()
	stopped := s.stopped
	s.mu.Unlock()
	go func() {
		for {
			s.deliver(s.next())
			select {
			case <-stopped:
				return
			case <-time.After(heartbeat):
			}
		}
	}()
}

// allRuns returns what the servers have begun to work on.
func allRuns(servers []*server) []run {
	var runs []run
	for _, s := range servers {
		s.mu.Lock()
		runs = append(runs, s.runs...)
		s.mu.Unlock()
	}
	return runs
}
