package node_test

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jasminevane/jasminevane/node"
	"github.com/jasminevane/jasminevane/setting"
	"github.com/matryer/is"
)

// lineBuffer keeps the lines that are written to it.
type lineBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *lineBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(line))
	return len(line), nil
}

// with returns the first line that contains all the texts, or an empty string.
func (b *lineBuffer) with(texts ...string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, line := range b.lines {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			return line
		}
	}
	return ""
}

// TestRefusalByLimitIsExplained guards against a 429 without the time of the next token, without a log line that leads from the request's id to
// the decision, and against a limit that refuses all.
func TestRefusalByLimitIsExplained(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	lines := &lineBuffer{}
	f.logger = log.NewLogfmtLogger(lines)
	n, _ := f.start("a")
	f.publishTestBundle(n)
	f.addUpstream(n, "u", func(http.ResponseWriter, *http.Request) {})
	f.waitFor("a token", func() bool { return call(n, "GET", "/", "", "Caller", "slow").statusCode == http.StatusOK })
	var refused callResult
	f.waitFor("the limit", func() bool {
		refused = call(n, "GET", "/", "", "Caller", "slow", "Request-Id", "over-the-limit")
		return refused.statusCode == http.StatusTooManyRequests
	})
	is.Equal(refused.outcome, "not-run")
	is.True(strings.Contains(refused.body, "caller slow, limit 1 requests/s and 1 at once: limited"))
	seconds, err := strconv.Atoi(refused.header.Get("Retry-After"))
	is.NoErr(err)
	is.True(seconds >= 1 && seconds <= 2)
	f.waitFor("its log line", func() bool {
		return lines.with("msg=request", "id=over-the-limit", "code=caller-limit", "limit 1 requests/s") != ""
	})
	is.True(lines.with("msg=limit", "caller=slow", "limited=true", "rate=1") != "")
	is.Equal(call(n, "GET", "/", "", "Caller", "unknown").statusCode, http.StatusOK) // a caller without a limit
}

// TestRequestNotRunCostsNoToken guards against refusals for lack of an upstream using up the limit of a caller.
func TestRequestNotRunCostsNoToken(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	n, _ := f.startWith("a", func(cfg *node.Settings) { cfg.Quota.Slack = 20 })
	f.publishTestBundle(n)
	status := func() int { return call(n, "GET", "/", "", "Caller", "slow").statusCode }
	f.waitFor("a token", func() bool { return status() == http.StatusServiceUnavailable }) // there is no upstream
	for range 30 {                                                                         // the reserve after a start is 2 requests
		is.Equal(status(), http.StatusServiceUnavailable)
	}
}

func TestQuotaSettingsAreChecked(t *testing.T) {
	tests := []struct {
		name, problem string
		change        func(cfg *node.Settings)
	}{
		{"defaults", "", func(*node.Settings) {}},
		{"no window", "quota.window", func(cfg *node.Settings) { cfg.Quota.Window = 0 }},
		{"short window", "quota.window", func(cfg *node.Settings) { cfg.Quota.Window = setting.Duration(100 * time.Millisecond) }},
		{"negative overage", "quota.overage", func(cfg *node.Settings) { cfg.Quota.Overage = -0.1 }},
		{"overage above 1", "quota.overage", func(cfg *node.Settings) { cfg.Quota.Overage = 10 }},
		{"negative slack", "quota.slack", func(cfg *node.Settings) { cfg.Quota.Slack = -1 }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cfg := node.DefaultSettings()
			tt.change(&cfg)
			found := ""
			for _, p := range cfg.Check() {
				if strings.HasPrefix(p.Key(), "quota.") {
					found = p.Key()
				}
			}
			is.Equal(found, tt.problem)
		})
	}
}
