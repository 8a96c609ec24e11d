package node

import (
	"net/http"

	"github.com/go-kit/log/level"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/labstack/echo/v4"
)

// The contracts that a node supports.
const (
	defaultProtocols   = "own"
	platformProtocols = "store"
)

// protocols holds the protocols for callers, upstreams and operators; with ownContract, configSource and directory are nil.
type protocols struct {
	caller       caller.Dialect
	upstream     upstream.Dialect
	configSource *platform.ConfigSource
	directory    *platform.Directory
}

func newProtocols(cfg Settings, transport http.RoundTripper) protocols {
	if cfg.Platform.Contract != platformProtocols {
		return protocols{caller: caller.DefaultDialect(), upstream: upstream.DefaultDialect()}
	}
	c := platform.NewClient(cfg.Platform.Log, cfg.Platform.Timeout.Std(), transport)
	policy := platform.Policy{Floor: cfg.Retry.Floor, Retries: cfg.Retry.Ratio, Reserve: cfg.Retry.Reserve}
	return protocols{
		caller:       platform.CallerDialect(),
		upstream:     platform.UpstreamDialect(),
		configSource: platform.NewConfigSource(c, policy),
		directory:    platform.NewDirectory(c),
	}
}

// hasConfigSource reports whether bundle versions come from the operator's configuration in the log service.
func (c *protocols) hasConfigSource() bool { return c.configSource != nil }

// mountUpstreams adds the endpoints for upstreams to e.
func (n *Node) mountUpstreams(e *echo.Echo) {
	if !n.protocols.hasConfigSource() {
		upstream.Mount(e, n)
		return
	}
	platform.MountRegistration(e, n, func(id string, err error) {
		_ = level.Warn(n.logger).Log("msg", "announcement refused", "upstream", id, "err", err)
	})
}

// ready reports whether the node accepts requests of callers.
func (n *Node) ready() bool { return !n.stopping.Load() && n.Bundle().Len() > 0 }
