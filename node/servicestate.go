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
	classIndex map[string]int // class indexes by class name
	classNames []string
}

// rebuildServices creates the states of the services of a new bundle; a known service keeps its state, to which new classes are added.
func (n *Node) rebuildServices(b *bundle.Bundle) {
	old := *n.services.Load()
	states := make(map[string]*serviceState, len(old))
	for _, name := range b.Services() {
		s := b.Service(name)
		svc := old[name]
		if svc == nil {
			svc = n.newServiceState(s)
		}
		svc.mu.Lock()
		svc.addClasses(s)
		svc.balancer.SetFloor(s.Floor())
		svc.budget.SetRatio(b.Policy().RetryRatio())
		svc.mu.Unlock()
		states[name] = svc
	}
	n.services.Store(&states)
}

// addClasses adds the classes of the service that are not known yet; svc.mu is held.
func (svc *serviceState) addClasses(s *bundle.Service) {
	index := maps.Clone(svc.classIndex) // readers may still hold the old map
	for _, c := range s.Classes() {
		if _, ok := index[c.Name()]; !ok {
			index[c.Name()] = len(svc.classNames)
			svc.classNames = append(svc.classNames, c.Name())
		}
	}
	svc.classIndex = index
}

// lookupClass returns the index of a class at this node.
func (svc *serviceState) lookupClass(name string) (int, bool) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	i, ok := svc.classIndex[name]
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

// updateEjectedGauge sets the gauge of ejected upstreams.
func (n *Node) updateEjectedGauge(_ context.Context, now time.Time) {
	ejected := 0
	for _, svc := range *n.services.Load() {
		svc.mu.Lock()
		ejected += len(svc.balancer.Ejected(now))
		svc.mu.Unlock()
	}
	n.metrics.ejected.Set(float64(ejected))
}
