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

// Contract is what a stand-in speaks with the node beside it.
type Contract int

// The contracts.
const (
	Native   Contract = iota // the product's own
	Platform                 // the platform's
)

// announcer tells a node of a server.
type announcer interface {
	announce(ctx context.Context, a upstream.Announcement) error
	leave(ctx context.Context, id string) error
}

func (c Contract) dialect() upstream.Dialect {
	if c == Platform {
		return platform.UpstreamDialect()
	}
	return upstream.DefaultDialect()
}

func (c Contract) announcer(node string) announcer {
	if c == Platform {
		return &platformAnnouncer{base: "http://" + node + "/v1/Instances.", http: &http.Client{Timeout: upstream.RenewInterval}}
	}
	return ownAnnouncer{upstream.NewAnnouncer(node)}
}

// ownAnnouncer speaks the product's own contract.
type ownAnnouncer struct{ *upstream.Announcer }

func (a ownAnnouncer) announce(ctx context.Context, said upstream.Announcement) error {
	_, err := a.Announce(ctx, said)
	return err
}

// leave does nothing, since a server of the product's own contract just ends.
func (ownAnnouncer) leave(context.Context, string) error { return nil }

// platformAnnouncer speaks the platform's contract.
type platformAnnouncer struct {
	base string
	http *http.Client
}

type beat struct {
	Address string     `json:"address"`
	Born    uint64     `json:"born"`
	Info    beatInfo   `json:"info"`
	Status  beatStatus `json:"status"`
}

type beatInfo struct {
	Service string `json:"service"`
	Version string `json:"version"`
	Slots   int    `json:"slots"`
}

type beatStatus struct {
	State    string `json:"state"`
	Seq      uint64 `json:"seq"`
	ColdLeft string `json:"cold_left"`
}

func (a *platformAnnouncer) announce(ctx context.Context, said upstream.Announcement) error {
	cold := time.Duration(0)
	state := said.State
	if state == upstream.Warming {
		state, cold = upstream.Ready, said.Warming
	}
	body, err := json.Marshal(beat{
		Address: said.Address,
		Born:    said.Incarnation,
		Info:    beatInfo{Service: said.Service, Version: "v1", Slots: said.Slots},
		Status:  beatStatus{State: string(state), Seq: said.Seq, ColdLeft: fmt.Sprintf("%dms", cold.Milliseconds())},
	})
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	return a.post(ctx, "Heartbeat/"+said.ID, body)
}

func (a *platformAnnouncer) leave(ctx context.Context, id string) error {
	return a.post(ctx, "Deregister/"+id, nil)
}

func (a *platformAnnouncer) post(ctx context.Context, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.base+path, bytes.NewReader(body))
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
