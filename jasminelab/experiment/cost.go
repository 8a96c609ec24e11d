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

	"github.com/jasminevane/jasminevane/jasminelab/fleet"
	"github.com/jasminevane/jasminevane/jasminelab/load"
	"github.com/jasminevane/jasminevane/jasminelab/upstand"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/pkg/errors"
)

func init() {
	experiments["path"] = path
	experiments["control"] = control
}

const (
	pathSpan     = 8 * time.Second
	pathBound    = 2.0 // ms
	workers      = 64
	throughSpan  = 4 * time.Second
	controlSpan  = 10 * time.Second
	cpuBound     = 3.6  // percent of a core
	memoryBound  = 128  // MB
	bytesBound   = 6000 // bytes a second, sent and received
	clockTicks   = 100  // of /proc per second
	targetRoutes = 5400
	targetCaller = 38000
)

// path measures what the fleet adds to a request, beside a direct call and a bare forwarder.
func path(ctx context.Context, r *Run) error {
	shape := fleet.Carritos(3)
	shape.Link.DataCentres, shape.Link.Regions, shape.Link.Rate = 0, 0, 0
	for i := range shape.Services {
		shape.Services[i].Sigma = 0
		shape.Services[i].Mean = 20 * time.Millisecond
	}
	f, err := fleet.Up(ctx, shape, fleet.Options{Seed: r.opt.Seed})
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	v := shape.Services[0]
	alone, err := upstand.Start(upstand.Config{ID: "alone", Service: "none", Slots: shape.Slots, Mean: v.Mean, Size: shape.ResponseSize, Seed: 1}, "127.0.0.1:1")
	if err != nil {
		return err
	}
	defer alone.Close()
	g := load.New(f, r.opt.Seed)
	lctx, stop := context.WithCancel(ctx)
	defer stop()
	for _, s := range streams(shape, 0.5) {
		g.Start(lctx, s)
	}
	direct := v.Classes[1]
	direct.Name = "direct"
	one := shape.Capacity(v) / float64(v.Servers) * 0.5
	g.Start(lctx, &load.Stream{Service: v, Class: direct, Rate: one, Direct: alone.Announcement().Address})
	sleep(ctx, warmUp)
	from := time.Now()
	sleep(ctx, pathSpan)
	to := time.Now()
	stop()
	g.Wait()
	list := load.Summarize(g.Records(), from, to)
	base := load.Find(list, v.Name+"/direct")
	r.note("path.direct.p50", millis(base.P50), "ms")
	r.note("path.direct.p99", millis(base.P99), "ms")
	var all []load.Record
	for _, rec := range between(withoutDirect(g.Records()), from, to) {
		if rec.Stream.Service.Name == v.Name {
			all = append(all, rec)
		}
	}
	r.atMost("path.added.p99", millis(p99(all)-base.P99), "ms", pathBound)
	for _, c := range v.Classes {
		s := load.Find(list, v.Name+"/"+c.Name)
		r.note("path."+c.Name+".added.p50", millis(s.P50-base.P50), "ms")
		r.atMost("path."+c.Name+".added.p99", millis(s.P99-base.P99), "ms", pathBound)
	}
	r.audit("path.", load.Check(withoutDirect(g.Records()), f.Upstreams("")))
	return r.throughput(ctx, f)
}

func withoutDirect(records []load.Record) []load.Record {
	var out []load.Record
	for _, rec := range records {
		if rec.Stream.Direct == "" {
			out = append(out, rec)
		}
	}
	return out
}

// throughput compares a node with a bare forwarder, each a process, before a server that answers at once.
func (r *Run) throughput(ctx context.Context, f *fleet.Fleet) error {
	n := f.Nodes()[0]
	fast, err := upstand.Start(upstand.Config{ID: "fast", Service: "fast", Slots: 500, Conns: 500, Size: 1024, Seed: 1}, n.Addr.Upstream)
	if err != nil {
		return err
	}
	defer fast.Close()
	text := f.Shape.Bundle() + "\n[[service]]\nname = \"fast\"\nhosts = [\"fast.test\"]\nfloor = 0.5\n" +
		"[[class]]\nservice = \"fast\"\nname = \"all\"\ntimeout = \"2s\"\nidempotent = true\n" +
		"[[route]]\nservice = \"fast\"\nprefix = \"/\"\nmethod = \"GET\"\nclass = \"all\"\n"
	fate, err := f.Publish(ctx, text, n)
	if err != nil || fate.Result != rollout.Accepted {
		return errors.Errorf("publish: %v %v", fate, err)
	}
	sleep(ctx, 2*time.Second)
	bare, done, err := fleet.StartForwarder(fast.Announcement().Address)
	if err != nil {
		return err
	}
	defer done()
	node := closedLoop(ctx, n.Addr.Caller)
	forwarder := closedLoop(ctx, bare)
	r.note("path.node.throughput", node, "1/s")
	r.note("path.forwarder.throughput", forwarder, "1/s")
	r.atLeast("path.throughput", node/forwarder, "of forwarder", 0.5)
	return nil
}

// closedLoop returns the requests a second that some workers get through.
func closedLoop(ctx context.Context, addr string) float64 {
	ctx, cancel := context.WithTimeout(ctx, throughSpan)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workers}}
	defer client.CloseIdleConnections()
	var n atomic.Int64
	var wg sync.WaitGroup
	for range workers {
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
					n.Add(1)
				}
			}
		}()
	}
	wg.Wait()
	return float64(n.Load()) / throughSpan.Seconds()
}

// Forward serves as a bare forwarder to the server at addr: the least that any proxy does.
func Forward(ctx context.Context, addr string, ready func(string)) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t := &http.Transport{MaxIdleConnsPerHost: 2 * workers}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		out, err := http.NewRequestWithContext(req.Context(), req.Method, "http://"+addr+req.URL.RequestURI(), req.Body)
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		out.Host, out.Header = req.Host, req.Header
		resp, err := t.RoundTrip(out)
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
	ready(ln.Addr().String())
	go func() { <-ctx.Done(); _ = srv.Close() }()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// usage is what one process has used.
type usage struct {
	cpu    time.Duration
	memory float64 // MB
}

func processUsage(pid int) (usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return usage{}, err
	}
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	const utime, stime, rss = 11, 12, 21 // counted after the name
	u, _ := strconv.Atoi(fields[utime])
	s, _ := strconv.Atoi(fields[stime])
	pages, _ := strconv.Atoi(fields[rss])
	return usage{
		cpu:    time.Duration(u+s) * time.Second / clockTicks,
		memory: float64(pages*os.Getpagesize()) / 1e6,
	}, nil
}

// control measures what the nodes of an idle fleet spend, at several sizes, and then with a bundle of the target's size.
func control(ctx context.Context, r *Run) error {
	sizes := r.opt.Nodes
	if len(sizes) == 0 {
		sizes = []int{8, 24}
		if !r.opt.Quick {
			sizes = []int{10, 30, 100}
		}
	}
	for i, n := range sizes {
		if err := r.idle(ctx, n, i == 0); err != nil {
			return err
		}
	}
	return nil
}

// idle measures a fleet of n nodes, each beside one server without load.
func (r *Run) idle(ctx context.Context, n int, target bool) error {
	shape := fleet.Carritos(1)
	shape.Services[0].Servers = n / 2
	shape.Services[1].Servers = n - n/2
	f, err := fleet.Up(ctx, shape, fleet.Options{Seed: r.opt.Seed})
	if f != nil {
		defer f.Close()
	}
	if err != nil {
		return err
	}
	sleep(ctx, 3*time.Second)
	name := fmt.Sprintf("control.%d.", n)
	if err := r.spend(ctx, f, name); err != nil {
		return err
	}
	if !target {
		return nil
	}
	start := time.Now()
	fate, err := f.Publish(ctx, bigBundle(shape), f.Nodes()[0])
	if err != nil || fate.Result != rollout.Accepted {
		return errors.Errorf("publish: %+v %v", fate, err)
	}
	if err := f.WaitReady(ctx, 2); err != nil {
		return err
	}
	r.atMost(name+"target.force", time.Since(start).Seconds(), "s", 6)
	sleep(ctx, 3*time.Second)
	return r.spend(ctx, f, name+"target.")
}

// spend prints the mean processor time, memory and bytes of the nodes over a span.
func (r *Run) spend(ctx context.Context, f *fleet.Fleet, name string) error {
	nodes := f.Nodes()
	before := make([]usage, len(nodes))
	for i, n := range nodes {
		var err error
		if before[i], err = processUsage(n.Pid()); err != nil {
			return err
		}
	}
	from := f.Link.FarBytes() + f.Link.NearBytes()
	far := f.Link.FarBytes()
	sleep(ctx, controlSpan)
	passed := f.Link.FarBytes() + f.Link.NearBytes() - from
	var cpu time.Duration
	var memory float64
	for i, n := range nodes {
		u, err := processUsage(n.Pid())
		if err != nil {
			return err
		}
		cpu += u.cpu - before[i].cpu
		memory = max(memory, u.memory)
	}
	count := float64(len(nodes))
	// Each byte on the link was sent by one node and received by another.
	r.atMost(name+"bytes", 2*float64(passed)/controlSpan.Seconds()/count, "B/s", bytesBound)
	r.note(name+"far", float64(f.Link.FarBytes()-far)/controlSpan.Seconds(), "B/s in all")
	r.atMost(name+"cpu", 100*cpu.Seconds()/controlSpan.Seconds()/count, "% of a core", cpuBound)
	r.atMost(name+"memory", memory, "MB", memoryBound)
	return nil
}

// bigBundle returns a bundle with as many routes and callers as the target has.
func bigBundle(s fleet.Shape) string {
	var b strings.Builder
	b.WriteString(s.Bundle())
	for i := range targetRoutes {
		fmt.Fprintf(&b, "[[route]]\nservice = \"reservas\"\nprefix = \"/r%d\"\nmethod = \"GET\"\nclass = \"check\"\n", i)
	}
	for i := range targetCaller {
		fmt.Fprintf(&b, "[[caller]]\nname = \"c%d\"\nrate = 20\nburst = 40\n", i)
	}
	return b.String()
}
