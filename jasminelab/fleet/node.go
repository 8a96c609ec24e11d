package fleet

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jasminevane/jasminevane/jasminelab/fakeupstream"
	"github.com/jasminevane/jasminevane/jasminelab/link"
	"github.com/jasminevane/jasminevane/node"
	"github.com/jasminevane/jasminevane/operator"
	"github.com/pkg/errors"
)

// Times of a node process.
const (
	startTimeout = 10 * time.Second // maximum time until it has printed its addresses
	stopTimeout  = 30 * time.Second // time after which it is killed if it was told to stop
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
