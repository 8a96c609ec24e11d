package node

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes to w with the format and level of the settings.
func NewLogger(w io.Writer, cfg Settings) log.Logger {
	var l log.Logger
	if cfg.Log.Format == "json" {
		l = log.NewJSONLogger(log.NewSyncWriter(w))
	} else {
		l = log.NewLogfmtLogger(log.NewSyncWriter(w))
	}
	l = level.NewFilter(l, level.Allow(level.ParseDefault(cfg.Log.Level, level.InfoValue())))
	return log.With(l, "ts", log.DefaultTimestampUTC, "node", cfg.Name)
}
