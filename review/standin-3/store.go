package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's metadata store: one partition for each topic, kept in memory.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	refuse  bool // calls of all machines of the system are answered 503; the operator is served
	silent  bool // calls of all machines of the system are not answered
	address string
}

type topic struct {
	records [][]byte
	newest  map[string]newestItem
	epochs  map[string]uint64
	changed chan struct{}
}

type newestItem struct {
	value  []byte
	offset int
}

func newStore(w *world) *store {
	s := &store{topics: make(map[string]*topic)}
	ln := w.listen()
	s.address = ln.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.handleAppend)
	mux.HandleFunc("GET /v1/log-read", s.handleRead)
	mux.HandleFunc("GET /v1/log-newest", s.handleNewest)
	w.serve(ln, mux)
	return s
}

func (w *world) serve(ln net.Listener, h http.Handler) {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(ln) }()
	w.atEnd(func() { _ = srv.Close() })
}

// setDown sets whether the store turns the machines of the system away, or doesn't answer them.
func (s *store) setDown(refuse, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse, s.silent = refuse, silent
}

// away answers a call of a machine of the system while the store is impaired. It reports whether it did.
func (s *store) away(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	refuse, silent := s.refuse, s.silent
	s.mu.Unlock()
	switch {
	case silent:
		<-r.Context().Done()
		return true
	case refuse:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	return false
}

// topicOf returns a topic; the caller holds s.mu.
func (s *store) topicOf(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]newestItem), epochs: make(map[string]uint64), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes a keyed record as the operator does.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := append([]byte{byte(len(key))}, key...)
	s.topicOf(name).add(append(record, value...), true)
}

func (t *topic) add(record []byte, keyed bool) {
	if keyed && len(record) > int(record[0]) {
		end := 1 + int(record[0])
		key := string(record[1:end])
		if end == len(record) {
			delete(t.newest, key)
		} else {
			t.newest[key] = newestItem{value: record[end:], offset: len(t.records)}
		}
	}
	t.records = append(t.records, record)
	close(t.changed)
	t.changed = make(chan struct{})
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || s.away(w, r) {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicOf(q.Get("topic"))
	if p := q.Get("producer"); p != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		if epoch < t.epochs[p] {
			answerJSON(w, http.StatusConflict, map[string]any{"why": "fenced"})
			return
		}
		t.epochs[p] = epoch
	}
	first := len(t.records)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		t.add(append([]byte(nil), body[4:4+n]...), strings.HasPrefix(q.Get("topic"), "keyed."))
		body = body[4+n:]
	}
	answerJSON(w, http.StatusOK, map[string]any{"offset": first, "end_offset": len(t.records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	if s.away(w, r) {
		return
	}
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		t := s.topicOf(q.Get("topic"))
		end, changed := len(t.records), t.changed
		var records [][]byte
		if from < end {
			records = t.records[from:end]
		}
		s.mu.Unlock()
		if from > end {
			answerJSON(w, http.StatusGone, map[string]any{"first_offset": 0})
			return
		}
		expired := len(records) > 0
		if !expired {
			select {
			case <-changed:
			case <-timer.C:
			case <-r.Context().Done():
				return
			}
			if s.away(w, r) {
				return
			}
			select {
			case <-changed:
				continue
			default:
			}
		}
		body := binary.BigEndian.AppendUint64(nil, uint64(end))
		body = binary.BigEndian.AppendUint64(body, 0)
		for _, record := range records {
			body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
			body = append(body, record...)
		}
		_, _ = w.Write(body)
		return
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	if s.away(w, r) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topicOf(r.URL.Query().Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > r.URL.Query().Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys {
		items = append(items, map[string]any{"key": key, "value": t.newest[key].value, "offset": t.newest[key].offset})
	}
	answerJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end_offset": len(t.records)})
}
