package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Timing of the processes of nodes.
const (
	restartDelay  = 500 * time.Millisecond // time after which the platform starts a process that has ended again
	stopTimeout   = 8 * time.Second
	readyTimeout  = 15 * time.Second
	readyInterval = 50 * time.Millisecond
)

// node is one process of the system under test, with the server beside it.
type node struct {
	name, zone, service                     string
	caller, peer, control, ready, admin, ap string // addresses; ap is that of the server
	settings                                string // path of its settings file

	mu      sync.Mutex
	cmd     *exec.Cmd
	stopped bool // it isn't to be started again
	done    sync.WaitGroup
	server  *server
}

// fleet is a small deployment: the nodes, their servers and the store.
type fleet struct {
	log    *record
	store  *store
	nodes  []*node
	folder string // for settings and the output of processes
	root   string // of the repository
	cancel context.CancelFunc
	ctx    context.Context
}

// freeAddrs returns n free loopback addresses.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// newFleet prepares a fleet; the services name the server beside each node.
func newFleet(root, folder string, log *record, services []string, work time.Duration) (*fleet, error) {
	st, err := startStore()
	if err != nil {
		return nil, err
	}
	f := &fleet{log: log, store: st, folder: folder, root: root}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	addrs, err := freeAddrs(6 * len(services))
	if err != nil {
		return nil, err
	}
	for i, service := range services {
		a := addrs[6*i:]
		n := &node{name: fmt.Sprintf("node-%d", i+1), zone: "z1", service: service, caller: a[0], peer: a[1], control: a[2], ready: a[3], admin: a[4], ap: a[5]}
		ln, err := net.Listen("tcp", n.ap)
		if err != nil {
			return nil, err
		}
		n.server = startServer(ln, fmt.Sprintf("i-%d", i+1), service, n.zone, n.control, work, log)
		n.settings = filepath.Join(folder, n.name+".toml")
		if err := f.writeSettings(n); err != nil {
			return nil, err
		}
		f.nodes = append(f.nodes, n)
	}
	return f, nil
}

// start starts the nodes and the pings of the servers, and waits until all nodes are ready.
func (f *fleet) start() error {
	for _, n := range f.nodes {
		if err := f.startNode(n); err != nil {
			return err
		}
		go n.server.keepPinging(f.ctx)
	}
	for _, n := range f.nodes {
		if err := f.awaitReady(n); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until the node says that it is ready.
func (f *fleet) awaitReady(n *node) error {
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(readyInterval) {
		resp, err := pingClient.Get("http://" + n.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(n.name + " does not become ready")
}

// startNode starts the process of a node, and starts it again whenever it ends.
func (f *fleet) startNode(n *node) error {
	out, err := os.OpenFile(filepath.Join(f.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(f.root, "target", "jasmined"), "--config", n.settings)
	cmd.Dir, cmd.Stdout, cmd.Stderr = f.root, out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "JASMINEVANE_BOOT=" + n.settings}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return out.Close()
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd = cmd
	f.log.add("started", n.name, "")
	n.done.Add(1)
	go func() {
		defer n.done.Done()
		err := cmd.Wait()
		out.Close()
		f.log.add("ended", n.name, "%v", err)
		time.Sleep(restartDelay)
		_ = f.startNode(n)
	}()
	return nil
}

// signal sends a signal to the process of a node.
func (f *fleet) signal(n *node, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f.log.add("signal", n.name, "%v", s)
	_ = n.cmd.Process.Signal(s)
}

// stop ends all that the fleet started.
func (f *fleet) stop() {
	f.cancel()
	for _, n := range f.nodes {
		n.mu.Lock()
		n.stopped = true
		if n.cmd != nil {
			_ = n.cmd.Process.Kill()
		}
		n.mu.Unlock()
	}
	for _, n := range f.nodes {
		n.done.Wait()
		n.server.close()
	}
	f.store.close()
}

// panics returns the nodes whose output has a panic of the Go runtime, with its first line.
func (f *fleet) panics() map[string]string {
	found := make(map[string]string)
	for _, n := range f.nodes {
		data, err := os.ReadFile(filepath.Join(f.folder, n.name+".log"))
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			if strings.HasPrefix(line, "panic: ") {
				found[n.name] = line
				break
			}
		}
	}
	return found
}

// fields returns the settings of a node as the platform hands them out.
func (f *fleet) fields(n *node) map[string]any {
	host, port, _ := net.SplitHostPort(n.admin)
	return map[string]any{
		"node": n.name, "region": "r1", "zone": n.zone, "service": n.service, "app": n.ap, "ip": host,
		"listen":         map[string]any{"outbound": n.caller, "inbound": n.peer, "control": n.control, "ready": n.ready},
		"internal_ports": []any{json.Number(port)},
		"provider":       map[string]any{"address": f.store.addr},
		"bounds": map[string]any{
			"config_apply": "2000ms", "retry_budget_ratio": 0.2, "retry_slack": 62, "min_share": 0.7, "grace": "6s",
		},
	}
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.0-9]+)\}\}(.*?)\{\{/[a-z_.0-9]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
)

// lookup returns the value at a dotted path, or nil.
func lookup(fields any, path string) any {
	for _, key := range strings.Split(path, ".") {
		switch v := fields.(type) {
		case map[string]any:
			fields = v[key]
		case []any:
			fields = v[0] // the template uses the first element only
		default:
			return nil
		}
	}
	return fields
}

// writeSettings fills in the template of the deploy file.
func (f *fleet) writeSettings(n *node) error {
	template, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.toml"))
	if err != nil {
		return err
	}
	fields := f.fields(n)
	text := section.ReplaceAllFunc(template, func(b []byte) []byte {
		m := section.FindSubmatch(b)
		if lookup(fields, string(m[1])) == nil {
			return nil
		}
		return m[2]
	})
	text = placeholder.ReplaceAllFunc(text, func(b []byte) []byte {
		m := placeholder.FindSubmatch(b)
		v := lookup(fields, string(m[1]))
		if s, ok := v.(string); ok && len(m[2]) == 0 {
			return []byte(s)
		}
		data, _ := json.Marshal(v)
		return data
	})
	if bytes.Contains(text, []byte("{{")) {
		return errors.New("settings template has a placeholder that is not filled in")
	}
	return os.WriteFile(n.settings, text, 0o644)
}

// route is a route of the operator's configuration.
type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"path_prefix"`
	Kind     string `json:"kind"`
	Timeout  string `json:"timeout"`
	SLO      string `json:"slo"`
	Priority int    `json:"priority"`
	Service  string `json:"service"`
	Attempts int    `json:"attempts"`
}

// config returns a version of the operator's configuration.
func config(version int, services []string, routes ...route) []byte {
	type serviceDoc struct {
		Name       string `json:"name"`
		HealthPath string `json:"health_path"`
		MaxConns   int    `json:"max_conns"`
		Protocol   string `json:"protocol"`
		TLS        bool   `json:"tls"`
	}
	doc := struct {
		Version  string         `json:"version"`
		Routes   []route        `json:"routes"`
		Services []serviceDoc   `json:"services"`
		Limits   map[string]any `json:"limits"`
	}{Version: fmt.Sprintf("%08x", version), Routes: routes}
	for _, s := range services {
		doc.Services = append(doc.Services, serviceDoc{Name: s, HealthPath: "/healthz", MaxConns: 390, Protocol: "h1"})
	}
	doc.Limits = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"}
	data, _ := json.Marshal(doc)
	return data
}
