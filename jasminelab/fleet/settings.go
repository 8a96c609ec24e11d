package fleet

import (
	"fmt"
	"os"
	"strings"
	"syscall"

	"github.com/jasminevane/jasminevane/jasminelab/fakeupstream"
)

const (
	retryBudgetRatio   = 0.2                // retries allowed per request
	retryBudgetReserve = 20                 // retries that the whole fleet may send for each service and window in addition to the ratio
	debugEnv           = "JASMINELAB_DEBUG" // environment variable that makes nodes log at level info
)

// settings returns the settings file of a node in TOML.
func (f *Fleet) settings(name string, dc DataCentre, service string, seeds []string) string {
	var b strings.Builder
	fmt.Fprintf(&b, `name = %q
region = %q
data_centre = %q
`, name, dc.Region, dc.Name)
	if f.opt.Protocol == fakeupstream.Platform {
		fmt.Fprintf(&b, "service = %q\n", service)
	}
	b.WriteString(`[listen]
caller = "127.0.0.1:0"
peer = "127.0.0.1:0"
upstream = "127.0.0.1:0"
admin = "127.0.0.1:0"
`)
	if f.opt.Protocol == fakeupstream.Platform {
		fmt.Fprintf(&b, `[platform]
contract = "store"
log = %q
[retry]
ratio = %g
reserve = %d
[limits]
keys = 0
drain = "5s"
lame = "1s"
`, f.StoreURL, retryBudgetRatio, retryBudgetReserve)
	} else {
		fmt.Fprintf(&b, `[peers]
seeds = [%s]
[platform]
log = %q
[trust]
keys = [%q, %q]
`, strings.Join(seeds, ", "), f.StoreURL, f.SigningKeys[0].Public(), f.SigningKeys[1].Public())
	}
	fmt.Fprintf(&b, "[log]\nlevel = %q\n", f.logLevel())
	return b.String()
}

func (f *Fleet) logLevel() string {
	if f.opt.LogDir != "" || os.Getenv(debugEnv) != "" {
		return "info"
	}
	return "error"
}

// WriteSettings replaces the settings file of the node. If signal is set, it also sends SIGHUP to the process.
func (n *Node) WriteSettings(text string, signal bool) error {
	if err := os.WriteFile(n.settingsFile, []byte(text), 0o600); err != nil {
		return err
	}
	if signal {
		_ = n.cmd.Process.Signal(syscall.SIGHUP)
	}
	return nil
}

// Settings returns the content of the node's settings file.
func (n *Node) Settings() (string, error) {
	text, err := os.ReadFile(n.settingsFile)
	return string(text), err
}
