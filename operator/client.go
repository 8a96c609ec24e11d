package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/jasminevane/jasminevane/event"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/pkg/errors"
)

// Client calls the administration API of one node.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// clientTimeout limits the duration of one API call.
const clientTimeout = 15 * time.Second

// NewClient returns a client of the node whose admin address is addr.
func NewClient(addr, token string) *Client {
	return &Client{base: "http://" + addr, token: token, http: &http.Client{Timeout: clientTimeout}}
}

// Status returns the state of the node.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/v1/status", nil)
}

// Members returns the nodes that the node knows.
func (c *Client) Members(ctx context.Context) ([]Member, error) {
	return call[[]Member](ctx, c, http.MethodGet, "/v1/members", nil)
}

// Upstreams returns the upstreams to which the node routes.
func (c *Client) Upstreams(ctx context.Context) ([]Upstream, error) {
	return call[[]Upstream](ctx, c, http.MethodGet, "/v1/upstreams", nil)
}

// Bundle returns the newest accepted version with the open proposals.
func (c *Client) Bundle(ctx context.Context) (rollout.State, error) {
	return call[rollout.State](ctx, c, http.MethodGet, "/v1/bundle", nil)
}

// ProposalResults returns the results of recent proposals.
func (c *Client) ProposalResults(ctx context.Context) ([]rollout.ProposalResult, error) {
	return call[[]rollout.ProposalResult](ctx, c, http.MethodGet, "/v1/bundle/fates", nil)
}

// Timeline returns the events of all live nodes that match f, in a single order.
func (c *Client) Timeline(ctx context.Context, f event.Filter) ([]event.Event, error) {
	q := url.Values{"node": {f.Node}, "kind": {string(f.Kind)}, "upstream": {f.Upstream}, "request": {f.Request}}
	return call[[]event.Event](ctx, c, http.MethodGet, "/v1/timeline?"+q.Encode(), nil)
}

// Propose submits a proposal signed by its author.
func (c *Client) Propose(ctx context.Context, s rollout.Step) (rollout.ProposalResult, error) {
	return call[rollout.ProposalResult](ctx, c, http.MethodPost, "/v1/bundle/proposals", s)
}

// Approve submits a signature of an open proposal.
func (c *Client) Approve(ctx context.Context, a Approval) (rollout.ProposalResult, error) {
	return call[rollout.ProposalResult](ctx, c, http.MethodPost, "/v1/bundle/approvals", a)
}

// Roll asks for an open proposal to be put in force and returns the result.
func (c *Client) Roll(ctx context.Context, id string) (rollout.ProposalResult, error) {
	return call[rollout.ProposalResult](ctx, c, http.MethodPost, "/v1/bundle/rolls", Roll{ID: id})
}

// StatusError reports a call to which the node responded with an error status.
type StatusError struct {
	status int
	text   string
}

// Status returns the HTTP status.
func (e *StatusError) Status() int { return e.status }

// Error implements error.
func (e *StatusError) Error() string { return http.StatusText(e.status) + ": " + e.text }

func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var result T
	var payload io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return result, errors.Wrap(err, "encode request")
		}
		payload = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, payload)
	if err != nil {
		return result, errors.Wrap(err, "call")
	}
	req.Header.Set("Content-Type", "application/json")
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return result, errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4<<10))
		return result, &StatusError{status: resp.StatusCode, text: string(bytes.TrimSpace(text))}
	}
	return result, errors.Wrap(json.NewDecoder(resp.Body).Decode(&result), "decode response")
}
