package node_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/node"
	"github.com/jasminevane/jasminevane/setting"
	"github.com/matryer/is"
)

// TestDrainUsesMostOfTheGrace checks that a stopping node waits for its requests through five sixths of the grace time at least, and
// leaves time to end the process.
func TestDrainUsesMostOfTheGrace(t *testing.T) {
	tests := []struct {
		name         string
		drain, grace time.Duration
		min, max     time.Duration
	}{
		{"no grace", 20 * time.Second, 0, 20 * time.Second, 20 * time.Second},
		{"six seconds", 20 * time.Second, 6 * time.Second, 5 * time.Second, 5300 * time.Millisecond},
		{"ten seconds", 20 * time.Second, 10 * time.Second, 8333 * time.Millisecond, 9 * time.Second},
		{"a shorter limit of its own", 2 * time.Second, 10 * time.Second, 2 * time.Second, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cfg := node.DefaultSettings()
			cfg.Limits.Drain, cfg.Limits.Grace = setting.Duration(tt.drain), setting.Duration(tt.grace)
			got := cfg.DrainTimeout()
			is.True(got >= tt.min && got <= tt.max)
		})
	}
}
