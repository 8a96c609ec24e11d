package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond // interval between the pings of a server
	pingTime  = time.Second             // a later answer to a ping is no acknowledgement
	maxQueue  = 8                       // requests that a server queues beyond its slots
)

// arrival is a request that reached a server.
type arrival struct {
	at       time.Time
	server   int
	id       string
	method   string
	path     string
	query    string
	headers  http.Header
	bodySum  uint32
	ran      bool
	ended    time.Time
	status   int
	instance string
}

// server is a stand-in of an application server on the machine of one node. Restart begins a new incarnation.
type server struct {
	index   int
	service string
	addr    string // its own, on its machine
	control string // of the node beside it
	zone    string
	slots   int
	work    time.Duration
	streams bool                             // it sends an answer while it makes it
	size    int                              // bytes of a good answer
	fault   func(r *http.Request) (bad int)  // size of the body of a 500, or 0 for a good answer; nil for none
	record  func(format string, args ...any) // writes a line of the record
	arrived func(a *arrival, update func())  // stores an arrival
	client  *http.Client
	clock   func() time.Time // time of day of its machine

	mu       sync.Mutex
	id       string
	born     int64
	seq      uint64
	state    string
	silent   bool
	http     *http.Server
	cancel   context.CancelFunc
	slotsUse chan struct{}
	waiting  int
	acked    time.Time // first acknowledgement of the state draining, or of the deregistration
}

// start begins an incarnation under the id.
func (s *server) start(id string) error {
	var ln net.Listener
	var err error
	for range 50 {
		if ln, err = net.Listen("tcp", s.addr); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.id, s.born, s.seq, s.state, s.cancel = id, s.clock().UnixMilli(), 0, "ready", cancel
	s.slotsUse, s.waiting = make(chan struct{}, s.slots), 0
	s.http = &http.Server{Handler: s, BaseContext: func(net.Listener) context.Context { return ctx }}
	srv := s.http
	s.mu.Unlock()
	s.record("server %d starts: id %s, born %d", s.index, id, s.born)
	go func() { _ = srv.Serve(ln) }()
	go s.pingLoop(ctx)
	return nil
}

// crash ends the incarnation without a word.
func (s *server) crash() {
	s.mu.Lock()
	srv, cancel := s.http, s.cancel
	s.mu.Unlock()
	cancel()
	_ = srv.Close()
	s.record("server %d crashes", s.index)
}

func (s *server) pingLoop(ctx context.Context) {
	for ctx.Err() == nil {
		s.ping()
		select {
		case <-ctx.Done():
		case <-time.After(heartbeat):
		}
	}
}

// setState changes the state that the server reports, and reports it at once.
func (s *server) setState(state string) {
	s.mu.Lock()
	s.state = state
	s.mu.Unlock()
	s.record("server %d is %s", s.index, state)
	s.ping()
}

func (s *server) ping() {
	s.mu.Lock()
	if s.silent {
		s.mu.Unlock()
		return
	}
	s.seq++
	id, state, seq := s.id, s.state, s.seq
	body, _ := json.Marshal(map[string]any{
		"address": s.addr, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "seq": seq, "cold_left": "0ms"},
	})
	s.mu.Unlock()
	acked := s.post("Heartbeat/"+id, body)
	if state == "draining" && acked {
		s.noteAck(state)
	}
	if seq == 1 || state == "draining" {
		s.record("server %d pings: id %s seq %d %s, acknowledged %v", s.index, id, seq, state, acked)
	}
}

func (s *server) noteAck(what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.acked.IsZero() {
		s.acked = time.Now()
		s.record("server %d has the acknowledgement of %s", s.index, what)
	}
}

// post sends a call to the node and reports whether it was acknowledged.
func (s *server) post(path string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.control+"/v1/Instances."+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := s.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode/100 == 2
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	id, slots := s.id, s.slotsUse
	s.mu.Unlock()
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", id)
		return
	}
	requestID := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", requestID)
	w.Header().Set("Keep-Alive", "timeout=10")
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	a := &arrival{at: time.Now(), server: s.index, id: requestID, method: r.Method, path: r.URL.Path, query: r.URL.RawQuery,
		headers: r.Header.Clone(), bodySum: crc32.ChecksumIEEE(data), instance: r.Header.Get("Target-Instance")}
	reject := func(status int) {
		s.arrived(a, func() { a.status = status })
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	switch want := r.Header.Get("Target-Instance"); {
	case want != "" && want != id:
		reject(http.StatusMisdirectedRequest)
		return
	case requestID == "":
		reject(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	full := s.waiting >= maxQueue
	if !full {
		s.waiting++
	}
	s.mu.Unlock()
	if full {
		reject(http.StatusServiceUnavailable)
		return
	}
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-r.Context().Done():
	}
	s.mu.Lock()
	s.waiting--
	s.mu.Unlock()
	if r.Context().Err() != nil {
		return
	}
	s.arrived(a, func() { a.ran = true })
	defer s.arrived(a, func() { a.ended = time.Now() })
	if s.streams {
		s.stream(w, r, a)
		return
	}
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	status, size := http.StatusOK, s.size
	if s.fault != nil {
		if bad := s.fault(r); bad > 0 {
			status, size = http.StatusInternalServerError, bad
		}
	}
	s.arrived(a, func() { a.status = status })
	body := answerBody(requestID, size)
	w.Header().Set("Response-Seal", fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body))))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(status)
	_, _ = io.WriteString(w, body)
}

// stream sends a good answer in parts, spread over the time that the work takes.
func (s *server) stream(w http.ResponseWriter, r *http.Request, a *arrival) {
	const parts = 20
	body := answerBody(a.id, s.size)
	s.arrived(a, func() { a.status = http.StatusOK })
	w.Header().Set("Response-Seal", fmt.Sprintf("%08x", crc32.ChecksumIEEE([]byte(body))))
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	for i := range parts {
		select {
		case <-time.After(s.work / parts):
		case <-r.Context().Done():
			return
		}
		if _, err := io.WriteString(w, body[len(body)*i/parts:len(body)*(i+1)/parts]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// answerBody returns the body of the answer to a request.
func answerBody(id string, size int) string {
	return strings.Repeat(id+"\n", size/(len(id)+1)+1)[:size]
}
