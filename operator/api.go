package operator

import (
	"crypto/subtle"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/keyring"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/labstack/echo/v4"
	"github.com/pkg/errors"
)

// maxBody bounds the bytes of a request to the API.
const maxBody = 32 << 20

// Status is the state of one node.
type Status struct {
	Name       string `json:"name"`
	Region     string `json:"region"`
	DataCentre string `json:"data_centre"`
	Version    uint64 `json:"version"`
	Digest     string `json:"digest"`
	InForce    string `json:"in_force"`
	Members    int    `json:"members"`
	Shards     int    `json:"shards"`
	Serving    int    `json:"serving"`
	LogUp      bool   `json:"store_up"`
	Stopping   bool   `json:"stopping"`
	Keys       int    `json:"keys"`
}

// Member is a node as another sees it.
type Member struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"`
	Status      string `json:"status"`
	Region      string `json:"region"`
	DataCentre  string `json:"data_centre"`
	Address     string `json:"address"`
	Upstreams   int    `json:"upstreams"`
}

// Upstream is an upstream as one node sees it.
type Upstream struct {
	ID             string   `json:"id"`
	Service        string   `json:"service"`
	Ready          bool     `json:"ready"`
	Tier           int      `json:"tier"`
	EjectedClasses []string `json:"out,omitempty"` // classes for which it is ejected or on trial
}

// Node is what the API needs from a node.
type Node interface {
	// Status returns the state of the node.
	Status() Status
	// Members returns the nodes that this node knows.
	Members() []Member
	// Upstreams returns the upstreams to which this node routes.
	Upstreams() []Upstream
	// Timeline returns the events of all live nodes that match f in one order.
	Timeline(f event.Filter) []event.Event
	// BundleState returns the newest accepted version with the open proposals, ProposalResults the results of recent proposals.
	BundleState() rollout.State
	ProposalResults() []rollout.Fate
	// Submit appends a record to the log, again where the answer was lost; it returns after the node has read it back.
	Submit(rec rollout.Record) error
}

// Config is the configuration of the API.
type Config struct {
	Token   string // bearer token of all calls but health checks; empty for none
	Pprof   bool
	Metrics http.Handler
	Ready   func() bool
}

// Approval is the body of an approval.
type Approval struct {
	ID        string            `json:"id"`
	Signature keyring.Signature `json:"signature"`
}

// Roll is the body of a roll.
type Roll struct {
	ID string `json:"id"`
}

// NewAPI returns the handler of the administration API.
func NewAPI(f Node, cfg Config) http.Handler {
	e := echo.New()
	e.HideBanner = true
	e.GET("/livez", func(c echo.Context) error { return c.String(http.StatusOK, "ok\n") })
	e.GET("/readyz", func(c echo.Context) error {
		if !cfg.Ready() {
			return c.String(http.StatusServiceUnavailable, "not ready\n")
		}
		return c.String(http.StatusOK, "ok\n")
	})
	g := e.Group("", authorize(cfg.Token), limitBody)
	g.GET("/metrics", echo.WrapHandler(cfg.Metrics))
	if cfg.Pprof {
		g.GET("/debug/pprof/*", echo.WrapHandler(http.HandlerFunc(pprof.Index)))
		g.GET("/debug/pprof/profile", echo.WrapHandler(http.HandlerFunc(pprof.Profile)))
	}
	mountRead(g, f)
	g.POST("/v1/bundle/proposals", submit(f, func(s rollout.Step) rollout.Record {
		return rollout.Record{Kind: rollout.Propose, ID: s.ID, Step: &s}
	}))
	g.POST("/v1/bundle/approvals", submit(f, func(a Approval) rollout.Record {
		return rollout.Record{Kind: rollout.Approve, ID: a.ID, Signature: &a.Signature}
	}))
	g.POST("/v1/bundle/rolls", submit(f, func(r Roll) rollout.Record {
		return rollout.Record{Kind: rollout.Roll, ID: r.ID}
	}))
	return e
}

func mountRead(g *echo.Group, f Node) {
	g.GET("/v1/status", get(f.Status))
	g.GET("/v1/members", get(f.Members))
	g.GET("/v1/upstreams", get(f.Upstreams))
	g.GET("/v1/bundle", get(f.BundleState))
	g.GET("/v1/bundle/fates", get(f.ProposalResults))
	g.GET("/v1/timeline", func(c echo.Context) error {
		filter := event.Filter{
			Node:     c.QueryParam("node"),
			Kind:     event.Kind(c.QueryParam("kind")),
			Upstream: c.QueryParam("upstream"),
			Request:  c.QueryParam("request"),
		}
		return c.JSON(http.StatusOK, f.Timeline(filter))
	})
}

// get returns a handler that answers with the value of f in JSON.
func get[T any](f func() T) echo.HandlerFunc {
	return func(c echo.Context) error { return c.JSON(http.StatusOK, f()) }
}

// submit returns a handler that appends the record made from its body and answers with the fates of proposals.
func submit[T any](f Node, record func(T) rollout.Record) echo.HandlerFunc {
	return func(c echo.Context) error {
		var body T
		if err := c.Bind(&body); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		rec := record(body)
		if rec.ID == "" {
			return echo.NewHTTPError(http.StatusBadRequest, "id is not set")
		}
		if err := f.Submit(rec); err != nil {
			return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
		}
		for _, fate := range f.ProposalResults() {
			if fate.ID == rec.ID {
				return c.JSON(http.StatusOK, fate)
			}
		}
		return c.JSON(http.StatusAccepted, rollout.Fate{ID: rec.ID, Result: rollout.Waiting})
	}
}

func authorize(token string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			got := strings.TrimPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
			if token != "" && subtle.ConstantTimeCompare([]byte(got), []byte(token)) != 1 {
				return echo.NewHTTPError(http.StatusUnauthorized, "wrong or missing bearer token")
			}
			return next(c)
		}
	}
}

func limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		req := c.Request()
		req.Body = http.MaxBytesReader(c.Response(), req.Body, maxBody)
		return next(c)
	}
}

// ErrNotRead reports that a record was appended but not read back in time.
var ErrNotRead = errors.New("the record was appended but has not been read back")
