package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fleet"
)

const (
	applyBound = 3 * time.Second        // within which a version is in force after the store took it
	skewBound  = 5 * time.Second        // added while the store is disturbed
	backSlack  = 250 * time.Millisecond // within which an older version may still be seen
	askEvery   = 60 * time.Millisecond
	askLimit   = time.Second
)

// marks asks the nodes which versions of the configuration are in force, with requests as callers send them.
type marks struct {
	touch  *touch
	breach func(promise, text string)
	http   *http.Client

	mu    sync.Mutex
	acked []time.Time // by version, from 1
	seen  map[string]sighting
	asked int
}

// sighting is the highest version whose effect a process has shown, and when.
type sighting struct {
	version uint64
	at      time.Time
}

func newMarks(t *touch, breach func(promise, text string)) *marks {
	return &marks{
		touch: t, breach: breach, acked: []time.Time{time.Now()}, seen: make(map[string]sighting),
		http: &http.Client{Timeout: askLimit, Transport: &http.Transport{}},
	}
}

// publish writes the next version.
func (m *marks) publish(f *fleet.Fleet) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	version := uint64(len(m.acked) + 1)
	if err := f.Configure(f.Shape.Configuration(version)); err != nil {
		return err
	}
	m.acked = append(m.acked, time.Now())
	return nil
}

// run asks one node after another until ctx ends.
func (m *marks) run(ctx context.Context, f *fleet.Fleet, rnd *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, askEvery)
		nodes := f.Nodes()
		if len(nodes) == 0 {
			continue
		}
		n := nodes[rnd.IntN(len(nodes))]
		m.mu.Lock()
		newest := uint64(len(m.acked))
		m.mu.Unlock()
		m.ask(ctx, n, newest-rnd.Uint64N(min(newest, 3)))
	}
}

func (m *marks) ask(ctx context.Context, n *fleet.Node, version uint64) {
	sent := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Addr.Caller+fleet.MarkerPath(version)+"x", nil)
	if err != nil {
		return
	}
	req.Host = fleet.MarkerHost
	req.Header.Set("Request-Id", fmt.Sprintf("mark-%s-%d-%d", n.Name, version, sent.UnixNano()))
	req.Header.Set("Timeout-Ms", "500")
	resp, err := m.http.Do(req)
	if err != nil {
		return // a node that is away says nothing of its configuration
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	m.judge(n, version, sent, resp.StatusCode)
}

// judge holds one answer against the versions that the store has taken and those that the process has shown.
func (m *marks) judge(n *fleet.Node, version uint64, sent time.Time, status int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.asked++
	id := fmt.Sprintf("%s@%d", n.Name, n.Started.UnixNano())
	last := m.seen[id]
	if status == http.StatusOK {
		if version > last.version {
			m.seen[id] = sighting{version, time.Now()}
		}
		return
	}
	if status != http.StatusNotFound {
		return
	}
	if version <= last.version && sent.Sub(last.at) > backSlack {
		m.breach("back", fmt.Sprintf("%s does not know version %d, though it showed %d %v before", n.Name, version, last.version, sent.Sub(last.at)))
	}
	age := sent.Sub(m.acked[version-1])
	if age <= applyBound || !m.touch.calmSince(sent.Add(-settle), n.Name) || sent.Sub(n.Started) < settle {
		return
	}
	if age > applyBound+skewBound || m.touch.calmSince(sent.Add(-settle), storeName) {
		m.breach("config", fmt.Sprintf("%s does not know version %d after %v", n.Name, version, age))
	}
}
