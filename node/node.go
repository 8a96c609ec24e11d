package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/idempotency"
	"github.com/jasminevane/jasminevane/limit"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/jasminevane/jasminevane/tcp"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// Options holds the dependencies of a node that are not in its settings; the zero value works.
type Options struct {
	Dial    tcp.DialFunc // connects to other nodes; nil to connect over TCP
	Log     platform.Log // the log service; nil for a client of the service named in the settings
	LogDial tcp.DialFunc // connects to the log service; nil to connect over TCP
	Logger  log.Logger   // writes the log lines of the node; nil to discard them

	BootTime func() time.Time // a clock that goes on while the machine is suspended, unlike the monotonic one; nil for that of the system
}

// Node is one process of the fleet.
type Node struct {
	cfg        Settings
	logger     log.Logger
	clock      event.Clock
	bootTime   func() time.Time // see Options; tells how old the bundle is
	events     *event.Ring
	client     *peer.Client
	streams    *upstream.Streams // bounds the responses that are being sent
	logService platform.Log
	metrics    *metrics
	listeners  listeners

	protocols       protocols
	requestLog      requestLogSampler
	bundleVersion   atomic.Uint64          // version of the bundle in force, for the request log
	trafficSplits   sync.Map               // *routeSplit, by the key of its route key
	upstreamService atomic.Pointer[string] // service of the upstreams beside the node, from the settings
	reliesOn        atomic.Pointer[string] // name of the node that last confirmed that it reads the published versions, or empty; for the log

	confirming atomic.Bool // whether a read of the log runs that confirms the bundle, with the own protocols

	mu             sync.Mutex // guards the fields from members to fetchCancels
	members        *membership.Engine
	rollout        *rollout.Engine
	owners         *ownership.Engine
	versionReader  *rollout.Reader                       // whether this node reads the published versions; nil with the own protocols
	freshness      rollout.Freshness                     // of the bundle, by bootTime; with the own protocols, in place of that of versionReader
	keyWatch       rollout.KeyWatch                      // of keys that the bundle in force doesn't require
	tailCaches     map[string]*platform.TailCache        // newest log entries, by stream
	peerPositions  map[string][]peer.Position            // log positions reported by other nodes, by node name
	lastSnapshotAt map[string]time.Time                  // time of the newest snapshot in the log, by stream
	owedSnapshots  map[string]bool                       // streams that get a snapshot soon, since the log was restored from a copy
	logEra         uint64                                // newest known era of the log service; with the own protocols only
	logServiceDown bool                                  // whether the last call to the log service failed
	catchUp        rollout.CatchUp                       // from which nodes missing state is fetched
	fetchCancels   map[*rollout.Fetch]context.CancelFunc // cancel functions of the running fetches
	bundle         atomic.Pointer[bundle.Bundle]

	view         fleetView
	gates        gateSet
	services     atomic.Pointer[map[string]*serviceState]
	servicesMu   sync.Mutex
	keys         keyStore
	unresponsive unresponsiveNodes
	limits       *limit.Limits
	link         linkLimit
	startedAt    time.Time
	stalls       stallDetector // used by reportStall only
	recall       recall
	departureLog departureLog
	stopping     atomic.Bool
	stopPlan     atomic.Pointer[stopPlan] // nil until the node stops
	running      sync.WaitGroup
}

type listeners struct {
	caller, peer, upstream, admin *tcp.Listener
	ready                         *tcp.Listener // nil if the settings name no address
}

// New returns a node that listens on its addresses but does not serve requests until Run is called.
func New(cfg Settings, opt Options) (*Node, error) {
	n := &Node{cfg: cfg, logger: opt.Logger, logService: opt.Log, startedAt: time.Now(), bootTime: opt.BootTime}
	if n.bootTime == nil {
		n.bootTime = systemBootTime
	}
	if n.logger == nil {
		n.logger = log.NewNopLogger()
	}
	if n.logService == nil {
		n.logService = platform.NewClient(cfg.Platform.Log, cfg.Platform.Timeout.Std(), opt.LogDial)
	}
	n.upstreamService.Store(&cfg.Service)
	n.protocols = newProtocols(cfg, opt.LogDial)
	if err := n.listen(); err != nil {
		return nil, err
	}
	if !n.protocols.hasConfigSource() {
		n.recall.readDirectory() // there is none
		if len(cfg.Peers.Seeds) == 0 {
			n.recall.hearNobody()
		}
	}
	now := n.startedAt
	seed := uint64(now.UnixNano())
	n.events = event.NewRing(cfg.Name, &n.clock, cfg.Limits.Events)
	n.client = peer.NewClient(opt.Dial)
	n.metrics = newMetrics(cfg.DataCentre)
	n.streams = upstream.NewStreams(n.metrics.endedStreams.Inc)
	n.client.Bound(n.streams)
	n.requestLog = newRequestLogSampler()
	self := membership.Member{
		Name:        cfg.Name,
		Incarnation: uint64(now.UnixMilli()),
		Region:      cfg.Region,
		DataCentre:  cfg.DataCentre,
		Address:     n.listeners.peer.Addr().String(),
	}
	n.members = membership.New(now, self, cfg.Peers.Seeds, rand.New(rand.NewPCG(seed, uint64(len(cfg.Name)))))
	n.rollout = rollout.New(cfg.DataCentre, cfg.trustedKeys())
	if n.protocols.hasConfigSource() {
		n.rollout.AcceptForwardedVersions()
		n.versionReader = rollout.NewReader(n.bootTime(), cfg.Name, cfg.Platform.Apply.Std(), rand.New(rand.NewPCG(seed, 2)))
	}
	n.owners = ownership.New(now, ownershipNode(self), ownership.DisabledSafeguards{})
	n.tailCaches = map[string]*platform.TailCache{rollout.Stream: {}, ownership.Stream: {}}
	n.peerPositions = make(map[string][]peer.Position)
	n.fetchCancels = make(map[*rollout.Fetch]context.CancelFunc)
	n.owedSnapshots = make(map[string]bool)
	n.lastSnapshotAt = map[string]time.Time{rollout.Stream: now, ownership.Stream: now}
	n.keys.ledger = idempotency.NewLedger(idempotency.Limits{
		MaxKeys:          cfg.Limits.Keys,
		MaxResponseBytes: int(cfg.Limits.ResponseBytes),
		Retention:        defaultKeyRetention,
	})
	n.keys.waiters = make(map[string]chan struct{})
	n.bundle.Store(bundle.Empty())
	n.services.Store(&map[string]*serviceState{})
	n.gates.byID = make(map[string]*upstream.Gate)
	n.gates.announcedSuspect = make(map[*upstream.Gate]bool)
	n.limits = n.newLimits(now)
	return n, nil
}

func (n *Node) listen() error {
	for _, l := range []struct {
		key, addr string
		listener  **tcp.Listener
	}{
		{"listen.caller", n.cfg.Listen.Caller, &n.listeners.caller},
		{"listen.peer", n.cfg.Listen.Peer, &n.listeners.peer},
		{"listen.upstream", n.cfg.Listen.Upstream, &n.listeners.upstream},
		{"listen.admin", n.cfg.Listen.Admin, &n.listeners.admin},
		{"listen.ready", n.cfg.Listen.Ready, &n.listeners.ready},
	} {
		if l.addr == "" {
			continue
		}
		ln, err := tcp.Listen(l.addr)
		if err != nil {
			n.closeListeners()
			return errors.Wrap(err, l.key)
		}
		*l.listener = ln
	}
	return nil
}

func (n *Node) closeListeners() {
	for _, ln := range []*tcp.Listener{n.listeners.caller, n.listeners.peer, n.listeners.upstream, n.listeners.admin, n.listeners.ready} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// Addresses holds the addresses on which a node listens.
type Addresses struct {
	Caller, Peer, Upstream, Admin string
}

// Addresses returns the addresses on which the node listens.
func (n *Node) Addresses() Addresses {
	return Addresses{
		Caller:   n.listeners.caller.Addr().String(),
		Peer:     n.listeners.peer.Addr().String(),
		Upstream: n.listeners.upstream.Addr().String(),
		Admin:    n.listeners.admin.Addr().String(),
	}
}

// Bundle returns the bundle in force.
func (n *Node) Bundle() *bundle.Bundle { return n.bundle.Load() }

// Events returns the recorded events that match f.
func (n *Node) Events(f event.Filter) []event.Event { return n.events.Events(f) }

// servers holds the HTTP servers of one node.
type servers struct {
	caller, peer           *drainableServer
	upstream, admin, ready *http.Server
}

func (n *Node) newServers() servers {
	callerAPI := echo.New()
	caller.Mount(callerAPI, n.protocols.caller, n, caller.Limits{Head: int64(n.cfg.Limits.Header), Body: int64(n.cfg.Limits.Body)})
	upstreamAPI := echo.New()
	n.mountUpstreams(upstreamAPI)
	readinessAPI := echo.New()
	platform.MountReady(readinessAPI, n.ready)
	return servers{
		caller:   newDrainableServer(n.newServer(n.callerMiddleware(callerAPI), true), n.listeners.caller),
		peer:     newDrainableServer(n.newServer(n.peerHandler(), true), n.listeners.peer),
		upstream: n.newServer(upstreamAPI, false),
		admin:    n.newServer(n.adminHandler(), false),
		ready:    n.newServer(readinessAPI, false),
	}
}
