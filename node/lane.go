package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/outlier"
	"github.com/jasminevane/jasminevane/retry"
	"github.com/jasminevane/jasminevane/routing"
)

// lane holds what the requests of one service share at this node.
type lane struct {
	mu     sync.Mutex
	group  *routing.Group
	budget *retry.Budget
	rnd    *rand.Rand
	index  map[string]int // classes by name
	names  []string
	active bool // an observation arrived since the last evaluation
}

// rebuildLanes makes lanes for the services of a new bundle and keeps those whose classes did not change.
func (n *Node) rebuildLanes(b *bundle.Bundle) {
	old := *n.lanes.Load()
	lanes := make(map[string]*lane, len(old))
	for _, name := range b.Services() {
		s := b.Service(name)
		l := old[name]
		if l == nil || !l.sameClasses(s) {
			l = n.newLane(s)
		}
		l.mu.Lock()
		l.group.SetFloor(s.Floor())
		l.budget.SetRatio(b.Policy().Retries())
		l.mu.Unlock()
		lanes[name] = l
	}
	n.lanes.Store(&lanes)
}

func (l *lane) sameClasses(s *bundle.Service) bool {
	list := s.Classes()
	if len(list) != len(l.names) {
		return false
	}
	for i, c := range list {
		if l.names[i] != c.Name() {
			return false
		}
	}
	return true
}

func (n *Node) newLane(s *bundle.Service) *lane {
	list := s.Classes()
	l := &lane{
		group:  routing.NewGroup(s.Name(), n.cfg.Name, s.Floor(), len(list)),
		budget: retry.NewBudget(0),
		rnd:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		index:  make(map[string]int, len(list)),
	}
	for i, c := range list {
		l.index[c.Name()] = i
		l.names = append(l.names, c.Name())
	}
	return l
}

// evaluate judges the upstreams of all lanes that saw answers.
func (n *Node) evaluate(_ context.Context, now time.Time) {
	ejected := 0
	for name, l := range *n.lanes.Load() {
		l.mu.Lock()
		var changes []outlier.Change
		if l.active || len(l.group.Out()) > 0 {
			changes = l.group.Evaluate(now)
		}
		l.active = false
		ejected += len(l.group.Out())
		l.mu.Unlock()
		for _, c := range changes {
			n.noteStanding(name, l.className(c.Class), c)
		}
	}
	n.metrics.ejected.Set(float64(ejected))
}

// className returns the name of a class, or a star for all classes.
func (l *lane) className(i int) string {
	if i >= len(l.names) {
		return "*"
	}
	return l.names[i]
}

func (n *Node) noteStanding(service, class string, c outlier.Change) {
	kinds := map[outlier.Status]event.Kind{
		outlier.Ejected: event.Eject, outlier.Trying: event.Trial, outlier.Serving: event.Restore,
	}
	n.events.Add(event.Event{Kind: kinds[c.To], Upstream: c.ID, Text: service + "/" + class + ": " + c.Why})
	n.metrics.standing.WithLabelValues(service, c.To.String()).Inc()
	_ = level.Info(n.logger).Log("msg", "standing", "upstream", c.ID, "class", class, "to", c.To, "why", c.Why)
}
