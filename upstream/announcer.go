package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Announcer is a client that announces an upstream to its local node.
type Announcer struct {
	baseURL string
	http    *http.Client
}

// NewAnnouncer returns an announcer for the node that listens for upstreams at addr.
func NewAnnouncer(addr string) *Announcer {
	return &Announcer{baseURL: "http://" + addr + "/v1/upstreams/", http: &http.Client{Timeout: RenewInterval}}
}

// Announce sends one announcement and returns the response of the node.
func (n *Announcer) Announce(ctx context.Context, a Announcement) (Receipt, error) {
	var rec Receipt
	body, err := json.Marshal(a)
	if err != nil {
		return rec, errors.Wrap(err, "announce")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, n.baseURL+a.ID, bytes.NewReader(body))
	if err != nil {
		return rec, errors.Wrap(err, "announce")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := n.http.Do(req)
	if err != nil {
		return rec, errors.Wrap(err, "announce")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
		return rec, errors.Errorf("announce: status %d: %s", resp.StatusCode, text)
	}
	return rec, errors.Wrap(json.NewDecoder(resp.Body).Decode(&rec), "announce")
}

// Run sends, every RenewInterval until ctx is done, the announcement returned by current.
func (n *Announcer) Run(ctx context.Context, current func() Announcement) {
	for {
		_, _ = n.Announce(ctx, current()) // an error is ignored, since the next renewal retries
		select {
		case <-ctx.Done():
			return
		case <-time.After(RenewInterval):
		}
	}
}
