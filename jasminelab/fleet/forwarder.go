package fleet

import (
	"bufio"
	"os"
	"os/exec"
	"strings"
	"syscall"

	"github.com/pkg/errors"
)

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
