package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// answerTime is how long the store takes for an answer.
const answerTime = 4 * time.Millisecond

// producerState is what a partition knows of a producer: the newest epoch and the next sequence number in it.
type producerState struct {
	epoch, next uint64
	last        []byte // answer to the last append, for a repeat
	lastSeq     uint64
}

// topic is the only partition of a topic.
type topic struct {
	records   [][]byte
	newest    map[string]int // offset of the newest record of each key, for a keyed topic
	producers map[string]*producerState
	changed   chan struct{} // closed by the next append
}

// store is a stand-in of the platform's log.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	server *http.Server
	addr   string
}

func startStore() (*store, error) {
	s := &store{topics: make(map[string]*topic)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.handleAppend)
	mux.HandleFunc("GET /v1/log-read", s.handleRead)
	mux.HandleFunc("GET /v1/log-newest", s.handleNewest)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = ln.Addr().String()
	s.server = &http.Server{Handler: mux}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// topic returns the named topic, which is created on its first use. The caller holds s.mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: make(map[string]int), producers: make(map[string]*producerState), changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(keyed bool, record []byte) {
	offset := len(t.records)
	t.records = append(t.records, record)
	if !keyed || len(record) == 0 || len(record) < 1+int(record[0]) {
		return
	}
	key := string(record[1 : 1+int(record[0])])
	if len(record) == 1+len(key) {
		delete(t.newest, key)
		return
	}
	t.newest[key] = offset
}

func isKeyed(name string) bool { return len(name) > 6 && name[:6] == "keyed." }

// putConfig writes the operator's configuration; its return is the acknowledgement.
func (s *store) putConfig(config any) error {
	value, err := json.Marshal(config)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic("keyed.op")
	t.add(true, append([]byte{byte(len("config"))}, append([]byte("config"), value...)...))
	close(t.changed)
	t.changed = make(chan struct{})
	return nil
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(answerTime)
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			http.Error(w, "record", http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	q := r.URL.Query()
	name := q.Get("topic")
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(len(t.records)) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": len(t.records)})
		return
	}
	state, seq := (*producerState)(nil), uint64(0)
	if producer := q.Get("producer"); producer != "" {
		epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseUint(q.Get("seq"), 10, 64)
		state = t.producers[producer]
		if state == nil {
			state = &producerState{}
			t.producers[producer] = state
		}
		switch {
		case epoch < state.epoch:
			reply(w, http.StatusConflict, map[string]any{"why": "fenced"})
			return
		case epoch > state.epoch:
			state.epoch, state.next, state.last = epoch, seq, nil
		case state.last != nil && seq == state.lastSeq:
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(state.last)
			return
		case seq != state.next:
			reply(w, http.StatusConflict, map[string]any{"why": "seq", "seq": state.next})
			return
		}
	}
	offset := len(t.records)
	for _, record := range records {
		t.add(isKeyed(name), record)
	}
	answer, _ := json.Marshal(map[string]any{"offset": offset, "end_offset": len(t.records)})
	if state != nil {
		state.next, state.lastSeq, state.last = seq+1, seq, answer
	}
	if len(records) > 0 {
		close(t.changed)
		t.changed = make(chan struct{})
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(answer)
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	time.Sleep(answerTime)
	for waiting := true; waiting; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		news, changed := len(t.records) > from, t.changed
		s.mu.Unlock()
		if news {
			break
		}
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i < len(t.records); i++ {
		out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[i])))
		out = append(out, t.records[i]...)
	}
	_, _ = w.Write(out)
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	const pageItems = 500
	time.Sleep(answerTime)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if after := q.Get("after"); after == "" || key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items := []map[string]any{}
	for _, key := range keys[:min(pageItems, len(keys))] {
		offset := t.newest[key]
		value := t.records[offset][1+len(key):]
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(value), "offset": offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": len(keys) > pageItems, "end_offset": len(t.records)})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
