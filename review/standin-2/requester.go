package main

import (
	"context"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// request is one attempt of a requester.
type request struct {
	id       string
	method   string
	path     string
	machine  int
	sent     time.Time
	answered time.Time
	status   int // 0 without an answer
	err      string
	wrong    bool // a success that isn't the server's whole answer
}

// send sends a request with some more headers, given as names and values, to the node of a machine and waits for the answer.
func (f *fleet) send(m *machine, method, path, body string, timeout time.Duration, headers ...string) *request {
	r := &request{id: fmt.Sprintf("%016x", rand.Uint64()), method: method, path: path, machine: m.index, sent: time.Now()}
	f.mu.Lock()
	f.requests = append(f.requests, r)
	f.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.outbound+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.GetBody = nil // no attempt is sent twice
	req.Host = "ficu95.example"
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	status, wrong, failure := 0, false, ""
	resp, err := f.client.Do(req)
	if err != nil {
		failure = err.Error()
	} else {
		data, readErr := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		status = resp.StatusCode
		if readErr != nil {
			status, failure = 0, readErr.Error()
		}
		seal := resp.Header.Get("Response-Seal")
		wrong = status/100 == 2 && (seal != fmt.Sprintf("%08x", crc32.ChecksumIEEE(data)) || !strings.HasPrefix(string(data), r.id))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	r.answered, r.status, r.err, r.wrong = time.Now(), status, failure, wrong
	return r
}

// load sends requests at a steady rate, spread over the machines, until stop is closed.
func (f *fleet) load(perSecond float64, stop <-chan struct{}, send func(m *machine)) {
	f.loadAt(f.machines, perSecond, stop, send)
}

// loadAt does the same with some of the machines.
func (f *fleet) loadAt(machines []*machine, perSecond float64, stop <-chan struct{}, send func(m *machine)) {
	interval := time.Duration(float64(time.Second) / perSecond)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		go send(machines[i%len(machines)])
	}
}

// since returns the time of the record at t.
func (f *fleet) since(t time.Time) float64 { return t.Sub(f.began).Seconds() }

// dump writes all requests and arrivals to the record.
func (f *fleet) dump() {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintln(f.out, "\nrequests: sent, answered, id, machine, method and path, status (0: none)")
	for _, r := range f.requests {
		fmt.Fprintf(f.out, "%9.3f %9.3f %s %d %s %s %d %s\n", f.since(r.sent), f.since(r.answered), r.id, r.machine, r.method, r.path, r.status, r.err)
	}
	fmt.Fprintln(f.out, "\narrivals at servers: time, id, server, instance, ran, status")
	for _, a := range f.arrivals {
		fmt.Fprintf(f.out, "%9.3f %s %d %s %v %d\n", f.since(a.at), a.id, a.server, a.instance, a.ran, a.status)
	}
}
