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
	applyBound              = 3 * time.Second        // time after its publication within which a node must have a version in force
	disturbedStoreAllowance = 5 * time.Second        // added to applyBound if the store was disturbed
	rollbackTolerance       = 250 * time.Millisecond // time for which a process may still apply an older version than one seen before
	probeInterval           = 60 * time.Millisecond
	probeTimeout            = time.Second
)

// versionProber publishes versions of the configuration and probes, with requests as callers send them, which versions the
// nodes have in force.
type versionProber struct {
	disturbances *disturbances
	reportBreach func(promise, text string)
	http         *http.Client

	mu          sync.Mutex
	publishedAt []time.Time            // by version; index 0 is version 1
	highestSeen map[string]observation // by process
	probes      int
}

// observation is the highest version that a process was seen to have in force, and when.
type observation struct {
	version uint64
	at      time.Time
}

func newVersionProber(d *disturbances, reportBreach func(promise, text string)) *versionProber {
	return &versionProber{
		disturbances: d, reportBreach: reportBreach, publishedAt: []time.Time{time.Now()}, highestSeen: make(map[string]observation),
		http: &http.Client{Timeout: probeTimeout, Transport: &http.Transport{}},
	}
}

// publish writes the next version of the configuration to the store.
func (p *versionProber) publish(f *fleet.Fleet) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	version := uint64(len(p.publishedAt) + 1)
	if err := f.Configure(f.Deployment.Configuration(version)); err != nil {
		return err
	}
	p.publishedAt = append(p.publishedAt, time.Now())
	return nil
}

// run probes random nodes for one of the newest three versions until ctx ends.
func (p *versionProber) run(ctx context.Context, f *fleet.Fleet, rnd *rand.Rand) {
	for ctx.Err() == nil {
		sleep(ctx, probeInterval)
		nodes := f.Nodes()
		if len(nodes) == 0 {
			continue
		}
		n := nodes[rnd.IntN(len(nodes))]
		p.mu.Lock()
		newest := uint64(len(p.publishedAt))
		p.mu.Unlock()
		p.probe(ctx, n, newest-rnd.Uint64N(min(newest, 3)))
	}
}

func (p *versionProber) probe(ctx context.Context, n *fleet.Node, version uint64) {
	sent := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Addresses.Caller+fleet.MarkerPath(version)+"x", nil)
	if err != nil {
		return
	}
	req.Host = fleet.MarkerHost
	req.Header.Set("Request-Id", fmt.Sprintf("mark-%s-%d-%d", n.Name, version, sent.UnixNano()))
	req.Header.Set("Timeout-Ms", "500")
	resp, err := p.http.Do(req)
	if err != nil {
		return // an unreachable node shows nothing of its configuration
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	p.checkResponse(n, version, sent, resp.StatusCode)
}

// checkResponse checks one response against the published versions and the highest version seen from the process.
func (p *versionProber) checkResponse(n *fleet.Node, version uint64, sent time.Time, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probes++
	process := fmt.Sprintf("%s@%d", n.Name, n.Started.UnixNano())
	last := p.highestSeen[process]
	if status == http.StatusOK {
		if version > last.version {
			p.highestSeen[process] = observation{version, time.Now()}
		}
		return
	}
	if status != http.StatusNotFound {
		return
	}
	if version <= last.version && sent.Sub(last.at) > rollbackTolerance {
		p.reportBreach("back", fmt.Sprintf("%s does not know version %d, though it showed %d %v before", n.Name, version, last.version, sent.Sub(last.at)))
	}
	age := sent.Sub(p.publishedAt[version-1])
	if age <= applyBound || !p.disturbances.undisturbedSince(sent.Add(-settleTime), n.Name) || sent.Sub(n.Started) < settleTime {
		return
	}
	if age > applyBound+disturbedStoreAllowance || p.disturbances.undisturbedSince(sent.Add(-settleTime), storeName) {
		p.reportBreach("config", fmt.Sprintf("%s does not know version %d after %v", n.Name, version, age))
	}
}
