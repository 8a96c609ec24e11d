package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// requestKind is a kind of request that requesters send.
type requestKind struct {
	method, host, path string
	timeout            time.Duration
}

var requestCount atomic.Uint64

// sendRequest sends one request on a connection of its own and records how it ends: the status, or "closed" without a complete answer.
func sendRequest(ctx context.Context, log *record, node, addr string, k requestKind) {
	id := fmt.Sprintf("%016x", requestCount.Add(1))
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		log.add("unsent", id, "node=%s %v", node, err)
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(time.Now().Add(k.timeout + time.Second))
	body := ""
	if k.method == http.MethodPost {
		body = "order " + id
	}
	log.add("sent", id, "node=%s method=%s path=%s", node, k.method, k.path)
	_, err = fmt.Fprintf(conn, "%s %s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nTimeout-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		k.method, k.path, id, k.host, id, k.timeout.Milliseconds(), len(body), body)
	if err != nil {
		log.add("closed", id, "node=%s while sending: %v", node, err)
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: k.method})
	if err != nil {
		if ctx.Err() == nil {
			log.add("closed", id, "node=%s %v", node, err)
		}
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		log.add("closed", id, "node=%s in the body: %v", node, err)
		return
	}
	log.add("answered", id, "node=%s status=%d", node, resp.StatusCode)
}

// keepSending sends requests at an interval until ctx ends.
func keepSending(ctx context.Context, log *record, node, addr string, k requestKind, interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go sendRequest(ctx, log, node, addr, k)
		}
	}
}
