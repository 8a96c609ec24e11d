package upstream_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// refusalDialect has the headers by which an upstream refuses requests without running them.
var refusalDialect = upstream.Dialect{AttemptHeader: "Attempt-Id", InstanceHeader: "Instance", NotRunHeader: "Not-Run"}

// newRefusalGate returns the gate of an upstream that speaks refusalDialect.
func newRefusalGate(t *testing.T, addr string) *upstream.Gate {
	a := upstream.Announcement{ID: "u", Service: "s", Address: addr, Slots: 4, State: upstream.Ready}
	g := upstream.NewGate(a, refusalDialect, []admission.Class{{Name: "c"}}, time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go g.Run(ctx)
	return g
}

func TestRepeatedRefusalIsNoAnswerToTheNextRequest(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nAttempt-Id: ID\r\nContent-Length: 2\r\n\r\nok"
	refusals := []struct{ name, text string }{
		{"shed", "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: a.0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"shed without an id", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"too many", "HTTP/1.1 429 Too Many Requests\r\nAttempt-Id: a.0\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
		{"misdirected", "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: a.0\r\nContent-Length: 0\r\n\r\n"},
		{"misdirected without an id", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"},
	}
	requests := []struct {
		name          string
		nonIdempotent bool
		size          int
	}{{"idempotent", false, 0}, {"non-idempotent", true, 0}, {"large", true, 1 << 20}}
	for _, refusal := range refusals {
		for _, when := range []string{"before", "during", "after"} {
			for _, req := range requests {
				t.Run(refusal.name+" "+when+" "+req.name, func(t *testing.T) {
					is := is.New(t)
					requestCount := 0
					addr, _ := rawServer(t, func(id string) (string, bool) {
						if id == "" {
							return "", true // the rest of a large request
						}
						requestCount++
						answer := strings.ReplaceAll(whole, "ID", id)
						switch {
						case when == "before" && requestCount == 1, when == "after" && requestCount == 2:
							return answer + refusal.text, true
						case when == "during" && requestCount == 2:
							return refusal.text + answer, true
						}
						return answer, true
					})
					g := newRefusalGate(t, addr)
					_, err := g.Do(context.Background(), attempt(1, true))
					is.NoErr(err)
					time.Sleep(5 * time.Millisecond) // what was written behind the answer arrives
					a := attempt(2, req.nonIdempotent)
					a.Length, a.Body = int64(req.size), strings.NewReader(strings.Repeat("x", req.size))
					_, err = g.Do(context.Background(), a)
					var e *outcome.Error
					if errors.As(err, &e) {
						is.True(e.Outcome != outcome.NotRun) // the upstream has run it
					}
					is.True(err != nil || when != "during")
				})
			}
		}
	}
}

// TestRefusalProvesThatTheRequestDidNotRun checks that a refusal of the request itself is believed, also where the id is missing but
// nothing was sent on the connection before.
func TestRefusalProvesThatTheRequestDidNotRun(t *testing.T) {
	tests := []struct {
		name, text string
		used       bool // another request was answered on the connection before
	}{
		{"shed", "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: ID\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", true},
		{"misdirected", "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: ID\r\nContent-Length: 0\r\n\r\n", true},
		{"shed without an id", "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", false},
		{"misdirected without an id", "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			refuse := !tt.used
			addr, conns := rawServer(t, func(id string) (string, bool) {
				if refuse {
					return strings.ReplaceAll(tt.text, "ID", id), true
				}
				refuse = true
				return "HTTP/1.1 200 OK\r\nAttempt-Id: " + id + "\r\nContent-Length: 0\r\n\r\n", true
			})
			g := newRefusalGate(t, addr)
			if tt.used {
				_, err := g.Do(context.Background(), attempt(1, true))
				is.NoErr(err)
			}
			_, err := g.Do(context.Background(), attempt(2, true))
			var e *outcome.Error
			is.True(errors.As(err, &e))
			is.Equal(e.Outcome, outcome.NotRun)
			is.Equal(conns.Load(), int64(1))
		})
	}
}
