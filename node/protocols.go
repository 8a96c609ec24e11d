package node

import (
	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/tcp"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/labstack/echo/v4"
)

// Values of the setting platform.contract, which selects the protocols of a node.
const (
	defaultProtocols  = "own"
	platformProtocols = "store"
)

// protocols holds the protocols that a node uses with callers, upstreams and the platform. With defaultProtocols, the sources,
// directory and logClient are nil.
type protocols struct {
	caller       caller.Dialect
	upstream     upstream.Dialect
	configSource *platform.ConfigSource
	spareSource  *platform.ConfigSource // reads the same over connections of its own
	directory    *platform.Directory
	logClient    *platform.Client // of configSource and directory
}

func newProtocols(cfg Settings, logDial tcp.DialFunc) protocols {
	if cfg.Platform.Contract != platformProtocols {
		return protocols{caller: caller.DefaultDialect(), upstream: upstream.DefaultDialect()}
	}
	logClient := platform.NewClient(cfg.Platform.Log, cfg.Platform.Timeout.Std(), logDial)
	policy := platform.Policy{Floor: cfg.Retry.Floor, Retries: cfg.Retry.Ratio, Reserve: cfg.Retry.Reserve}
	return protocols{
		caller:       platform.CallerDialect(),
		upstream:     platform.UpstreamDialect(),
		configSource: platform.NewConfigSource(logClient, policy),
		spareSource:  platform.NewConfigSource(logClient.WithNewConnections(), policy),
		directory:    platform.NewDirectory(logClient),
		logClient:    logClient,
	}
}

// hasConfigSource reports whether the node reads its bundles from the operator's configuration in the log service.
func (p *protocols) hasConfigSource() bool { return p.configSource != nil }

// mountUpstreams adds to e the endpoints at which upstreams announce themselves.
func (n *Node) mountUpstreams(e *echo.Echo) {
	if !n.protocols.hasConfigSource() {
		upstream.Mount(e, n)
		return
	}
	platform.MountRegistration(e, n, func(id string, err error) {
		_ = level.Warn(n.logger).Log("msg", "announcement refused", "upstream", id, "err", err)
	})
}

// ready reports whether the node accepts requests of callers: it has a bundle and is not shutting down.
func (n *Node) ready() bool { return !n.stopping.Load() && n.Bundle().Len() > 0 }
