package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/jasminelab/fakelog"
	"github.com/jasminevane/jasminevane/jasminelab/fakeupstream"
	"github.com/jasminevane/jasminevane/jasminelab/link"
	"github.com/jasminevane/jasminevane/keyring"
	"github.com/jasminevane/jasminevane/node"
	"github.com/jasminevane/jasminevane/operator"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/pkg/errors"
)

const (
	startTimeout        = 10 * time.Second      // maximum time until a node process has printed its addresses
	stopTimeout         = 30 * time.Second      // time after which a stopping node is killed
	readyTimeout        = 20 * time.Second      // maximum time until a fleet is ready
	maxAppendsPerSecond = 300                   // maximum number of appends per second that the store accepts
	pollInterval        = 20 * time.Millisecond // a fifth of the interval at which WaitReady polls the nodes
)

// Node is one node process.
type Node struct {
	Name         string
	DataCentre   DataCentre
	Service      string // service of the instance beside which the node runs
	Addresses    node.Addresses
	StartedAt    time.Time // when the process was started
	settingsFile string    // path of the settings file
	cmd          *exec.Cmd
	exited       chan struct{} // closed when the process has exited
	fleet        *Fleet
	killed       atomic.Bool
}

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

func (f *Fleet) startProcess(name string, dc DataCentre, service, settingsFile string) (*Node, error) {
	executable, err := os.Executable()
	if err != nil {
		return nil, err
	}
	f.Link.SetSite(link.Site{Name: name, DataCentre: dc.Name, Region: dc.Region}, "")
	args := []string{"node", "--config", settingsFile, "--link", f.Link.Addr()}
	if f.opt.Protocol == fakeupstream.Platform {
		args = append(args, "--store-link")
	}
	cmd := exec.Command(executable, args...)
	cmd.Stderr = os.Stderr
	if f.opt.LogDir != "" {
		logFile, err := os.OpenFile(filepath.Join(f.opt.LogDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, err
		}
		defer logFile.Close()
		cmd.Stderr = logFile
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start node")
	}
	n := &Node{Name: name, DataCentre: dc, Service: service, StartedAt: time.Now(), settingsFile: settingsFile, cmd: cmd, exited: make(chan struct{}), fleet: f}
	firstLine := make(chan string, 1)
	go func() {
		s, _ := bufio.NewReader(stdout).ReadString('\n')
		firstLine <- s
		_ = cmd.Wait()
		close(n.exited)
	}()
	select {
	case s := <-firstLine:
		if err := json.Unmarshal([]byte(s), &n.Addresses); err != nil {
			return nil, errors.Wrapf(err, "node %s did not start", name)
		}
	case <-time.After(startTimeout):
		return nil, errors.Errorf("node %s did not start in %v", name, startTimeout)
	}
	f.Link.SetSite(link.Site{Name: name, DataCentre: dc.Name, Region: dc.Region}, n.Addresses.Peer)
	f.mu.Lock()
	f.nodes = append(f.nodes, n)
	f.mu.Unlock()
	return n, nil
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

// Killed reports whether the node was killed, by Kill or because Stop timed out.
func (n *Node) Killed() bool { return n.killed.Load() }

// Kill removes the node from the fleet and ends its process with SIGKILL.
func (n *Node) Kill() {
	n.killed.Store(true)
	n.fleet.remove(n)
	_ = n.cmd.Process.Kill()
	<-n.exited
}

// Stop ends the node with SIGTERM, or with SIGKILL after stopTimeout. The node stays in Nodes until its process has exited, so
// callers still send requests to it while it drains.
func (n *Node) Stop() (err error) {
	_ = n.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(stopTimeout):
		n.killed.Store(true)
		_ = n.cmd.Process.Kill()
		<-n.exited
		err = errors.Errorf("node %s did not stop in %v", n.Name, stopTimeout)
	}
	n.fleet.remove(n)
	return err
}

// Pause suspends the process with SIGSTOP and returns; the process is resumed after d.
func (n *Node) Pause(d time.Duration) {
	_ = n.cmd.Process.Signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { _ = n.cmd.Process.Signal(syscall.SIGCONT) })
}

// Pid returns the process id of the node.
func (n *Node) Pid() int { return n.cmd.Process.Pid }

// Admin returns a client of the node's admin API.
func (n *Node) Admin() *operator.Client { return operator.NewClient(n.Addresses.Admin, "") }

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

// StartForwarder starts a minimal reverse proxy to the server at addr as a process of its own. It returns the address of the
// proxy and a function that stops it.
func StartForwarder(addr string) (string, func(), error) {
	executable, err := os.Executable()
	if err != nil {
		return "", nil, err
	}
	cmd := exec.Command(executable, "forward", "--to", addr)
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return "", nil, err
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return "", nil, errors.Wrap(err, "start forwarder")
	}
	firstLine, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		return "", nil, errors.Wrap(err, "read forwarder address")
	}
	stop := func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	return strings.TrimSpace(firstLine), stop, nil
}
