package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment that the cases play.
const (
	drainBound  = 2 * time.Second
	configApply = 2 * time.Second
	heartbeat   = 1500 * time.Millisecond
)

// world holds the processes and stand-ins of one case.
type world struct {
	dir     string
	subnet  int // of the machines' loopback addresses
	start   time.Time
	trouble bool
	mu      sync.Mutex
	record  *os.File
	ends    []func()
	store   *store
	nodes   []*nodeProc
	headers map[string]string // of requests that have none of their own
}

func newWorld(recordFile string) (*world, error) {
	f, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, subnet: rand.IntN(1 << 14), start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", record: f}
	w.log("trouble=%v", w.trouble)
	w.store = newStore(w)
	return w, nil
}

// log writes a line to the record, with the time since the start of the case.
func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *world) atEnd(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ends = append(w.ends, f)
}

// close ends all processes and stand-ins.
func (w *world) close() {
	w.mu.Lock()
	ends := w.ends
	w.ends = nil
	w.mu.Unlock()
	for i := len(ends) - 1; i >= 0; i-- {
		ends[i]()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.record.Close()
}

// unusable ends the case, which could not run.
type unusable struct{ reason string }

func (w *world) fail(format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	w.log("could not run: %s", reason)
	panic(unusable{reason})
}

func (w *world) listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.fail("listen: %v", err)
	}
	return ln
}

// machineIP returns the loopback address of a machine. It is not the one from which connections are opened, so that none takes its ports.
func (w *world) machineIP(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+w.subnet/256, w.subnet%256, 1+i)
}

// addresses returns addresses of a machine with n free ports.
func (w *world) addresses(machine, n int) []string {
	var list []string
	for range n {
		ln, err := net.Listen("tcp", w.machineIP(machine)+":0")
		if err != nil {
			w.fail("listen: %v", err)
		}
		defer ln.Close() // at the end, so that all ports differ
		list = append(list, ln.Addr().String())
	}
	return list
}

// nodeProc is one process of the product beside a server.
type nodeProc struct {
	w                                             *world
	name, service, zone, region                   string
	outbound, inbound, control, ready, admin, app string
	file                                          string
	cmd                                           *exec.Cmd
	exited                                        chan struct{}
}

// newNode starts a process of the product, by the command of the deploy file, with settings as its template gives them.
func (w *world) newNode(name, service, zone string) *nodeProc {
	region, _, _ := strings.Cut(zone, "-")
	n := &nodeProc{w: w, name: name, service: service, zone: zone, region: region, file: filepath.Join(w.dir, name+".toml")}
	places := []*string{&n.outbound, &n.inbound, &n.control, &n.ready, &n.admin, &n.app}
	for i, address := range w.addresses(len(w.nodes), len(places)) {
		*places[i] = address
	}
	settings := fmt.Sprintf(`name = %q
region = %q
data_centre = %q
service = %q
[listen]
caller = %q
peer = %q
upstream = %q
ready = %q
admin = %q
beside = %q
[platform]
contract = "store"
log = "http://%s"
timeout = "1s"
apply = "2000ms"
[keys]
closed = false
revoke = "5000ms"
[retry]
ratio = 0.2
reserve = 62
floor = 0.7
[quota]
[limits]
keys = 0
grace = "6s"
lame = "2500ms"
[log]
level = "info"
`, name, region, zone, service, n.outbound, n.inbound, n.control, n.ready, n.admin, n.app, w.store.address)
	if err := os.WriteFile(n.file, []byte(settings), 0o600); err != nil {
		w.fail("settings: %v", err)
	}
	w.atEnd(n.kill)
	w.nodes = append(w.nodes, n)
	n.startProcess()
	return n
}

func (n *nodeProc) startProcess() {
	logFile, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		n.w.fail("log: %v", err)
	}
	defer logFile.Close()
	cmd := exec.Command("target/jasmined", "--config", n.file)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		n.w.fail("start %s: %v", n.name, err)
	}
	n.w.log("node %s started, pid %d", n.name, cmd.Process.Pid)
	exited := make(chan struct{})
	n.cmd, n.exited = cmd, exited
	go func() { _ = cmd.Wait(); close(exited) }()
}

// kill ends the process with SIGKILL and waits for its end.
func (n *nodeProc) kill() {
	if n.cmd == nil {
		return
	}
	_ = n.cmd.Process.Kill()
	<-n.exited
	n.cmd = nil
	n.w.log("node %s killed", n.name)
}

// signal sends a signal to the process.
func (n *nodeProc) signal(sig syscall.Signal) {
	if err := n.cmd.Process.Signal(sig); err != nil {
		n.w.fail("signal %s: %v", n.name, err)
	}
	n.w.log("node %s gets %v", n.name, sig)
}

// logs returns what the process has written.
func (n *nodeProc) logs() string {
	data, _ := os.ReadFile(filepath.Join(n.w.dir, n.name+".log"))
	return string(data)
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
	Public   bool   `json:"public,omitempty"`
}

// tenant is a tenant of the operator's configuration.
type tenant struct {
	Name  string   `json:"name"`
	Keys  []string `json:"api_keys"`
	Rate  float64  `json:"rate_per_s"`
	Burst float64  `json:"burst"`
}

// publish writes a version of the configuration to the store. The store's answer acknowledges it.
func (w *world) publish(version uint64, routes []route, tenants []tenant) {
	doc := map[string]any{"version": fmt.Sprintf("%08x", version), "routes": routes}
	doc["services"] = []map[string]any{{"name": service, "health_path": "/healthz", "max_conns": 390, "protocol": "h1", "tls": false}}
	doc["limits"] = map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"}
	if tenants != nil {
		doc["tenants"] = tenants
	}
	data, err := json.Marshal(doc)
	if err != nil {
		w.fail("configuration: %v", err)
	}
	w.store.put("keyed.op", "config", data)
	w.log("operator: version %d is acknowledged: %s", version, data)
}
