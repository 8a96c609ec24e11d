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
	maxApplyDelay       = 2 * time.Second        // maximum time from the publication of a version until every node has it in force
	storeFaultAllowance = 5 * time.Second        // added to maxApplyDelay if the store had a fault
	rollbackTolerance   = 250 * time.Millisecond // time after a process has shown a version for which it may still show an older one
	probeInterval       = 60 * time.Millisecond  // time between probes
	probeTimeout        = time.Second            // timeout of a probe
)

// versionProber publishes versions of the configuration. It sends requests for the marker routes to the nodes to find out
// which versions they have in force.
type versionProber struct {
	faultTracker    *faultTracker
	reportViolation func(guarantee, text string) // called for each violation
	http            *http.Client

	mu              sync.Mutex
	publishedAt     []time.Time            // publication time of each version; index 0 is version 1
	highestVersions map[string]observation // highest version seen from each process, by node name and start time
	probeCount      int                    // number of responses received
}

// observation is the highest version that a process was seen to have in force, and when.
type observation struct {
	version uint64
	at      time.Time
}

func newVersionProber(tracker *faultTracker, reportViolation func(guarantee, text string)) *versionProber {
	return &versionProber{
		faultTracker: tracker, reportViolation: reportViolation, publishedAt: []time.Time{time.Now()}, highestVersions: make(map[string]observation),
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

// publishAgain writes the newest version to the store once more.
func (p *versionProber) publishAgain(f *fleet.Fleet) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return f.Configure(f.Deployment.Configuration(uint64(len(p.publishedAt))))
}

// run repeatedly probes a random node for one of the newest three versions until ctx ends.
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
	sentAt := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.Addresses.Caller+fleet.MarkerPath(version)+"x", nil)
	if err != nil {
		return
	}
	req.Host = fleet.MarkerHost
	req.Header.Set("Request-Id", fmt.Sprintf("mark-%s-%d-%d", n.Name, version, sentAt.UnixNano()))
	req.Header.Set("Timeout-Ms", "500")
	resp, err := p.http.Do(req)
	if err != nil {
		return // without a response, the version in force is unknown
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	p.checkResponse(n, version, sentAt, resp.StatusCode)
}

// checkResponse checks the response of a node to a request for the marker route of the version: status 200 means that the
// version is in force, 404 that it is not. It reports a violation if a process has rolled back to an older version or if the
// version is not in force in time.
func (p *versionProber) checkResponse(n *fleet.Node, version uint64, sentAt time.Time, status int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probeCount++
	processID := fmt.Sprintf("%s@%d", n.Name, n.StartedAt.UnixNano())
	highest := p.highestVersions[processID]
	if status == http.StatusOK {
		if version > highest.version {
			p.highestVersions[processID] = observation{version, time.Now()}
		}
		return
	}
	if status != http.StatusNotFound {
		return
	}
	if version <= highest.version && sentAt.Sub(highest.at) > rollbackTolerance {
		p.reportViolation("back", fmt.Sprintf("%s does not know version %d, though it showed %d %v before", n.Name, version, highest.version, sentAt.Sub(highest.at)))
	}
	age := sentAt.Sub(p.publishedAt[version-1])
	if age <= maxApplyDelay || !p.faultTracker.faultFreeSince(sentAt.Add(-settleTime), n.Name) || sentAt.Sub(n.StartedAt) < settleTime {
		return
	}
	if age > maxApplyDelay+storeFaultAllowance || p.faultTracker.faultFreeSince(sentAt.Add(-settleTime), storeName) {
		p.reportViolation("config", fmt.Sprintf("%s does not know version %d after %v", n.Name, version, age))
	}
}
