package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// answer is what a requester got.
type answer struct {
	status int
	seal   string
	body   string
	err    error
}

// request sends a request of a requester beside the node, over a connection of its own, with the extra headers or those of the world.
func (n *nodeProc) request(method, target, id string, timeout time.Duration, body string, extra map[string]string) answer {
	return n.requestOver(newRequester(false), method, target, id, timeout, body, extra)
}

// newRequester returns a requester, which may keep its connection for further requests.
func newRequester(keeps bool) *http.Client {
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: !keeps, MaxConnsPerHost: 1, DisableCompression: true}}
}

// requestOver sends a request of the requester.
func (n *nodeProc) requestOver(requester *http.Client, method, target, id string, timeout time.Duration, body string, extra map[string]string) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.outbound+"/", strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	path, query, _ := strings.Cut(target, "?")
	req.URL.Opaque = path // as it is
	req.URL.RawQuery = query
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Timeout-Ms", fmt.Sprint(timeout.Milliseconds()))
	if extra == nil {
		extra = n.w.headers
	}
	for k, v := range extra {
		req.Header.Set(k, v)
	}
	n.w.log("requester at %s sends %s: %s %s", n.name, id, method, target)
	resp, err := requester.Do(req)
	if err != nil {
		n.w.log("requester at %s: %s: %v", n.name, id, err)
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, seal: resp.Header.Get("Response-Seal"), body: string(data), err: err}
	n.w.log("requester at %s: %s is answered %d seal=%q body=%q err=%v", n.name, id, a.status, a.seal, a.body, err)
	return a
}
