package experiment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fakeupstream"
	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/pkg/errors"
)

func init() {
	experiments["path"] = requestOverhead
	experiments["control"] = idleCost
}

const (
	pathDuration          = 8 * time.Second  // duration of the latency measurement
	maxAddedMillis        = 2.0              // maximum latency that a node may add, at the 99th percentile
	closedLoopWorkerCount = 64               // number of concurrent clients
	throughputDuration    = 4 * time.Second  // duration of each throughput measurement
	controlDuration       = 10 * time.Second // duration of each measurement of an idle fleet
	maxCPUPercent         = 3.6              // maximum CPU use in percent of one core, mean of all nodes
	maxMemoryMB           = 128              // maximum memory of any node
	maxBytesPerSecond     = 6000             // maximum traffic sent and received, mean of all nodes
	clockTicksPerSecond   = 100              // unit of the CPU times in /proc
	targetRouteCount      = 5400             // number of routes in the target deployment
	targetCallerCount     = 38000            // number of callers in the target deployment
)

// requestOverhead measures the latency that the fleet adds compared with a direct call to an upstream,
// and the throughput of a node compared with a minimal reverse proxy.
func requestOverhead(ctx context.Context, r *Run) error {
	deployment := fleet.Carritos(3)
	deployment.Link.DataCentreDelay, deployment.Link.RegionDelay, deployment.Link.RegionBandwidth = 0, 0, 0
	for i := range deployment.Services {
		deployment.Services[i].Sigma = 0
		deployment.Services[i].MedianServiceTime = 20 * time.Millisecond
	}
	f, err := fleet.StartAndWait(ctx, deployment, fleet.Options{Seed: r.opt.Seed})
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	svc := deployment.Services[0]
	directUpstream, err := fakeupstream.Start(fakeupstream.Config{ID: "alone", Service: "none", Slots: deployment.Slots, MedianServiceTime: svc.MedianServiceTime, ResponseSize: deployment.ResponseSize, Seed: 1}, "127.0.0.1:1")
	if err != nil {
		return err
	}
	defer directUpstream.Close()
	g := load.New(f, r.opt.Seed)
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	for _, s := range streams(deployment, 0.5) {
		g.Start(loadCtx, s)
	}
	directClass := svc.Classes[1]
	directClass.Name = "direct"
	directRate := deployment.Capacity(svc) / float64(svc.ServerCount) * 0.5
	g.Start(loadCtx, &load.Stream{Service: svc, Class: directClass, Rate: directRate, DirectAddr: directUpstream.Announcement().Address})
	sleep(ctx, warmUp)
	from := time.Now()
	sleep(ctx, pathDuration)
	to := time.Now()
	stopLoad()
	g.Wait()
	summaries := load.Summarize(g.Records(), from, to)
	baseline := load.FindSummary(summaries, svc.Name+"/direct")
	r.report("path.direct.p50", millis(baseline.P50), "ms")
	r.report("path.direct.p99", millis(baseline.P99), "ms")
	var proxied []load.Record
	for _, rec := range between(withoutDirect(g.Records()), from, to) {
		if rec.Stream.Service.Name == svc.Name {
			proxied = append(proxied, rec)
		}
	}
	r.atMost("path.added.p99", millis(p99(proxied)-baseline.P99), "ms", maxAddedMillis)
	for _, class := range svc.Classes {
		s := load.FindSummary(summaries, svc.Name+"/"+class.Name)
		r.report("path."+class.Name+".added.p50", millis(s.P50-baseline.P50), "ms")
		r.atMost("path."+class.Name+".added.p99", millis(s.P99-baseline.P99), "ms", maxAddedMillis)
	}
	r.reportAudit("path.", load.Check(withoutDirect(g.Records()), f.Upstreams("")))
	return r.reportThroughput(ctx, f)
}

// withoutDirect returns the records of the requests that were sent through nodes.
func withoutDirect(records []load.Record) []load.Record {
	var proxied []load.Record
	for _, rec := range records {
		if rec.Stream.DirectAddr == "" {
			proxied = append(proxied, rec)
		}
	}
	return proxied
}

// reportThroughput compares the throughput of a node with that of a minimal reverse proxy.
// Each is a process of its own in front of an upstream that answers at once.
func (r *Run) reportThroughput(ctx context.Context, f *fleet.Fleet) error {
	n := f.Nodes()[0]
	fastUpstream, err := fakeupstream.Start(fakeupstream.Config{ID: "fast", Service: "fast", Slots: 500, MaxConns: 500, ResponseSize: 1024, Seed: 1}, n.Addresses.Upstream)
	if err != nil {
		return err
	}
	defer fastUpstream.Close()
	bundle := f.Deployment.Bundle() + "\n[[service]]\nname = \"fast\"\nhosts = [\"fast.test\"]\nfloor = 0.5\n" +
		"[[class]]\nservice = \"fast\"\nname = \"all\"\ntimeout = \"2s\"\nidempotent = true\n" +
		"[[route]]\nservice = \"fast\"\nprefix = \"/\"\nmethod = \"GET\"\nclass = \"all\"\n"
	result, err := f.Publish(ctx, bundle, n)
	if err != nil || result.Result != rollout.Accepted {
		return errors.Errorf("publish bundle: result %v, error %v", result, err)
	}
	sleep(ctx, 2*time.Second)
	forwarderAddr, stopForwarder, err := fleet.StartForwarder(fastUpstream.Announcement().Address)
	if err != nil {
		return err
	}
	defer stopForwarder()
	nodeRate := closedLoopRate(ctx, n.Addresses.Caller)
	forwarderRate := closedLoopRate(ctx, forwarderAddr)
	r.report("path.node.throughput", nodeRate, "1/s")
	r.report("path.forwarder.throughput", forwarderRate, "1/s")
	r.atLeast("path.throughput", nodeRate/forwarderRate, "of forwarder", 0.5)
	return nil
}

// closedLoopRate returns the successful requests per second of closedLoopWorkerCount workers
// that each send their next request when the previous one has ended.
func closedLoopRate(ctx context.Context, addr string) float64 {
	ctx, cancel := context.WithTimeout(ctx, throughputDuration)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: closedLoopWorkerCount}}
	defer client.CloseIdleConnections()
	var completed atomic.Int64
	var wg sync.WaitGroup
	for range closedLoopWorkerCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for ctx.Err() == nil {
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/x", nil)
				if err != nil {
					return
				}
				req.Host = "fast.test"
				resp, err := client.Do(req)
				if err != nil {
					continue
				}
				_, err = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if err == nil && resp.StatusCode == http.StatusOK {
					completed.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	return float64(completed.Load()) / throughputDuration.Seconds()
}

// Forward serves as a minimal reverse proxy to the server at addr until ctx ends: it is the baseline for a node's throughput.
// It calls ready with the address on which it listens.
func Forward(ctx context.Context, addr string, ready func(string)) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 2 * closedLoopWorkerCount}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		outReq, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+addr+req.URL.RequestURI(), req.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		outReq.Host, outReq.Header = req.Host, req.Header
		resp, err := transport.RoundTrip(outReq)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		for k, v := range resp.Header {
			w.Header()[k] = v
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(w, resp.Body)
	})}
	ready(listener.Addr().String())
	go func() { <-ctx.Done(); _ = srv.Close() }()
	if err := srv.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// usage is the CPU time that a process has used and its resident memory.
type usage struct {
	cpu    time.Duration
	memory float64 // MB
}

// processUsage reads the usage of a process from /proc.
func processUsage(pid int) (usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const utime, stime, rss = 11, 12, 21 // indexes of the fields after the process name
	userTicks, _ := strconv.Atoi(fields[utime])
	systemTicks, _ := strconv.Atoi(fields[stime])
	pages, _ := strconv.Atoi(fields[rss])
	return usage{
		cpu:    time.Duration(userTicks+systemTicks) * time.Second / clockTicksPerSecond,
		memory: float64(pages*os.Getpagesize()) / 1e6,
	}, nil
}

// idleCost measures the traffic, CPU time and memory of the nodes of an idle fleet at several sizes.
// At the first size, it also measures them with a bundle of the target deployment's size.
func idleCost(ctx context.Context, r *Run) error {
	sizes := r.opt.NodeCounts
	if len(sizes) == 0 {
		sizes = []int{8, 24}
		if !r.opt.Quick {
			sizes = []int{10, 30, 100}
		}
	}
	for i, nodes := range sizes {
		if err := r.measureIdleFleet(ctx, nodes, i == 0); err != nil {
			return err
		}
	}
	return nil
}

// measureIdleFleet measures a fleet with the given number of nodes, each beside one upstream, without load.
func (r *Run) measureIdleFleet(ctx context.Context, nodes int, withTargetBundle bool) error {
	deployment := fleet.Carritos(1)
	deployment.Services[0].ServerCount = nodes / 2
	deployment.Services[1].ServerCount = nodes - nodes/2
	f, err := fleet.StartAndWait(ctx, deployment, fleet.Options{Seed: r.opt.Seed})
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	sleep(ctx, 3*time.Second)
	prefix := fmt.Sprintf("control.%d.", nodes)
	if err := r.reportUsage(ctx, f, prefix); err != nil {
		return err
	}
	if !withTargetBundle {
		return nil
	}
	start := time.Now()
	result, err := f.Publish(ctx, targetBundle(deployment), f.Nodes()[0])
	if err != nil || result.Result != rollout.Accepted {
		return errors.Errorf("publish bundle: result %+v, error %v", result, err)
	}
	if err := f.WaitReady(ctx, 2); err != nil {
		return err
	}
	r.atMost(prefix+"target.force", time.Since(start).Seconds(), "s", 6)
	sleep(ctx, 3*time.Second)
	return r.reportUsage(ctx, f, prefix+"target.")
}

// reportUsage prints the mean traffic and CPU time per node, the traffic between regions and the highest memory of any node
// over controlDuration.
func (r *Run) reportUsage(ctx context.Context, f *fleet.Fleet, prefix string) error {
	nodes := f.Nodes()
	usageBefore := make([]usage, len(nodes))
	for i, n := range nodes {
		var err error
		if usageBefore[i], err = processUsage(n.Pid()); err != nil {
			return err
		}
	}
	bytesBefore := f.Link.InterRegionBytes() + f.Link.IntraRegionBytes()
	interRegionBytesBefore := f.Link.InterRegionBytes()
	sleep(ctx, controlDuration)
	transferred := f.Link.InterRegionBytes() + f.Link.IntraRegionBytes() - bytesBefore
	var cpu time.Duration
	var memory float64
	for i, n := range nodes {
		u, err := processUsage(n.Pid())
		if err != nil {
			return err
		}
		cpu += u.cpu - usageBefore[i].cpu
		memory = max(memory, u.memory)
	}
	nodeCount := float64(len(nodes))
	// Each byte on the link was sent by one node and received by another.
	r.atMost(prefix+"bytes", 2*float64(transferred)/controlDuration.Seconds()/nodeCount, "B/s", maxBytesPerSecond)
	r.report(prefix+"far", float64(f.Link.InterRegionBytes()-interRegionBytesBefore)/controlDuration.Seconds(), "B/s in all")
	r.atMost(prefix+"cpu", 100*cpu.Seconds()/controlDuration.Seconds()/nodeCount, "% of a core", maxCPUPercent)
	r.atMost(prefix+"memory", memory, "MB", maxMemoryMB)
	return nil
}

// targetBundle returns a bundle with as many routes and callers as the target deployment has.
func targetBundle(deployment fleet.Deployment) string {
	var b strings.Builder
	b.WriteString(deployment.Bundle())
	for i := range targetRouteCount {
		fmt.Fprintf(&b, "[[route]]\nservice = \"reservas\"\nprefix = \"/r%d\"\nmethod = \"GET\"\nclass = \"check\"\n", i)
	}
	for i := range targetCallerCount {
		fmt.Fprintf(&b, "[[caller]]\nname = \"c%d\"\nrate = 20\nburst = 40\n", i)
	}
	return b.String()
}
