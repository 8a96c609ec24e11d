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

// maxHold is the longest time for which a read waits for a record.
const maxHold = 30 * time.Second

// topic is the single partition of one topic.
type topic struct {
	records [][]byte
	newest  map[string]keyedValue
	changed chan struct{} // closed by the next append
}

// keyedValue is the newest value of a key.
type keyedValue struct {
	value  []byte
	offset int
}

// store is a stand-in for the platform's metadata store, in the form of a log. It loses nothing and answers at once.
type store struct {
	server *http.Server
	addr   string

	mu     sync.Mutex
	topics map[string]*topic
}

func startStore() (*store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: ln.Addr().String(), topics: make(map[string]*topic)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.handleAppend)
	mux.HandleFunc("GET /v1/log-read", s.handleRead)
	mux.HandleFunc("GET /v1/log-newest", s.handleNewest)
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

func (s *store) close() { _ = s.server.Close() }

// topic returns the named topic; the caller holds s.mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]keyedValue), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// add appends records to a topic and returns the offset of the first.
func (s *store) add(name string, records ...[]byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	first := len(t.records)
	for _, r := range records {
		if strings.HasPrefix(name, "keyed.") && len(r) > int(r[0]) {
			key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
			if len(value) == 0 {
				delete(t.newest, key)
			} else {
				t.newest[key] = keyedValue{value: value, offset: len(t.records)}
			}
		}
		t.records = append(t.records, r)
	}
	close(t.changed)
	t.changed = make(chan struct{})
	return first
}

// putConfig writes a version of the operator's configuration.
func (s *store) putConfig(data []byte) {
	const key = "config"
	record := append([]byte{byte(len(key))}, key...)
	s.add("keyed.op", append(record, data...))
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	first := s.add(r.URL.Query().Get("topic"), records...)
	writeJSON(w, map[string]int{"offset": first, "end_offset": first + len(records)})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	timeout := time.After(min(maxHold, time.Duration(waitMS)*time.Millisecond))
	for held := waitMS > 0; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		records, changed := t.records, t.changed
		s.mu.Unlock()
		if len(records) > from || !held {
			w.Header().Set("Content-Type", "application/octet-stream")
			_, _ = w.Write(chunk(records, from))
			return
		}
		select {
		case <-changed:
		case <-timeout:
			held = false
		case <-r.Context().Done():
			return
		}
	}
}

// chunk encodes the end and the first offset of a topic, and its records from an offset on.
func chunk(records [][]byte, from int) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(records); i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(records[i])))
		out = append(out, records[i]...)
	}
	return out
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int    `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	for k, v := range t.newest {
		if k > r.URL.Query().Get("after") {
			items = append(items, item{k, v.value, v.offset})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	writeJSON(w, map[string]any{"items": items, "has_more": false, "end_offset": len(t.records)})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
