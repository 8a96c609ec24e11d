package node

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes to w with the format and level of the settings.
func NewLogger(w io.Writer, cfg Settings) log.Logger {
	var logger log.Logger
	if cfg.Log.Format == "json" {
		logger = log.NewJSONLogger(log.NewSyncWriter(w))
	} else {
		logger = log.NewLogfmtLogger(log.NewSyncWriter(w))
	}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(cfg.Log.Level, level.InfoValue())))
	return log.With(logger, "ts", log.DefaultTimestampUTC, "node", cfg.Name)
}
