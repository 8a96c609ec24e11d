package node

import (
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/idempotency"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/quota"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Options are what a program or test supplies besides the settings; the zero value works.
type Options struct {
	Dial   peer.Dialer       // connects to other nodes; nil for TCP
	Log    platform.Log      // nil for the service named in the settings
	Store  http.RoundTripper // carries calls to the log service; nil for the default
	Logger log.Logger        // nil for none
}

// Node is one process of the fleet.
type Node struct {
	cfg     Settings
	logger  log.Logger
	clock   event.Clock
	events  *event.Ring
	client  *peer.Client
	store   platform.Log
	metrics *metrics
	lns     listeners

	contract contract
	trace    requestLogSampler
	version  atomic.Uint64          // of the bundle in force
	splits   sync.Map               // *split by route
	service  atomic.Pointer[string] // of the upstreams beside the node, as the settings say

	mu        sync.Mutex // guards the engines below
	members   *membership.Engine
	rollout   *rollout.Engine
	owners    *ownership.Engine
	mirrors   map[string]*platform.TailCache
	positions map[string][]peer.Position // what neighbours have, by name
	snapped   map[string]time.Time       // last snapshot seen, by stream
	storeDown bool
	fetching  bool
	view      atomic.Pointer[fleetView]
	bundle    atomic.Pointer[bundle.Bundle]

	gates   gateSet
	lanes   atomic.Pointer[map[string]*serviceState]
	laneMu  sync.Mutex
	keys    keyStore
	silent  unresponsiveNodes
	limits  rateLimits
	stop    atomic.Bool
	running sync.WaitGroup
}

type listeners struct {
	caller, peer, upstream, admin, ready net.Listener
}

// New returns a node that listens on its addresses and does not serve yet.
func New(cfg Settings, opt Options) (*Node, error) {
	n := &Node{cfg: cfg, logger: opt.Logger, store: opt.Log}
	if n.logger == nil {
		n.logger = log.NewNopLogger()
	}
	if n.store == nil {
		n.store = platform.NewClient(cfg.Platform.Log, cfg.Platform.Timeout.Std(), opt.Store)
	}
	n.service.Store(&cfg.Service)
	n.contract = newContract(cfg, opt.Store)
	if err := n.listen(); err != nil {
		return nil, err
	}
	now := time.Now()
	seed := uint64(now.UnixNano())
	n.events = event.NewRing(cfg.Name, &n.clock, cfg.Limits.Events)
	n.client = peer.NewClient(opt.Dial)
	n.metrics = newMetrics(cfg.DataCentre)
	n.trace = newRequestLogSampler()
	self := membership.Member{
		Name:        cfg.Name,
		Incarnation: uint64(now.UnixMilli()),
		Region:      cfg.Region,
		DataCentre:  cfg.DataCentre,
		Address:     n.lns.peer.Addr().String(),
	}
	n.members = membership.New(now, self, cfg.Peers.Seeds, rand.New(rand.NewPCG(seed, uint64(len(cfg.Name)))))
	n.rollout = rollout.New(cfg.DataCentre, cfg.keys())
	if n.contract.published() {
		n.rollout.FollowAuthority()
	}
	n.owners = ownership.New(now, ownerNode(self), ownership.DisabledSafeguards{})
	n.mirrors = map[string]*platform.TailCache{rollout.Stream: {}, ownership.Stream: {}}
	n.positions = make(map[string][]peer.Position)
	n.snapped = map[string]time.Time{rollout.Stream: now, ownership.Stream: now}
	n.keys.ledger = idempotency.NewLedger(idempotency.Bounds{
		Records:       cfg.Limits.Keys,
		ResponseBytes: int(cfg.Limits.Answers),
		Retention:     defaultRetention,
	})
	n.keys.waiters = make(map[string]chan struct{})
	n.bundle.Store(bundle.Empty())
	n.view.Store(newFleetView(nil))
	n.lanes.Store(&map[string]*serviceState{})
	n.gates.byID = make(map[string]*upstream.Gate)
	n.gates.announcedSuspect = make(map[*upstream.Gate]bool)
	n.limits.limiter, n.limits.allocator = &quota.Limiter{}, &quota.Allocator{}
	return n, nil
}

func (n *Node) listen() error {
	for _, l := range []struct {
		key, addr string
		dst       *net.Listener
	}{
		{"listen.caller", n.cfg.Listen.Caller, &n.lns.caller},
		{"listen.peer", n.cfg.Listen.Peer, &n.lns.peer},
		{"listen.upstream", n.cfg.Listen.Upstream, &n.lns.upstream},
		{"listen.admin", n.cfg.Listen.Admin, &n.lns.admin},
		{"listen.ready", n.cfg.Listen.Ready, &n.lns.ready},
	} {
		if l.addr == "" {
			continue
		}
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			n.closeListeners()
			return errors.Wrap(err, l.key)
		}
		*l.dst = ln
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, ln := range []net.Listener{n.lns.caller, n.lns.peer, n.lns.upstream, n.lns.admin, n.lns.ready} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// Addresses are the addresses on which a node listens.
type Addresses struct {
	Caller, Peer, Upstream, Admin string
}

// Addresses returns the addresses on which the node listens.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Caller:   n.lns.caller.Addr().String(),
		Peer:     n.lns.peer.Addr().String(),
		Upstream: n.lns.upstream.Addr().String(),
		Admin:    n.lns.admin.Addr().String(),
	}
}

// Bundle returns the bundle in force.
func (n *Node) Bundle() *bundle.Bundle { return n.bundle.Load() }

// Events returns the recorded events that match f.
func (n *Node) Events(f event.Filter) []event.Event { return n.events.Events(f) }

// servers are the HTTP servers of one node.
type servers struct {
	caller, peer, upstream, admin, ready *http.Server
}

func (n *Node) newServers() servers {
	callers := echo.New()
	caller.Mount(callers, n.contract.caller, n, int64(n.cfg.Limits.Body))
	ups := echo.New()
	n.mountUpstreams(ups)
	ready := echo.New()
	platform.MountReady(ready, n.ready)
	return servers{
		caller:   n.newServer(n.callerMiddleware(callers), true),
		peer:     n.newServer(n.peerHandler(), true),
		upstream: n.newServer(ups, false),
		admin:    n.newServer(n.adminHandler(), false),
		ready:    n.newServer(ready, false),
	}
}
