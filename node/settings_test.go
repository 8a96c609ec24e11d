package node_test

import (
	"net/http"
	"slices"
	"strings"
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

// TestStoppingNodeEndsWithinTheGrace stops a node at whose upstream a request hangs, and checks that it waits for the request through
// most of the grace, and no longer.
func TestStoppingNodeEndsWithinTheGrace(t *testing.T) {
	is := is.New(t)
	const grace = 1500 * time.Millisecond
	f := newTestFleet(t)
	n, stop := f.startWith("a", func(cfg *node.Settings) { cfg.Limits.Grace = setting.Duration(grace) })
	f.publishTestBundle(n)
	hang := make(chan struct{})
	arrived := make(chan struct{})
	f.addUpstream(n, "u", func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-hang
	})
	t.Cleanup(func() { close(hang) }) // runs before the server closes, which waits for its handlers
	go call(n, "POST", "/x", "")
	<-arrived
	start := time.Now()
	stop()
	is.True(time.Since(start) >= grace*5/6)
	is.True(time.Since(start) < grace)
}

// TestAdmissionPolicyIsChecked guards against a misspelt policy that silently means the default.
func TestAdmissionPolicyIsChecked(t *testing.T) {
	for policy, wanted := range map[string]bool{"": true, "share": true, "cost": true, "costs": false} {
		is := is.New(t)
		cfg := node.DefaultSettings()
		cfg.Admission.Policy = policy
		is.Equal(!slices.ContainsFunc(cfg.Check(), func(p setting.Problem) bool { return p.Key() == "admission.policy" }), wanted)
	}
}

func TestSettingsNeedATimeToApplyVersions(t *testing.T) {
	is := is.New(t)
	reports := func(apply time.Duration) bool {
		cfg := node.DefaultSettings()
		cfg.Platform.Apply = setting.Duration(apply)
		return slices.ContainsFunc(cfg.Check(), func(p setting.Problem) bool { return strings.Contains(p.String(), "platform.apply") })
	}
	is.True(reports(0)) // nodes would read without a pause
	is.True(!reports(time.Second))
}

func TestPipelineIsBounded(t *testing.T) {
	for value, valid := range map[int]bool{-1: false, 0: true, 1: true, 64: true, 65: false} {
		cfg := node.DefaultSettings()
		cfg.Limits.Pipeline = value
		reported := slices.ContainsFunc(cfg.Check(), func(p setting.Problem) bool { return strings.Contains(p.String(), "limits.pipeline") })
		is.New(t).Equal(reported, !valid)
	}
}
