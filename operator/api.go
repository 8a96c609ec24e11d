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

// maxBodyBytes limits the body of a request to the API.
const maxBodyBytes = 32 << 20

// Status is the state of one node.
type Status struct {
	Name          string `json:"name"`
	Region        string `json:"region"`
	DataCentre    string `json:"data_centre"`
	BundleVersion uint64 `json:"version"`
	Digest        string `json:"digest"`
	InForce       string `json:"in_force"`
	Members       int    `json:"members"`
	Shards        int    `json:"shards"`
	Serving       int    `json:"serving"`
	LogUp         bool   `json:"store_up"` // the log service is reachable
	Stopping      bool   `json:"stopping"`
	Keys          int    `json:"keys"` // number of stored idempotency keys
}

// Member is a node as another node sees it.
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
	EjectedClasses []string `json:"out,omitempty"` // classes for which it is ejected or on trial after an ejection
}

// Node is the part of a node that the API reads and controls.
type Node interface {
	// Status returns the state of the node.
	Status() Status
	// Members returns the nodes that this node knows.
	Members() []Member
	// Upstreams returns the upstreams to which this node routes.
	Upstreams() []Upstream
	// Timeline returns the events of all live nodes that match f, in a single order.
	Timeline(f event.Filter) []event.Event
	// BundleState returns the newest accepted version with the open proposals.
	BundleState() rollout.State
	// ProposalResults returns the results of recent proposals.
	ProposalResults() []rollout.ProposalResult
	// Submit appends a record to the log, retrying if the response was lost, and returns once the node has read the record back.
	Submit(rec rollout.Record) error
}

// Config is the configuration of the API.
type Config struct {
	Token   string // bearer token required by all calls except health checks; empty for none
	Pprof   bool   // serve profiles of the process
	Metrics http.Handler
	Ready   func() bool
}

// Approval is the body of a request to approve a proposal.
type Approval struct {
	ID        string            `json:"id"`
	Signature keyring.Signature `json:"signature"`
}

// Roll is the body of a request to put a proposal in force.
type Roll struct {
	ID string `json:"id"`
}

// NewAPI returns the handler of the administration API.
func NewAPI(n Node, cfg Config) http.Handler {
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
	mountReads(g, n)
	g.POST("/v1/bundle/proposals", submit(n, func(s rollout.Step) rollout.Record {
		return rollout.Record{Kind: rollout.Propose, ID: s.ID, Step: &s}
	}))
	g.POST("/v1/bundle/approvals", submit(n, func(a Approval) rollout.Record {
		return rollout.Record{Kind: rollout.Approve, ID: a.ID, Signature: &a.Signature}
	}))
	g.POST("/v1/bundle/rolls", submit(n, func(r Roll) rollout.Record {
		return rollout.Record{Kind: rollout.Roll, ID: r.ID}
	}))
	return e
}

func mountReads(g *echo.Group, n Node) {
	g.GET("/v1/status", get(n.Status))
	g.GET("/v1/members", get(n.Members))
	g.GET("/v1/upstreams", get(n.Upstreams))
	g.GET("/v1/bundle", get(n.BundleState))
	g.GET("/v1/bundle/fates", get(n.ProposalResults))
	g.GET("/v1/timeline", func(c echo.Context) error {
		filter := event.Filter{
			Node:     c.QueryParam("node"),
			Kind:     event.Kind(c.QueryParam("kind")),
			Upstream: c.QueryParam("upstream"),
			Request:  c.QueryParam("request"),
		}
		return c.JSON(http.StatusOK, n.Timeline(filter))
	})
}

// get returns a handler that responds with the result of f as JSON.
func get[T any](f func() T) echo.HandlerFunc {
	return func(c echo.Context) error { return c.JSON(http.StatusOK, f()) }
}

// submit returns a handler that appends the record built from the request body and responds with the result of the proposal.
func submit[T any](n Node, record func(T) rollout.Record) echo.HandlerFunc {
	return func(c echo.Context) error {
		var body T
		if err := c.Bind(&body); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, err.Error())
		}
		rec := record(body)
		if rec.ID == "" {
			return echo.NewHTTPError(http.StatusBadRequest, "id is not set")
		}
		if err := n.Submit(rec); err != nil {
			return echo.NewHTTPError(http.StatusServiceUnavailable, err.Error())
		}
		for _, result := range n.ProposalResults() {
			if result.ID == rec.ID {
				return c.JSON(http.StatusOK, result)
			}
		}
		return c.JSON(http.StatusAccepted, rollout.ProposalResult{ID: rec.ID, Result: rollout.Waiting})
	}
}

func authorize(token string) echo.MiddlewareFunc {
	return func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			presented := strings.TrimPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
			if token != "" && subtle.ConstantTimeCompare([]byte(presented), []byte(token)) != 1 {
				return echo.NewHTTPError(http.StatusUnauthorized, "wrong or missing bearer token")
			}
			return next(c)
		}
	}
}

func limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		req := c.Request()
		req.Body = http.MaxBytesReader(c.Response(), req.Body, maxBodyBytes)
		return next(c)
	}
}

// ErrNotRead reports that a record was appended but not read back in time.
var ErrNotRead = errors.New("the record was appended but has not been read back")
