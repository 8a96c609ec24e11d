package node

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log/level"
)

// fileCheckInterval is the interval at which the settings file is checked for changes.
const fileCheckInterval = 2 * time.Second

// Watch reloads the settings file on a signal and when the file has changed, until ctx ends.
func (n *Node) Watch(ctx context.Context, file string, signals <-chan os.Signal) {
	t := time.NewTicker(fileCheckInterval)
	defer t.Stop()
	last := readFileState(file)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-t.C:
		}
		now := readFileState(file)
		if !signalled && now == last {
			continue
		}
		last = now
		n.reload(file, signalled)
	}
}

// fileState identifies the state of a file by its modification time and size.
type fileState struct {
	modTime time.Time
	size    int64
}

func readFileState(file string) fileState {
	info, err := os.Stat(file)
	if err != nil {
		return fileState{}
	}
	return fileState{modTime: info.ModTime(), size: info.Size()}
}

// reload applies the settings that may change while the node runs; invalid settings leave the old ones in force.
func (n *Node) reload(file string, signalled bool) {
	cfg, err := LoadSettings(file)
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "reload refused", "file", file, "signal", signalled, "err", err)
		return
	}
	n.upstreamService.Store(&cfg.Service)
	_ = level.Info(n.logger).Log("msg", "reloaded", "file", file, "signal", signalled, "service", cfg.Service)
}
