package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/jasminelab/fakelog"
	"github.com/jasminevane/jasminevane/jasminelab/fakeupstream"
	"github.com/jasminevane/jasminevane/jasminelab/link"
	"github.com/jasminevane/jasminevane/keyring"
	"github.com/jasminevane/jasminevane/operator"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/pkg/errors"
)

const (
	readyTimeout        = 20 * time.Second      // maximum time until a fleet is ready
	maxAppendsPerSecond = 300                   // maximum number of appends per second that the store accepts
	pollInterval        = 20 * time.Millisecond // a fifth of the interval at which WaitReady polls the nodes
)

// Fleet is a running deployment.
type Fleet struct {
	Deployment     Deployment
	Log            *fakelog.Log // the simulated store
	Link           *link.Link
	StoreURL       string
	SigningKeys    []keyring.Secret // signing keys of the operators
	dir            string           // temporary directory of the settings files
	http           *http.Server     // serves Log at StoreURL
	mu             sync.Mutex
	nodes          []*Node
	upstreams      []*fakeupstream.Server
	upstreamByNode map[string]string // ids of upstream servers, by the name of the node beside them
	lastNodeNumber int               // number at the end of the newest node's name
	seed           uint64
	opt            Options
	ctx            context.Context
}

// StoreSite is the name of the platform's store on the simulated network.
const StoreSite = "store"

// Options configures a fleet.
type Options struct {
	Seed           uint64
	Retention      time.Duration // time for which the store keeps records; 0 for ever
	NoUpstream     bool          // start the nodes without upstream servers
	ExtraNodeCount int           // number of additional nodes without upstream servers
	Protocol       fakeupstream.Protocol
	LogDir         string // directory for the nodes' logs; if empty, nodes log only errors, to standard error
}

// Start starts the deployment with one node beside each upstream server. It publishes no bundle or configuration; see StartAndWait.
// A fleet that is returned with an error has to be closed too.
func Start(ctx context.Context, deployment Deployment, opt Options) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "jasminelab")
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Deployment: deployment, dir: dir, seed: opt.Seed, opt: opt, ctx: ctx,
		Log:            fakelog.New(maxAppendsPerSecond, opt.Retention, opt.Seed),
		upstreamByNode: make(map[string]string),
	}
	for _, name := range []string{"ana", "bruno"} {
		k, err := keyring.Generate(name)
		if err != nil {
			return nil, err
		}
		f.SigningKeys = append(f.SigningKeys, k)
	}
	if f.Link, err = link.Listen(deployment.Link); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.StoreURL = "http://" + ln.Addr().String()
	f.Link.SetSite(link.Site{Name: StoreSite, DataCentre: StoreSite, Region: deployment.DataCentres[0].Region}, ln.Addr().String())
	f.http = &http.Server{Handler: f.Log.Handler()}
	go func() { _ = f.http.Serve(ln) }()
	return f, f.populate(opt)
}

func (f *Fleet) populate(opt Options) error {
	type instance struct {
		service Service
		number  int
	}
	var instances []instance
	for _, s := range f.Deployment.Services {
		for i := range s.ServerCount {
			instances = append(instances, instance{s, i})
		}
	}
	for i := range instances {
		dc := f.Deployment.DataCentres[i%len(f.Deployment.DataCentres)]
		n, err := f.addNode(dc, instances[i].service.Name)
		if err != nil {
			return err
		}
		if opt.NoUpstream {
			continue
		}
		if err := f.addUpstream(instances[i].service, instances[i].number, n); err != nil {
			return err
		}
	}
	for i := range opt.ExtraNodeCount {
		if _, err := f.addNode(f.Deployment.DataCentres[i%len(f.Deployment.DataCentres)], f.Deployment.Services[0].Name); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) addUpstream(s Service, number int, n *Node) error {
	cfg := fakeupstream.Config{
		ID: fmt.Sprintf("%s-%d", s.Name, number), Service: s.Name, Slots: f.Deployment.Slots, MaxConns: f.Deployment.MaxConns,
		MedianServiceTime: s.MedianServiceTime, Sigma: s.Sigma, ResponseSize: f.Deployment.ResponseSize, Seed: f.seed*1000 + uint64(len(f.upstreams)), Protocol: f.opt.Protocol,
	}
	_, err := f.startUpstream(cfg, n)
	return err
}

func (f *Fleet) startUpstream(cfg fakeupstream.Config, n *Node) (*fakeupstream.Server, error) {
	u, err := fakeupstream.Start(cfg, n.Addresses.Upstream)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.upstreams = append(f.upstreams, u)
	f.upstreamByNode[n.Name] = cfg.ID
	return u, nil
}

// addNode starts one more node in the data centre, on an instance of the service.
func (f *Fleet) addNode(dc DataCentre, service string) (*Node, error) {
	f.mu.Lock()
	f.lastNodeNumber++
	name := fmt.Sprintf("%s-%d", dc.Name, f.lastNodeNumber)
	var seeds []string
	for _, n := range f.nodes {
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", n.Addresses.Peer))
		}
	}
	f.mu.Unlock()
	settingsFile := filepath.Join(f.dir, name+".toml")
	if err := os.WriteFile(settingsFile, []byte(f.settings(name, dc, service, seeds)), 0o600); err != nil {
		return nil, err
	}
	return f.startProcess(name, dc, service, settingsFile)
}

// Protocol returns the protocol that the fleet uses with callers and upstream servers.
func (f *Fleet) Protocol() fakeupstream.Protocol { return f.opt.Protocol }

// Nodes returns the running nodes.
func (f *Fleet) Nodes() []*Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*Node(nil), f.nodes...)
}

// Upstreams returns the upstream servers of the service, or of all services if it is empty.
func (f *Fleet) Upstreams(service string) []*fakeupstream.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	var servers []*fakeupstream.Server
	for _, u := range f.upstreams {
		if service == "" || u.Service() == service {
			servers = append(servers, u)
		}
	}
	return servers
}

// UpstreamOf returns the upstream server beside the node, or nil.
func (f *Fleet) UpstreamOf(n *Node) *fakeupstream.Server {
	for _, u := range f.Upstreams("") {
		if u.ID() == f.upstreamByNode[n.Name] {
			return u
		}
	}
	return nil
}

func (f *Fleet) remove(n *Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, other := range f.nodes {
		if other == n {
			f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
			return
		}
	}
}

// Replace starts a node with a new name in the data centre of the old node and hands the old node's upstream server over to it.
func (f *Fleet) Replace(oldNode *Node) (*Node, error) {
	n, err := f.addNode(oldNode.DataCentre, oldNode.Service)
	if err != nil {
		return nil, err
	}
	f.handOverUpstream(oldNode, n)
	return n, nil
}

// Restart starts a stopped or killed node again, beside the same upstream server.
func (f *Fleet) Restart(oldNode *Node) (*Node, error) {
	n, err := f.startProcess(oldNode.Name, oldNode.DataCentre, oldNode.Service, oldNode.settingsFile)
	if err != nil {
		return nil, err
	}
	f.handOverUpstream(oldNode, n)
	return n, nil
}

// handOverUpstream makes the upstream server of one node announce itself to another.
func (f *Fleet) handOverUpstream(oldNode, n *Node) {
	u := f.UpstreamOf(oldNode)
	if u == nil {
		return
	}
	f.mu.Lock()
	delete(f.upstreamByNode, oldNode.Name)
	f.upstreamByNode[n.Name] = u.ID()
	f.mu.Unlock()
	u.AnnounceTo(n.Addresses.Upstream)
}

// RedeployUpstream starts another upstream server of the same service beside the node, as a new deployment does. The server
// announces id and the start time startMillis, in Unix milliseconds. The former server is not stopped.
func (f *Fleet) RedeployUpstream(n *Node, id string, startMillis uint64) (*fakeupstream.Server, error) {
	oldServer := f.UpstreamOf(n)
	if oldServer == nil {
		return nil, errors.Errorf("no server beside %s", n.Name)
	}
	cfg := oldServer.Config()
	cfg.ID, cfg.Incarnation, cfg.Seed = id, startMillis, cfg.Seed+1
	return f.startUpstream(cfg, n)
}

// Close kills all nodes and closes the simulated store, upstreams and network.
func (f *Fleet) Close() {
	for _, n := range f.Nodes() {
		_ = n.cmd.Process.Signal(syscall.SIGCONT)
		_ = n.cmd.Process.Kill()
		<-n.exited
	}
	for _, u := range f.upstreams {
		u.Close()
	}
	f.Link.Close()
	_ = f.http.Close()
	_ = os.RemoveAll(f.dir)
}

// Publish signs a bundle in TOML with the keys of all operators, proposes it through node n, rolls it out once approved and
// returns the result.
func (f *Fleet) Publish(ctx context.Context, bundleTOML string, n *Node) (rollout.ProposalResult, error) {
	b, err := bundle.Parse("bundle.toml", []byte(bundleTOML))
	if err != nil {
		return rollout.ProposalResult{}, err
	}
	return operator.Publish(ctx, n.Admin(), b, f.SigningKeys...)
}

// WaitReady waits until every node sees all other nodes as members and has at least the given version in force. With the native
// protocol, it also waits until every shard has a serving owner.
func (f *Fleet) WaitReady(ctx context.Context, version uint64) error {
	deadline := time.Now().Add(readyTimeout)
	var lastProblem string
	for time.Now().Before(deadline) {
		ready := true
		shardsServed := 0
		for _, n := range f.Nodes() {
			st, err := n.Admin().Status(ctx)
			if err != nil || st.BundleVersion < version || st.Members != len(f.Nodes()) {
				ready, lastProblem = false, fmt.Sprintf("%s: version %d, members %d of %d, %v", n.Name, st.BundleVersion, st.Members, len(f.Nodes()), err)
				break
			}
			shardsServed += st.Serving
		}
		if ready && (shardsServed == 1024 || f.opt.Protocol == fakeupstream.Platform) {
			return nil
		}
		if ready {
			lastProblem = fmt.Sprintf("%d shards served", shardsServed)
		}
		time.Sleep(5 * pollInterval)
	}
	return errors.Errorf("fleet is not ready: %s", lastProblem)
}

// StartAndWait starts the deployment, publishes its bundle or configuration as version 1 and waits until the fleet is ready.
func StartAndWait(ctx context.Context, deployment Deployment, opt Options) (*Fleet, error) {
	f, err := Start(ctx, deployment, opt)
	if err != nil {
		return f, err
	}
	if opt.Protocol == fakeupstream.Platform {
		if err := f.Configure(deployment.Configuration(1)); err != nil {
			return f, err
		}
		return f, f.WaitReady(ctx, 1)
	}
	proposal, err := f.Publish(ctx, deployment.Bundle(), f.nodes[0])
	if err != nil {
		return f, err
	}
	if proposal.Result != rollout.Accepted {
		return f, errors.Errorf("bundle not accepted: %s %s", proposal.Result, proposal.Text)
	}
	return f, f.WaitReady(ctx, 1)
}
