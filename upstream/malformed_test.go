package upstream_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/outcome"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestMalformedStatusIsEvidence guards against a response with a malformed status that proves nothing about its request, and tells nothing of the
// health of its upstream, because it bears the header of a refusal.
func TestMalformedStatusIsEvidence(t *testing.T) {
	for _, status := range []string{"000", "099", "0", "1000", "20", "abc", "+20", "-20", "+200", "", "600", "999"} {
		for _, header := range []string{"", "Not-Run: 1\r\n"} {
			for _, nonIdempotent := range []bool{false, true} {
				t.Run(status+" "+header, func(t *testing.T) {
					is := is.New(t)
					addr, _ := rawServer(t, func(id string) (string, bool) {
						return "HTTP/1.1 " + status + " Odd\r\nAttempt-Id: " + id + "\r\n" + header + "Content-Length: 2\r\n\r\nok", true
					})
					g := newRefusalGate(t, addr)
					g.RecordRunning(time.Now())
					before := g.Load("c").Suspicion
					_, err := g.Do(context.Background(), attempt(1, nonIdempotent))
					var e *outcome.Error
					is.True(errors.As(err, &e))
					is.Equal(e.Outcome, outcome.Unknown)
					is.True(strings.Contains(err.Error(), "status") || strings.Contains(err.Error(), "malformed"))
					is.True(g.Load("c").Suspicion > before)
				})
			}
		}
	}
}
