package node

import (
	"context"
	"os"
	"time"

	"github.com/go-kit/log/level"
)

// fileCheckInterval is the interval between checks of the settings file for changes.
const fileCheckInterval = 2 * time.Second

// WatchSettings reloads the settings file on every signal and whenever the file changes, until ctx ends.
func (n *Node) WatchSettings(ctx context.Context, file string, signals <-chan os.Signal) {
	ticker := time.NewTicker(fileCheckInterval)
	defer ticker.Stop()
	lastState := readFileState(file)
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-signals:
			signalled = true
		case <-ticker.C:
		}
		state := readFileState(file)
		if !signalled && state == lastState {
			continue
		}
		lastState = state
		n.reload(file, signalled)
	}
}

// fileState holds the modification time and size of a file, which show whether the file has changed.
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

// reload reads the settings file and applies the settings that may change while the node runs.
// If the file is invalid, the old settings stay in force.
func (n *Node) reload(file string, signalled bool) {
	cfg, err := LoadSettings(file)
	if err != nil {
		_ = level.Error(n.logger).Log("msg", "reload refused", "file", file, "signal", signalled, "err", err)
		return
	}
	n.upstreamService.Store(&cfg.Service)
	_ = level.Info(n.logger).Log("msg", "reloaded", "file", file, "signal", signalled, "service", cfg.Service)
}
