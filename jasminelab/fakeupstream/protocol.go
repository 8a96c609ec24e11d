package fakeupstream

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// Protocol selects the protocol between a server and the node beside it.
type Protocol int

// The protocols.
const (
	Native   Protocol = iota // the proxy's native API
	Platform                 // the platform's API
)

// announcer announces a server to a node.
type announcer interface {
	announce(ctx context.Context, a upstream.Announcement) error
	deregister(ctx context.Context, id string) error
}

func (c Protocol) dialect() upstream.Dialect {
	if c == Platform {
		return platform.UpstreamDialect()
	}
	return upstream.DefaultDialect()
}

func (c Protocol) announcer(nodeAddr string) announcer {
	if c == Platform {
		return &platformAnnouncer{baseURL: "http://" + nodeAddr + "/v1/Instances.", http: &http.Client{Timeout: upstream.RenewInterval}}
	}
	return nativeAnnouncer{upstream.NewAnnouncer(nodeAddr)}
}

// nativeAnnouncer implements announcer for the native protocol.
type nativeAnnouncer struct{ *upstream.Announcer }

func (a nativeAnnouncer) announce(ctx context.Context, ann upstream.Announcement) error {
	_, err := a.Announce(ctx, ann)
	return err
}

// deregister does nothing, since the native protocol has no such call.
func (nativeAnnouncer) deregister(context.Context, string) error { return nil }

// platformAnnouncer implements announcer for the platform's protocol.
type platformAnnouncer struct {
	baseURL string
	http    *http.Client
}

type heartbeat struct {
	Address string          `json:"address"`
	Born    uint64          `json:"born"`
	Info    heartbeatInfo   `json:"info"`
	Status  heartbeatStatus `json:"status"`
}

type heartbeatInfo struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Zone    string `json:"zone"`
	Slots   int    `json:"slots"`
}

type heartbeatStatus struct {
	State           string `json:"state"`
	Seq             uint64 `json:"seq"`
	WarmupRemaining string `json:"cold_left"`
}

func (a *platformAnnouncer) announce(ctx context.Context, ann upstream.Announcement) error {
	warmup := time.Duration(0)
	state := ann.State
	if state == upstream.Warming {
		state, warmup = upstream.Ready, ann.Warming
	}
	body, err := json.Marshal(heartbeat{
		Address: ann.Address,
		Born:    ann.Incarnation,
		Info:    heartbeatInfo{Service: ann.Service, Version: "v1", Zone: "z", Slots: ann.Slots},
		Status:  heartbeatStatus{State: string(state), Seq: ann.Seq, WarmupRemaining: fmt.Sprintf("%dms", warmup.Milliseconds())},
	})
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	return a.post(ctx, "Heartbeat/"+ann.ID, body)
}

func (a *platformAnnouncer) deregister(ctx context.Context, id string) error {
	return a.post(ctx, "Deregister/"+id, nil)
}

func (a *platformAnnouncer) post(ctx context.Context, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, path)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.http.Do(req)
	if err != nil {
		return errors.Wrap(err, path)
	}
	_ = resp.Body.Close()
	if resp.StatusCode/100 != 2 {
		return errors.Errorf("%s: status %d", path, resp.StatusCode)
	}
	return nil
}
