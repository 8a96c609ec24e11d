package admission_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/admission"
	"github.com/matryer/is"
)

// TestCallersPriorityOrdersRequestsByShare guards against the priority of a caller being ignored unless requests are ordered by cost.
func TestCallersPriorityOrdersRequestsByShare(t *testing.T) {
	classes := []admission.Class{{Name: "urgent", Priority: 0}, {Name: "normal", Priority: 1}, {Name: "bulk", Priority: 2}}
	tests := []struct {
		name    string
		waiting []admission.Request // in the order of arrival; the IDs start at 1
		want    []uint64            // IDs in the order in which they start
	}{
		{"priorities of the classes", []admission.Request{{ClassIndex: 2, Priority: 2}, {ClassIndex: 1, Priority: 1}, {ClassIndex: 0, Priority: 0}}, []uint64{3, 2, 1}},
		{"more urgent within a class", []admission.Request{{ClassIndex: 1, Priority: 1}, {ClassIndex: 1, Priority: 0}, {ClassIndex: 1, Priority: 1}}, []uint64{2, 1, 3}},
		{"more urgent than another class", []admission.Request{{ClassIndex: 1, Priority: 1}, {ClassIndex: 2, Priority: 0}}, []uint64{2, 1}},
		{"less urgent than another class", []admission.Request{{ClassIndex: 0, Priority: 2}, {ClassIndex: 1, Priority: 1}}, []uint64{2, 1}},
		{"as urgent as another class", []admission.Request{{ClassIndex: 1, Priority: 1}, {ClassIndex: 0, Priority: 1}}, []uint64{2, 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(0, 0)
			c := admission.New(1, classes)
			const running = 100
			c.Offer(now, admission.Request{ID: running, ClassIndex: 1, Priority: 1, Deadline: now.Add(time.Minute)})
			for i, r := range tt.waiting {
				r.ID, r.Deadline = uint64(i+1), now.Add(time.Minute)
				is.Equal(len(c.Offer(now, r)), 0)
			}
			var started []uint64
			for last := uint64(running); len(started) < len(tt.want); {
				decisions := c.Done(now, last, admission.Result{Failed: true})
				is.Equal(len(decisions), 1)
				is.True(decisions[0].Start)
				last = decisions[0].ID
				started = append(started, last)
			}
			is.Equal(started, tt.want)
		})
	}
}
