package routing_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/routing"
	"github.com/matryer/is"
	"github.com/pkg/errors"
)

// TestRefusalHoldsForPriorityAndTime guards against requests that are sent to upstreams known to refuse them, and against requests refused at the
// ingress node that an upstream would take: more urgent ones, of another class, or later ones.
func TestRefusalHoldsForPriorityAndTime(t *testing.T) {
	full := routing.Observation{Reported: true, Refusing: true, RefusedFrom: 2, RetryAfter: time.Second}
	tests := []struct {
		name              string
		report            routing.Observation
		class, priority   int
		after             time.Duration
		refused, withHint bool
	}{
		{"the same priority", full, 0, 2, 200 * time.Millisecond, true, true},
		{"less urgent", full, 0, 5, 200 * time.Millisecond, true, true},
		{"more urgent", full, 0, 1, 0, false, false},
		{"another class", full, 1, 2, 0, false, false},
		{"later", full, 0, 2, 400 * time.Millisecond, false, false},
		{"without a time to return", routing.Observation{Reported: true, Refusing: true}, 0, 0, 70 * time.Millisecond, true, false},
		{"the same, later", routing.Observation{Reported: true, Refusing: true}, 0, 0, 80 * time.Millisecond, false, false},
		{"of a caller beyond its share only", routing.Observation{Reported: true, RetryAfter: time.Second}, 0, 2, 0, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			lb := routing.NewBalancer("s", "me", 0.5)
			list := upstreams(3, func(int) routing.Tier { return routing.SameDataCentre })
			lb.Update(epoch, list)
			for _, u := range list {
				lb.RecordReport(epoch, u.ID, 0, tt.report)
			}
			const left = 1200 * time.Millisecond
			_, err := lb.Pick(epoch.Add(tt.after), routing.Query{ClassIndex: tt.class, Priority: tt.priority, TimeLeft: left}, rand.New(rand.NewPCG(1, 1)))
			is.Equal(err != nil, tt.refused)
			if err == nil {
				return
			}
			var refusal *routing.Error
			is.True(errors.As(err, &refusal))
			is.Equal(refusal.Reason(), routing.Overloaded)
			is.Equal(refusal.RetryAfter() > 0, tt.withHint)
			is.True(refusal.RetryAfter() <= left/3)
		})
	}
}
