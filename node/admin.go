package node

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/operator"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Limits of calls to the administration API.
const (
	submitRetries       = 3
	submitTimeout       = 3 * time.Second // timeout for appending a record and reading it back
	timelineTimeout     = 2 * time.Second // timeout for one node to return its events
	timelineConcurrency = 16              // maximum number of nodes queried at a time
)

func (n *Node) adminHandler() http.Handler {
	return operator.NewAPI(&admin{n}, operator.Config{
		Token:   n.cfg.Admin.Token,
		Pprof:   n.cfg.Admin.Pprof,
		Metrics: promhttp.HandlerFor(n.metrics.registry, promhttp.HandlerOpts{}),
		Ready:   n.ready,
	})
}

func (n *Node) peerHandler() http.Handler {
	path, control := peer.NewHandler(n)
	forward := peer.ForwardHandler(n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasPrefix(r.URL.Path, path) {
			control.ServeHTTP(w, r)
			return
		}
		forward.ServeHTTP(w, r)
	})
}

// admin adapts a node to the administration API.
type admin struct{ n *Node }

// Status implements operator.Node.
func (a *admin) Status() operator.Status {
	n := a.n
	n.keys.mu.Lock()
	keys := n.keys.ledger.Len()
	n.keys.mu.Unlock()
	n.mu.Lock()
	defer n.mu.Unlock()
	head, latest := n.rollout.Head()
	return operator.Status{
		Name:          n.cfg.Name,
		Region:        n.cfg.Region,
		DataCentre:    n.cfg.DataCentre,
		BundleVersion: latest.Version,
		Digest:        head.Digest().String(),
		InForce:       n.Bundle().Digest().String(),
		Members:       n.view.liveCount(),
		Shards:        n.owners.OwnedShards(),
		Serving:       n.servingShards(),
		LogUp:         !n.logServiceDown,
		Stopping:      n.stopping.Load(),
		Keys:          keys,
	}
}

// servingShards returns the number of shards for which this node has a valid lease. The caller holds n.mu.
func (n *Node) servingShards() int {
	now, count := time.Now(), 0
	for s := range ownership.ShardCount {
		if ok, _ := n.owners.Serving(now, s); ok {
			count++
		}
	}
	return count
}

// Members implements operator.Node.
func (a *admin) Members() []operator.Member {
	a.n.mu.Lock()
	defer a.n.mu.Unlock()
	var members []operator.Member
	for _, m := range a.n.members.Members() {
		members = append(members, operator.Member{
			Name:        m.Name,
			Incarnation: m.Incarnation,
			Status:      m.Status.String(),
			Region:      m.Region,
			DataCentre:  m.DataCentre,
			Address:     m.Address,
			Upstreams:   len(m.Upstreams),
		})
	}
	return members
}

// Upstreams implements operator.Node.
func (a *admin) Upstreams() []operator.Upstream {
	now := time.Now()
	var upstreams []operator.Upstream
	for service, svc := range *a.n.services.Load() {
		svc.mu.Lock()
		ejected := svc.balancer.Ejected(now)
		for _, u := range svc.balancer.Upstreams() {
			entry := operator.Upstream{ID: u.ID, Service: service, Ready: u.Ready, Tier: int(u.Tier)}
			if slices.Contains(ejected, u.ID) {
				entry.EjectedClasses = svc.classNames
			}
			upstreams = append(upstreams, entry)
		}
		svc.mu.Unlock()
	}
	slices.SortFunc(upstreams, func(x, y operator.Upstream) int {
		return strings.Compare(x.Service+x.ID, y.Service+y.ID)
	})
	return upstreams
}

// BundleState implements operator.Node.
func (a *admin) BundleState() rollout.State {
	a.n.mu.Lock()
	defer a.n.mu.Unlock()
	return a.n.rollout.State()
}

// ProposalResults implements operator.Node.
func (a *admin) ProposalResults() []rollout.ProposalResult {
	a.n.mu.Lock()
	defer a.n.mu.Unlock()
	return a.n.rollout.ProposalResults()
}

// Timeline implements operator.Node.
func (a *admin) Timeline(f event.Filter) []event.Event {
	var mu sync.Mutex
	eventLists := [][]event.Event{a.n.Events(f)}
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, timelineConcurrency)
	for _, m := range a.n.view.liveMembers() {
		if m.Name == a.n.cfg.Name || f.Node != "" && f.Node != m.Name {
			continue
		}
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			defer func() { <-semaphore }()
			ctx, cancel := context.WithTimeout(context.Background(), timelineTimeout)
			defer cancel()
			nodeEvents, err := a.n.client.Events(ctx, m.Address, f)
			if err != nil {
				return // the timeline omits nodes that do not respond
			}
			mu.Lock()
			defer mu.Unlock()
			eventLists = append(eventLists, nodeEvents)
		}()
	}
	wg.Wait()
	return event.Merge(eventLists...)
}

// Submit implements operator.Node.
func (a *admin) Submit(rec rollout.Record) error {
	n := a.n
	id := string(rec.Kind) + "-" + rec.ID
	if rec.Signature != nil {
		id += "-" + rec.Signature.Signer
	}
	entries, err := rollout.Encode(id, rec)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), submitTimeout)
	defer cancel()
	var last platform.Offset
	for _, entry := range entries {
		if last, err = n.appendRetrying(ctx, entry); err != nil {
			return err
		}
	}
	return n.awaitRead(ctx, last)
}

// appendRetrying appends an entry to the rollout stream. The rollout engine applies an entry only once, so an append with an unknown outcome
// is retried.
func (n *Node) appendRetrying(ctx context.Context, entry platform.Record) (platform.Offset, error) {
	for attempt := 0; ; attempt++ {
		offset, err := n.logService.Append(ctx, rollout.Stream, entry)
		var unknown *platform.UnknownError
		if err == nil || !errors.As(err, &unknown) || attempt >= submitRetries {
			return offset, err
		}
	}
}

// awaitRead reads the rollout stream until it has read the record at the offset.
func (n *Node) awaitRead(ctx context.Context, offset platform.Offset) error {
	for {
		n.mu.Lock()
		next := n.tailCaches[rollout.Stream].Next()
		n.mu.Unlock()
		if next > offset {
			return nil
		}
		if _, err := n.readPage(ctx, rollout.Stream, 0); err != nil && ctx.Err() != nil {
			return operator.ErrNotRead
		}
	}
}
