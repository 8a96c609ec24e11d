package node

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

// TestOriginServiceIsThatOfTheInstance guards against requests that bear the service of whichever upstream comes first, such as of one that
// drains or of one that another writer has announced.
func TestOriginServiceIsThatOfTheInstance(t *testing.T) {
	ready := func(id, service string, incarnation uint64) upstream.Announcement {
		return upstream.Announcement{ID: id, Service: service, Address: "127.0.0.1:" + id, Slots: 1, State: upstream.Ready, Incarnation: incarnation, Seq: 1}
	}
	draining := func(id, service string, incarnation uint64) upstream.Announcement {
		a := ready(id, service, incarnation)
		a.State = upstream.Draining
		return a
	}
	tests := []struct {
		name, named   string
		announcements []upstream.Announcement
		want          string
	}{
		{"nothing known", "", nil, ""},
		{"named by the settings", "a", []upstream.Announcement{ready("1", "b", 2), draining("2", "c", 3)}, "a"},
		{"announced", "", []upstream.Announcement{ready("1", "b", 2)}, "b"},
		{"one drains that started later", "", []upstream.Announcement{ready("1", "b", 2), draining("2", "c", 3), draining("3", "d", 1)}, "b"},
		{"two are ready", "", []upstream.Announcement{ready("1", "b", 2), ready("2", "c", 3)}, "c"},
		{"all drain", "", []upstream.Announcement{draining("1", "b", 3), draining("2", "c", 2)}, "b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := &Node{}
			n.upstreamService.Store(&tt.named)
			n.bundle.Store(bundle.Empty())
			n.gates.byID = make(map[string]*upstream.Gate)
			defer n.stopGates()
			for _, a := range tt.announcements {
				_, err := n.gates.apply(n, time.Now(), a)
				is.NoErr(err)
			}
			for range 20 { // the order of the gates is random
				is.Equal(n.originService(), tt.want)
			}
		})
	}
}
