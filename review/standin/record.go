package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// entry is one thing that a stand-in has seen.
type entry struct {
	at   time.Time
	what string // such as sent, answered, run
	id   string // of the request, or of what else the entry is about
	text string
}

// record collects what the stand-ins see.
type record struct {
	mu      sync.Mutex
	start   time.Time
	entries []entry
}

func newRecord() *record { return &record{start: time.Now()} }

// add adds an entry and returns its time.
func (r *record) add(what, id, format string, args ...any) time.Time {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries = append(r.entries, entry{now, what, id, fmt.Sprintf(format, args...)})
	return now
}

// all returns the entries so far.
func (r *record) all() []entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]entry(nil), r.entries...)
}

// since returns the seconds from the start of the record.
func (r *record) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// write writes the entries to a file.
func (r *record) write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, e := range r.all() {
		fmt.Fprintf(f, "%8.3f %-9s %s %s\n", r.since(e.at), e.what, e.id, e.text)
	}
	return f.Sync()
}
