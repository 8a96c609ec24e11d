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
	applyBound              = 3 * time.Second        // within which a version is in force after the store took it
	disturbedStoreAllowance = 5 * time.Second        // added while the store is disturbed
	rollbackTolerance       = 250 * time.Millisecond // within which an older version may still be seen
	probeInterval           = 60 * time.Millisecond
	probeTimeout            = time.Second
)

// versionProber asks the nodes which versions of the configuration are in force, with requests as callers send them.
type versionProber struct {
	disturbances *disturbances
	reportBreach func(promise, text string)
	http         *http.Client

	mu          sync.Mutex
	publishedAt []time.Time // by version, from 1
	highestSeen map[string]observation
	probes      int
}

// observation is the highest version whose effect a process has shown, and when.
type observation struct {
	version uint64
	at      time.Time
}

func newVersionProber(t *disturbances, breach func(promise, text string)) *versionProber {
	return &versionProber{
		disturbances: t, reportBreach: breach, publishedAt: []time.Time{time.Now()}, highestSeen: make(map[string]observation),
		http: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{}},
	}
}

// publish writes the next version.
func (m *versionProber) publish(f *fleet.Fleet) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	version := uint64(len(m.publishedAt) + 1)
	if err := f.Configure(f.Shape.Configuration(version)); err != nil {
		return err
	}
	m.publishedAt = append(m.publishedAt, time.Now())
	return nil
}

// run asks one node after another until ctx ends.
func (m *versionProber) run(ctx context.Context, f *fleet.Fleet, rnd *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		nodes := f.Nodes()
		if len(nodes) == 0 {
			continue
		}
		n := nodes[rnd.IntN(len(nodes))]
		m.mu.Lock()
		newest := uint64(len(m.publishedAt))
		m.mu.Unlock()
		m.probe(ctx, n, newest-rnd.Uint64N(min(newest, 3)))
	}
}

func (m *versionProber) probe(ctx context.Context, n *fleet.Node, version uint64) {
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
	m.checkResponse(n, version, sent, resp.StatusCode)
}

// checkResponse holds one answer against the versions that the store has taken and those that the process has shown.
func (m *versionProber) checkResponse(n *fleet.Node, version uint64, sent time.Time, status int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probes++
	process := fmt.Sprintf("%s@%d", n.Name, n.Started.UnixNano())
	last := m.highestSeen[process]
	if status == http.StatusOK {
		if version > last.version {
			m.highestSeen[process] = observation{version, time.Now()}
		}
		return
	}
	if status != http.StatusNotFound {
		return
	}
	if version <= last.version && sent.Sub(last.at) > rollbackTolerance {
		m.reportBreach("back", fmt.Sprintf("%s does not know version %d, though it showed %d %v before", n.Name, version, last.version, sent.Sub(last.at)))
	}
	age := sent.Sub(m.publishedAt[version-1])
	if age <= applyBound || !m.disturbances.undisturbedSince(sent.Add(-settleTime), n.Name) || sent.Sub(n.Started) < settleTime {
		return
	}
	if age > applyBound+disturbedStoreAllowance || m.disturbances.undisturbedSince(sent.Add(-settleTime), storeName) {
		m.reportBreach("config", fmt.Sprintf("%s does not know version %d after %v", n.Name, version, age))
	}
}
