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

// serviceState holds the load balancer and retry budget that all requests of one service share at this node.
type serviceState struct {
	name         string
	mu           sync.Mutex // guards the fields below
	balancer     *routing.Balancer
	retryBudget  *retry.Budget
	random       *rand.Rand
	classIndexes map[string]int // index of each class, by class name
	classNames   []string       // name of each class, by class index
}

// updateServiceStates replaces the service states by those of a new bundle.
// A service that the old bundle had keeps its state, and its new classes are added to it.
func (n *Node) updateServiceStates(newBundle *bundle.Bundle) {
	oldStates := *n.services.Load()
	states := make(map[string]*serviceState, len(oldStates))
	for _, name := range newBundle.Services() {
		service := newBundle.Service(name)
		state := oldStates[name]
		if state == nil {
			state = n.newServiceState(service)
		}
		state.mu.Lock()
		state.addClasses(service)
		state.balancer.SetFloor(service.Floor())
		state.retryBudget.SetRatio(newBundle.Policy().RetryRatio())
		state.mu.Unlock()
		states[name] = state
	}
	n.services.Store(&states)
}

// addClasses assigns indexes to the classes that have none yet; the caller holds s.mu.
func (s *serviceState) addClasses(service *bundle.Service) {
	classIndexes := maps.Clone(s.classIndexes) // other goroutines may still read the old map
	for _, class := range service.Classes() {
		if _, ok := classIndexes[class.Name()]; !ok {
			classIndexes[class.Name()] = len(s.classNames)
			s.classNames = append(s.classNames, class.Name())
		}
	}
	s.classIndexes = classIndexes
}

// lookupClassIndex returns the index that this node assigned to a class, and whether it has one.
func (s *serviceState) lookupClassIndex(name string) (int, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	index, ok := s.classIndexes[name]
	return index, ok
}

func (n *Node) newServiceState(service *bundle.Service) *serviceState {
	return &serviceState{
		name:         service.Name(),
		balancer:     routing.NewBalancer(service.Name(), n.cfg.Name, service.Floor()),
		retryBudget:  retry.NewBudget(0),
		random:       rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		classIndexes: make(map[string]int),
	}
}

// updateEjectedGauge sets the gauge of ejected upstreams to their number over all services.
func (n *Node) updateEjectedGauge(_ context.Context, now time.Time) {
	ejected := 0
	for _, state := range *n.services.Load() {
		state.mu.Lock()
		ejected += len(state.balancer.Ejected(now))
		state.mu.Unlock()
	}
	n.metrics.ejectedUpstreams.Set(float64(ejected))
}
