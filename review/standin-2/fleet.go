package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is one machine of the deployment, with its node and its server.
type machine struct {
	index                             int
	name, zone, region, service       string
	outbound, inbound, ready, control string
	app, admin, settings              string
	cmd                               *exec.Cmd
	exited                            chan struct{}
	killed                            bool // by this program
	log                               *os.File
	server                            *server
	answers                           bool // the last question for readiness was answered with 200
}

// fleet is a small deployment: machines, the store, and what was seen.
type fleet struct {
	root, dir string // of the repository, and for temporary files
	network   string // first three bytes of the machines' loopback addresses, which other runs at the same time don't use
	store     *store
	machines  []*machine
	client    *http.Client
	began     time.Time

	mu       sync.Mutex
	out      *os.File
	arrivals []*arrival
	requests []*request
	crashes  int // processes that ended by themselves
}

// bounds are those of the first sheet's deployment, with those for keys and quotas of the demands.
var bounds = map[string]any{
	"config_apply": "2000ms", "grace": "6s", "retry_budget_ratio": 0.2, "retry_slack": 62, "min_share": 0.7, "drain": "2000ms",
	"stable_window": "3000ms", "fail_closed": false, "revoke": "5000ms", "quota_window": "5s", "quota_overage": 0.1, "quota_slack": 20,
}

const (
	drainBound   = 2 * time.Second
	stableWindow = 3 * time.Second
	leadTime     = 8 * time.Second // from the start of the machines to the start of traffic
)

func newFleet(root, recordFile string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	f := &fleet{root: root, dir: dir, out: out, began: time.Now(), network: fmt.Sprintf("127.%d.%d", 32+pid/250%200, 1+pid%250)}
	f.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second, DisableCompression: true}}
	f.store, err = startStore()
	return f, err
}

// record writes a line of the record.
func (f *fleet) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordLocked(format, args...)
}

func (f *fleet) recordLocked(format string, args ...any) {
	fmt.Fprintf(f.out, "%9.3f  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// freePorts returns the addresses of free ports of an IP address.
func freePorts(ip string, n int) ([]string, error) {
	var addrs []string
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer ln.Close()
		addrs = append(addrs, ln.Addr().String())
	}
	return addrs, nil
}

// add adds a machine with a server of the service.
func (f *fleet) add(zone, region, service string, slots int, work time.Duration, size int) (*machine, error) {
	m := &machine{index: len(f.machines), zone: zone, region: region, service: service}
	m.name = fmt.Sprintf("sidecar-%s-%d", zone, m.index)
	addrs, err := freePorts(fmt.Sprintf("%s.%d", f.network, m.index+1), 6)
	if err != nil {
		return nil, err
	}
	m.outbound, m.inbound, m.ready, m.control, m.app, m.admin = addrs[0], addrs[1], addrs[2], addrs[3], addrs[4], addrs[5]
	m.settings = filepath.Join(f.dir, m.name+".toml")
	if m.log, err = os.Create(filepath.Join(f.dir, m.name+".log")); err != nil {
		return nil, err
	}
	if err := f.writeSettings(m); err != nil {
		return nil, err
	}
	m.server = &server{index: m.index, service: service, addr: m.app, control: m.control, zone: zone, slots: slots, work: work, size: size,
		record: f.record, client: &http.Client{Transport: &http.Transport{}}, clock: time.Now}
	m.server.arrived = func(a *arrival, update func()) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if a.status == 0 && !a.ran {
			f.arrivals = append(f.arrivals, a)
		}
		update()
	}
	f.machines = append(f.machines, m)
	return m, nil
}

// writeSettings fills in the template of the deploy file.
func (f *fleet) writeSettings(m *machine) error {
	text, err := os.ReadFile(filepath.Join(f.root, "deploy", "settings.toml"))
	if err != nil {
		return err
	}
	ip, port, _ := strings.Cut(m.admin, ":")
	rendered, err := render(string(text), map[string]any{
		"node": m.name, "region": m.region, "zone": m.zone, "service": m.service, "ip": ip, "internal_ports": []any{port, port},
		"listen":   map[string]any{"outbound": m.outbound, "inbound": m.inbound, "control": m.control, "ready": m.ready},
		"app":      m.app,
		"provider": map[string]any{"address": f.store.addr},
		"bounds":   bounds,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, []byte(rendered), 0o644)
}

// startNode starts the node of a machine with the command of the deploy file.
func (f *fleet) startNode(m *machine) error {
	cmd := exec.Command(filepath.Join(f.root, "target", "jasmined"), "--config", m.settings)
	cmd.Dir = f.root
	cmd.Env = []string{"JASMINEVANE_BOOT=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this program in any case
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	f.mu.Lock()
	m.cmd, m.exited, m.killed = cmd, exited, false
	f.recordLocked("node %d starts, process %d", m.index, cmd.Process.Pid)
	f.mu.Unlock()
	go func() {
		err := cmd.Wait()
		f.mu.Lock()
		if !m.killed {
			f.crashes++
		}
		f.recordLocked("node %d ends: %v", m.index, err)
		f.mu.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node of a machine.
func (f *fleet) signal(m *machine, sig syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		m.killed = true
	}
	f.recordLocked("node %d gets %v", m.index, sig)
	_ = m.cmd.Process.Signal(sig)
}

// askReady asks all nodes for their readiness each second until stop is closed.
func (f *fleet) askReady(stop <-chan struct{}) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, m := range f.machines {
			resp, err := client.Get("http://" + m.ready + "/v1/readyz")
			ok := err == nil && resp.StatusCode == http.StatusOK
			if err == nil {
				_ = resp.Body.Close()
			}
			f.mu.Lock()
			m.answers = ok
			f.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// start starts all machines and returns when traffic may start. It fails if a node isn't ready by then.
func (f *fleet) start(config any) error {
	if err := f.store.putConfig(config); err != nil {
		return err
	}
	data, _ := json.Marshal(config)
	f.record("the store acknowledges the config %s", data)
	for _, m := range f.machines {
		if err := f.startNode(m); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.server.start(fmt.Sprintf("i-%08x", 0x1000+m.index)); err != nil {
			return err
		}
	}
	go f.askReady(make(chan struct{}))
	time.Sleep(leadTime)
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.machines {
		if !m.answers {
			return fmt.Errorf("node %d is not ready", m.index)
		}
	}
	return nil
}

// stop ends all processes and copies the logs of the nodes to the folder, if it isn't empty.
func (f *fleet) stop(logs string) {
	for _, m := range f.machines {
		if m.cmd == nil {
			continue
		}
		f.signal(m, syscall.SIGKILL)
		<-m.exited
		m.server.crash()
		if logs != "" {
			data, _ := os.ReadFile(m.log.Name())
			_ = os.WriteFile(filepath.Join(logs, m.name+".log"), data, 0o644)
		}
	}
	_ = os.RemoveAll(f.dir)
}

// route returns a route of the config.
func route(name, prefix, kind, service string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": "ficu95.example", "path_prefix": prefix, "kind": kind, "timeout": millis(timeout), "slo": millis(timeout / 2),
		"priority": 1, "service": service, "attempts": 2,
	}
}

func millis(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }

// config returns a config of the operator.
func config(version int, services []string, routes ...map[string]any) map[string]any {
	var list []any
	for _, name := range services {
		list = append(list, map[string]any{"name": name, "health_path": "/healthz", "max_conns": 390, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": fmt.Sprintf("%08x", version), "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	}
}
