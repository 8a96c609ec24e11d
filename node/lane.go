package node

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/retry"
	"github.com/jasminevane/jasminevane/routing"
)

// lane holds what the requests of one service share at this node.
type lane struct {
	service string
	mu      sync.Mutex
	group   *routing.Balancer
	budget  *retry.Budget
	rnd     *rand.Rand
	index   map[string]int // classes by name
	names   []string
}

// rebuildLanes makes lanes for the services of a new bundle; a service keeps its lane, which learns new classes.
func (n *Node) rebuildLanes(b *bundle.Bundle) {
	old := *n.lanes.Load()
	lanes := make(map[string]*lane, len(old))
	for _, name := range b.Services() {
		s := b.Service(name)
		l := old[name]
		if l == nil {
			l = n.newLane(s)
		}
		l.mu.Lock()
		l.learn(s)
		l.group.SetFloor(s.Floor())
		l.budget.SetRatio(b.Policy().RetryRatio())
		l.mu.Unlock()
		lanes[name] = l
	}
	n.lanes.Store(&lanes)
}

// learn adds the classes of the service that the lane does not know; the lane is locked.
func (l *lane) learn(s *bundle.Service) {
	index := maps.Clone(l.index) // readers hold the old one
	for _, c := range s.Classes() {
		if _, ok := index[c.Name()]; !ok {
			index[c.Name()] = len(l.names)
			l.names = append(l.names, c.Name())
		}
	}
	l.index = index
}

// class returns the number of a class at this node.
func (l *lane) class(name string) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.index[name]
	return i, ok
}

func (n *Node) newLane(s *bundle.Service) *lane {
	return &lane{
		service: s.Name(),
		group:   routing.NewBalancer(s.Name(), n.cfg.Name, s.Floor()),
		budget:  retry.NewBudget(0),
		rnd:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		index:   make(map[string]int),
	}
}

// countSick renews the gauge of upstreams that sickness keeps from their share.
func (n *Node) countSick(_ context.Context, now time.Time) {
	sick := 0
	for _, l := range *n.lanes.Load() {
		l.mu.Lock()
		sick += len(l.group.Ejected(now))
		l.mu.Unlock()
	}
	n.metrics.ejected.Set(float64(sick))
}
