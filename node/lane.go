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

// serviceState holds what the requests of one service share at this node.
type serviceState struct {
	name       string
	mu         sync.Mutex
	balancer   *routing.Balancer
	budget     *retry.Budget
	rnd        *rand.Rand
	classIndex map[string]int // classes by name
	classNames []string
}

// rebuildServices makes lanes for the services of a new bundle; a service keeps its lane, which learns new classes.
func (n *Node) rebuildServices(b *bundle.Bundle) {
	old := *n.lanes.Load()
	lanes := make(map[string]*serviceState, len(old))
	for _, name := range b.Services() {
		s := b.Service(name)
		l := old[name]
		if l == nil {
			l = n.newServiceState(s)
		}
		l.mu.Lock()
		l.addClasses(s)
		l.balancer.SetFloor(s.Floor())
		l.budget.SetRatio(b.Policy().RetryRatio())
		l.mu.Unlock()
		lanes[name] = l
	}
	n.lanes.Store(&lanes)
}

// addClasses adds the classes of the service that the lane does not know; the lane is locked.
func (l *serviceState) addClasses(s *bundle.Service) {
	index := maps.Clone(l.classIndex) // readers hold the old one
	for _, c := range s.Classes() {
		if _, ok := index[c.Name()]; !ok {
			index[c.Name()] = len(l.classNames)
			l.classNames = append(l.classNames, c.Name())
		}
	}
	l.classIndex = index
}

// lookupClass returns the number of a lookupClass at this node.
func (l *serviceState) lookupClass(name string) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i, ok := l.classIndex[name]
	return i, ok
}

func (n *Node) newServiceState(s *bundle.Service) *serviceState {
	return &serviceState{
		name:       s.Name(),
		balancer:   routing.NewBalancer(s.Name(), n.cfg.Name, s.Floor()),
		budget:     retry.NewBudget(0),
		rnd:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		classIndex: make(map[string]int),
	}
}

// updateEjectedGauge renews the gauge of upstreams that sickness keeps from their share.
func (n *Node) updateEjectedGauge(_ context.Context, now time.Time) {
	sick := 0
	for _, l := range *n.lanes.Load() {
		l.mu.Lock()
		sick += len(l.balancer.Ejected(now))
		l.mu.Unlock()
	}
	n.metrics.ejected.Set(float64(sick))
}
