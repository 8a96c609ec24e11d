package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/idempotency"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// Limits and timing of requests with an idempotency key and of ownership calls.
const (
	defaultKeyRetention    = 10 * time.Minute
	ownerRetryInterval     = 40 * time.Millisecond // wait before the owner of a key is looked up again
	maxStoredResponseBytes = 16 << 10              // maximum size of a response body that is stored for replay
	ownerTimeout           = 700 * time.Millisecond
	handoverTimeout        = 2 * time.Second
	lateHandoverAttempts   = 5
	lateHandoverInterval   = 300 * time.Millisecond
)

// keyStore holds the idempotency records of the shards that this node owns.
type keyStore struct {
	mu       sync.Mutex
	ledger   *idempotency.Ledger
	waiters  map[string]chan struct{} // by key of a running request; closed when the request ends
	claimSeq uint64                   // sequence number of the last ownership claim, which makes claim IDs unique
}

func (k *keyStore) setRetention(d time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ledger.SetRetention(d)
}

func (k *keyStore) pending() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.waiters)
}

// serveKeyed forwards a request to the owner of its idempotency key. While no owner responds, it looks up the owner again and
// retries until the deadline of the request.
func (n *Node) serveKeyed(ctx context.Context, j *forwardedRequest, r *caller.Request) (*upstream.Response, error) {
	k := &peer.KeyedRequest{
		Key:          url.PathEscape(r.Caller) + "/" + url.PathEscape(j.match.Service.Name()) + "/" + r.Key,
		FirstAttempt: r.FirstAttempt,
		Attempt:      (&dispatcher{req: j}).newAttempt(0),
	}
	mayHaveArrived := false
	for {
		resp, err := n.tryOwners(ctx, j, k, &mayHaveArrived)
		if !errors.Is(err, errNoOwner) {
			return resp, err
		}
		if ctx.Err() != nil || time.Until(j.deadline) < ownerRetryInterval {
			return nil, noOwnerError(k, mayHaveArrived)
		}
		n.sleep(ctx, ownerRetryInterval)
	}
}

// errNoOwner reports that no node responded as the owner of a key.
var errNoOwner = errors.New("no owner responded")

// noOwnerError returns the error for a caller if no owner of its key responded before the deadline. The outcome is unknown if
// an owner may have received the request.
func noOwnerError(k *peer.KeyedRequest, mayHaveArrived bool) error {
	o := outcome.Unknown
	if !mayHaveArrived && k.FirstAttempt {
		o = outcome.NotRun
	}
	e := outcome.NewError(o, outcome.CodeKeyOwner, errNoOwner)
	e.RetryAfter = retryAfter
	return e
}

// tryOwners forwards the request to the candidate owners of the key in turn until one responds. It sets mayHaveArrived if the
// request was sent to a candidate that did not respond.
func (n *Node) tryOwners(ctx context.Context, j *forwardedRequest, k *peer.KeyedRequest, mayHaveArrived *bool) (*upstream.Response, error) {
	n.mu.Lock()
	owners := n.owners.OwnerCandidates(ownership.Shard(k.Key))
	n.mu.Unlock()
	for _, name := range owners {
		if !j.body.CanOpen() {
			break
		}
		k.Body = j.body.Open()
		resp, err := n.forwardToOwner(ctx, name, k)
		var transportErr *peer.TransportError
		var e *outcome.Error
		switch {
		case errors.As(err, &transportErr):
			*mayHaveArrived = *mayHaveArrived || transportErr.Sent()
			k.FirstAttempt = k.FirstAttempt && !transportErr.Sent()
		case errors.As(err, &e) && e.Code == outcome.CodeKeyOwner:
		case errors.As(err, &e) && e.Code == outcome.CodeCanceled:
			return nil, outcome.NewError(outcome.Unknown, e.Code, e.Err)
		default:
			return resp, err
		}
	}
	return nil, errNoOwner
}

func (n *Node) forwardToOwner(ctx context.Context, name string, k *peer.KeyedRequest) (*upstream.Response, error) {
	if name == n.cfg.Name {
		return n.Keyed(ctx, k)
	}
	m, ok := n.view.member(name)
	if !ok || m.Status == membership.Dead || m.Status == membership.Left || n.unresponsive.has(name) {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeKeyOwner, nil)
	}
	timer := time.AfterFunc(ownerPingDelay, func() { n.checkResponsive(name, m.Address) })
	defer timer.Stop()
	return n.client.ForwardKey(ctx, m.Address, k)
}

// Keyed implements peer.Receiver: it runs a request whose key this node owns.
func (n *Node) Keyed(ctx context.Context, k *peer.KeyedRequest) (*upstream.Response, error) {
	target, err := bundle.ParseTarget(k.URI)
	if err != nil {
		return nil, outcome.NewError(outcome.Unknown, outcome.CodeBadRequest, err)
	}
	match, ok := n.Bundle().Route(k.Host, k.Method, target.Path())
	if !ok {
		return nil, outcome.NewError(outcome.Unknown, outcome.CodeNoRoute, nil)
	}
	body, err := caller.ReadBody(k.Body, k.Length)
	if err != nil {
		return nil, err
	}
	req := idempotency.Request{Shard: ownership.Shard(k.Key), Key: k.Key, Fingerprint: fingerprint(k, body), FirstAttempt: k.FirstAttempt}
	for {
		verdict, stored, done := n.begin(&req)
		if verdict == idempotency.Wait {
			select {
			case <-done:
				continue
			case <-ctx.Done():
			case <-time.After(time.Until(k.Deadline)):
			}
			return nil, outcome.NewError(outcome.Unknown, outcome.CodeTimeout, errors.New("an earlier request with the key is running"))
		}
		if verdict != idempotency.Run {
			resp, err := verdictResponse(verdict, stored)
			if verdict == idempotency.TooManyKeys {
				err = unknownForRepeat(k, err)
			}
			return resp, err
		}
		j := &forwardedRequest{
			requestID: k.ID, caller: k.Caller, prioritized: k.Prioritized, priority: k.Priority, match: match, deadline: k.Deadline, hasKey: true, method: k.Method,
			uri: k.URI, host: k.Host, header: k.Header, body: body, arrived: n.arrivalForAdmission(k.Arrived),
		}
		resp, err := n.runKeyed(ctx, j, k.Key)
		return resp, unknownForRepeat(k, err)
	}
}

// unknownForRepeat changes the outcome of a refused repeated request from not-run to unknown, since the earlier request with
// the key may still arrive and run.
func unknownForRepeat(k *peer.KeyedRequest, err error) error {
	var e *outcome.Error
	if k.FirstAttempt || !errors.As(err, &e) || e.Outcome != outcome.NotRun {
		return err
	}
	return &outcome.Error{Outcome: outcome.Unknown, Code: e.Code, RetryAfter: e.RetryAfter, Err: e.Err}
}

func fingerprint(k *peer.KeyedRequest, body *caller.Body) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(k.Method + " " + k.URI + " " + strconv.FormatInt(body.Len(), 10) + "\n")
	_, _ = d.Write(body.Prefix())
	return d.Sum64()
}

// begin records the start of a request in the ledger if this node has a valid lease for the shard of its key.
func (n *Node) begin(req *idempotency.Request) (idempotency.Verdict, idempotency.Response, chan struct{}) {
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	now := time.Now()
	n.mu.Lock()
	ok, completeSince := n.owners.Serving(now, req.Shard)
	n.mu.Unlock()
	if !ok {
		return notOwner, nil, nil
	}
	req.CompleteSince = completeSince
	verdict, stored := n.keys.ledger.Begin(now, *req)
	switch verdict {
	case idempotency.Run:
		n.keys.waiters[req.Key] = make(chan struct{})
	case idempotency.Wait:
		return verdict, nil, n.keys.waiters[req.Key]
	}
	return verdict, stored, nil
}

// notOwner extends the verdicts of the ledger: this node has no valid lease for the shard of the key.
const notOwner = idempotency.Verdict(-1)

func verdictResponse(v idempotency.Verdict, stored idempotency.Response) (*upstream.Response, error) {
	switch v {
	case notOwner:
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeKeyOwner, nil)
	case idempotency.Replay:
		return replay(stored)
	case idempotency.KeyReused:
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeKeyReused, errors.New("the key belongs to a different request"))
	case idempotency.TooManyKeys:
		e := outcome.NewError(outcome.NotRun, outcome.CodeOverload, errors.New("no more keys can be stored"))
		e.RetryAfter = retryAfter
		return nil, e
	case idempotency.ResponseEvicted:
		return nil, outcome.NewError(outcome.Ran, outcome.CodeKeyLost, errors.New("the request ran, but its response is not stored"))
	}
	return nil, outcome.NewError(outcome.Unknown, outcome.CodeKeyMemory, errors.New("an earlier request with the key may have run"))
}

// runKeyed runs the first request with a key to completion, even if its caller disconnects.
func (n *Node) runKeyed(ctx context.Context, j *forwardedRequest, key string) (*upstream.Response, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	resp, err := n.dispatchRequest(ctx, j)
	var e *outcome.Error
	switch {
	case err == nil && resp.Body == nil:
		cancel()
		n.completeKey(key, func(l *idempotency.Ledger) { l.Finish(key, encodeResponse(resp)) })
		return resp, nil
	case err == nil:
		return n.storeStream(resp, key, cancel)
	case errors.As(err, &e) && e.Outcome == outcome.NotRun:
		n.completeKey(key, func(l *idempotency.Ledger) { l.Cancel(key) })
	default:
		n.completeKey(key, func(l *idempotency.Ledger) { l.MarkUnknown(key) })
	}
	cancel()
	return nil, err
}

// storeStream stores a streamed response for replay if its body is smaller than maxStoredResponseBytes; a larger response is
// streamed to the caller and cannot be replayed.
func (n *Node) storeStream(resp *upstream.Response, key string, cancel context.CancelFunc) (*upstream.Response, error) {
	var prefix bytes.Buffer
	_, err := io.CopyN(&prefix, resp.Body, maxStoredResponseBytes)
	if errors.Is(err, io.EOF) {
		_ = resp.Body.Close()
		cancel()
		resp.SetContent(prefix.Bytes())
		n.completeKey(key, func(l *idempotency.Ledger) { l.Finish(key, encodeResponse(resp)) })
		return resp, nil
	}
	if err != nil {
		_ = resp.Body.Close()
		cancel()
		n.completeKey(key, func(l *idempotency.Ledger) { l.MarkUnknown(key) })
		return nil, outcome.NewError(outcome.Unknown, outcome.CodeTruncated, err)
	}
	n.completeKey(key, func(l *idempotency.Ledger) { l.Finish(key, nil) })
	stream := resp.Body
	resp.Body = &cancelOnCloseBody{ReadCloser: readCloser{io.MultiReader(&prefix, stream), stream}, cancel: cancel}
	return resp, nil
}

type readCloser struct {
	io.Reader
	io.Closer
}

func (n *Node) completeKey(key string, update func(*idempotency.Ledger)) {
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	update(n.keys.ledger)
	if done := n.keys.waiters[key]; done != nil {
		close(done)
		delete(n.keys.waiters, key)
	}
}

// storedResponse is the JSON form of a response that is stored for replay.
type storedResponse struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

func encodeResponse(resp *upstream.Response) idempotency.Response {
	data, _ := resp.Content()
	if len(data) > maxStoredResponseBytes {
		return nil
	}
	encoded, err := json.Marshal(storedResponse{Status: resp.Status, Header: resp.Header, Body: data})
	if err != nil {
		return nil
	}
	return encoded
}

// replayHeader names the response header that marks a stored response to an earlier request with the same key.
const replayHeader = "Idempotent-Replayed"

func replay(data idempotency.Response) (*upstream.Response, error) {
	var stored storedResponse
	if err := json.Unmarshal(data, &stored); err != nil {
		return nil, outcome.NewError(outcome.Ran, outcome.CodeKeyLost, err)
	}
	resp := &upstream.Response{Status: stored.Status, Header: stored.Header}
	if resp.Header == nil {
		resp.Header = make(http.Header)
	}
	resp.Header.Set(replayHeader, "true")
	resp.SetContent(stored.Body)
	return resp, nil
}
