package node

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/idempotency"
	"github.com/jasminevane/jasminevane/membership"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/ownership"
	"github.com/jasminevane/jasminevane/peer"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/pkg/errors"
)

// Parameters of requests with an idempotency key.
const (
	defaultRetention = 10 * time.Minute
	ownerWait        = 40 * time.Millisecond // time before the owner of a key is looked up again
	keptAnswer       = 16 << 10              // bytes of an answer that are kept for a repeat
	ownerTimeout     = 700 * time.Millisecond
	handoverTimeout  = 2 * time.Second
	legacyTries      = 5
	legacyEvery      = 300 * time.Millisecond
)

// keyStore holds the ledger of the shards that this node owns.
type keyStore struct {
	mu      sync.Mutex
	ledger  *idempotency.Ledger
	waiters map[string]chan struct{} // closed when a pending key ends
	claims  uint64
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

// serveKeyed passes a request to the owner of its key, again where that is safe.
func (n *Node) serveKeyed(ctx context.Context, j *job, r *caller.Request) (*upstream.Response, error) {
	k := &peer.KeyedRequest{
		Key:     r.Caller + "/" + j.match.Service.Name() + "/" + r.Key,
		Caller:  r.Caller,
		Fresh:   r.FirstAttempt,
		Attempt: (&dispatch{job: j}).newAttempt(0),
	}
	sent := false
	for {
		ans, err := n.tryOwners(ctx, j, k, &sent)
		if !errors.Is(err, errNoOwner) {
			return ans, err
		}
		if ctx.Err() != nil || time.Until(j.deadline) < ownerWait {
			return nil, noOwner(k, sent)
		}
		n.sleep(ctx, ownerWait)
	}
}

// errNoOwner says that no node answered as the owner of a key.
var errNoOwner = errors.New("no owner answered")

// noOwner is what a caller is told when the owner of its key was not found in time.
func noOwner(k *peer.KeyedRequest, sent bool) error {
	o := outcome.Unknown
	if !sent && k.Fresh {
		o = outcome.NotRun
	}
	e := outcome.NewError(o, outcome.CodeKeyOwner, errNoOwner)
	e.RetryAfter = retryAfter
	return e
}

// tryOwners asks the nodes that may own the key in turn.
func (n *Node) tryOwners(ctx context.Context, j *job, k *peer.KeyedRequest, sent *bool) (*upstream.Response, error) {
	n.mu.Lock()
	owners := n.owners.OwnerCandidates(ownership.Shard(k.Key))
	n.mu.Unlock()
	for _, name := range owners {
		if !j.body.CanOpen() {
			break
		}
		k.Body = j.body.Open()
		ans, err := n.askOwner(ctx, name, k)
		var path *peer.TransportError
		var e *outcome.Error
		switch {
		case errors.As(err, &path):
			*sent = *sent || path.Sent()
			k.Fresh = k.Fresh && !path.Sent()
		case errors.As(err, &e) && e.Code == outcome.CodeKeyOwner:
		case errors.As(err, &e) && e.Code == outcome.CodeCanceled:
			return nil, outcome.NewError(outcome.Unknown, e.Code, e.Err)
		default:
			return ans, err
		}
	}
	return nil, errNoOwner
}

func (n *Node) askOwner(ctx context.Context, name string, k *peer.KeyedRequest) (*upstream.Response, error) {
	if name == n.cfg.Name {
		return n.Keyed(ctx, k)
	}
	m, ok := n.view.Load().byName[name]
	if !ok || m.Status == membership.Dead || m.Status == membership.Left || n.silent.has(name) {
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeKeyOwner, nil)
	}
	doubt := time.AfterFunc(ownerPingDelay, func() { n.checkResponsive(name, m.Address) })
	defer doubt.Stop()
	return n.client.ForwardKey(ctx, m.Address, k)
}

// Keyed implements peer.Receiver: it runs a request whose key this node owns.
func (n *Node) Keyed(ctx context.Context, k *peer.KeyedRequest) (*upstream.Response, error) {
	match, ok := n.Bundle().Route(k.Host, k.Method, pathOf(k.URI))
	if !ok {
		return nil, outcome.NewError(outcome.Unknown, outcome.CodeNoRoute, nil)
	}
	body, err := caller.ReadBody(k.Body, k.Length)
	if err != nil {
		return nil, err
	}
	req := idempotency.Request{Shard: ownership.Shard(k.Key), Key: k.Key, Fingerprint: fingerprint(k, body), FirstAttempt: k.Fresh}
	for {
		verdict, kept, wait := n.begin(&req)
		if verdict == idempotency.Wait {
			select {
			case <-wait:
				continue
			case <-ctx.Done():
			case <-time.After(time.Until(k.Deadline)):
			}
			return nil, outcome.NewError(outcome.Unknown, outcome.CodeTimeout, errors.New("an earlier request with the key is running"))
		}
		if verdict != idempotency.Run {
			ans, err := verdictAnswer(verdict, kept)
			if verdict == idempotency.Full {
				err = doubtRepeat(k, err)
			}
			return ans, err
		}
		j := &job{
			id: k.ID, match: match, deadline: k.Deadline, keyed: true, method: k.Method,
			uri: k.URI, host: k.Host, header: k.Header, body: body,
		}
		ans, err := n.runKeyed(ctx, j, k.Key)
		return ans, doubtRepeat(k, err)
	}
}

// doubtRepeat keeps the refusal of a repeat from saying that the work was not run: the earlier request may still be on its way and run after it.
func doubtRepeat(k *peer.KeyedRequest, err error) error {
	var e *outcome.Error
	if k.Fresh || !errors.As(err, &e) || e.Outcome != outcome.NotRun {
		return err
	}
	return &outcome.Error{Outcome: outcome.Unknown, Code: e.Code, RetryAfter: e.RetryAfter, Err: e.Err}
}

func pathOf(uri string) string {
	for i := range len(uri) {
		if uri[i] == '?' {
			return uri[:i]
		}
	}
	return uri
}

func fingerprint(k *peer.KeyedRequest, body *caller.Body) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(k.Method + " " + k.URI + " " + strconv.FormatInt(body.Len(), 10) + "\n")
	_, _ = d.Write(body.Prefix())
	return d.Sum64()
}

// begin asks the ledger about a request while the lease of its shard holds.
func (n *Node) begin(req *idempotency.Request) (idempotency.Verdict, idempotency.Response, chan struct{}) {
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	now := time.Now()
	n.mu.Lock()
	ok, gap := n.owners.Serving(now, req.Shard)
	n.mu.Unlock()
	if !ok {
		return notOwner, nil, nil
	}
	req.CompleteSince = gap
	verdict, kept := n.keys.ledger.Begin(now, *req)
	switch verdict {
	case idempotency.Run:
		n.keys.waiters[req.Key] = make(chan struct{})
	case idempotency.Wait:
		return verdict, nil, n.keys.waiters[req.Key]
	}
	return verdict, kept, nil
}

// notOwner extends the ledger's verdicts by that of a node without a valid lease.
const notOwner = idempotency.Verdict(-1)

func verdictAnswer(v idempotency.Verdict, kept idempotency.Response) (*upstream.Response, error) {
	switch v {
	case notOwner:
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeKeyOwner, nil)
	case idempotency.Replay:
		return replay(kept)
	case idempotency.KeyReused:
		return nil, outcome.NewError(outcome.NotRun, outcome.CodeKeyReused, errors.New("the key belongs to a different request"))
	case idempotency.Full:
		e := outcome.NewError(outcome.NotRun, outcome.CodeOverload, errors.New("no further key can be remembered"))
		e.RetryAfter = retryAfter
		return nil, e
	case idempotency.ResponseEvicted:
		return nil, outcome.NewError(outcome.Ran, outcome.CodeKeyLost, errors.New("the request ran, its answer is no longer kept"))
	}
	return nil, outcome.NewError(outcome.Unknown, outcome.CodeKeyMemory, errors.New("an earlier request with the key may have run"))
}

// runKeyed runs the first request of a key to its end, even if its caller goes away.
func (n *Node) runKeyed(ctx context.Context, j *job, key string) (*upstream.Response, error) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	ans, err := n.run(ctx, j)
	var e *outcome.Error
	switch {
	case err == nil && ans.Body == nil:
		cancel()
		n.endKey(key, func(l *idempotency.Ledger) { l.Finish(key, encodeAnswer(ans)) })
		return ans, nil
	case err == nil:
		return n.keepStream(ans, key, cancel)
	case errors.As(err, &e) && e.Outcome == outcome.NotRun:
		n.endKey(key, func(l *idempotency.Ledger) { l.Cancel(key) })
	default:
		n.endKey(key, func(l *idempotency.Ledger) { l.MarkUnknown(key) })
	}
	cancel()
	return nil, err
}

// keepStream reads an answer that arrives as a stream; a small one is kept for repeats, a larger one is passed on.
func (n *Node) keepStream(ans *upstream.Response, key string, cancel context.CancelFunc) (*upstream.Response, error) {
	var buf bytes.Buffer
	_, err := io.CopyN(&buf, ans.Body, keptAnswer)
	if errors.Is(err, io.EOF) {
		_ = ans.Body.Close()
		cancel()
		ans.SetContent(buf.Bytes())
		n.endKey(key, func(l *idempotency.Ledger) { l.Finish(key, encodeAnswer(ans)) })
		return ans, nil
	}
	if err != nil {
		_ = ans.Body.Close()
		cancel()
		n.endKey(key, func(l *idempotency.Ledger) { l.MarkUnknown(key) })
		return nil, outcome.NewError(outcome.Unknown, outcome.CodeTruncated, err)
	}
	n.endKey(key, func(l *idempotency.Ledger) { l.Finish(key, nil) })
	rest := ans.Body
	ans.Body = &cancelBody{ReadCloser: joined{io.MultiReader(&buf, rest), rest}, cancel: cancel}
	return ans, nil
}

type joined struct {
	io.Reader
	io.Closer
}

func (n *Node) endKey(key string, end func(*idempotency.Ledger)) {
	n.keys.mu.Lock()
	defer n.keys.mu.Unlock()
	end(n.keys.ledger)
	if ch := n.keys.waiters[key]; ch != nil {
		close(ch)
		delete(n.keys.waiters, key)
	}
}

// keptForm is the form in which an answer is kept.
type keptForm struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

func encodeAnswer(ans *upstream.Response) idempotency.Response {
	data, _ := ans.Content()
	if len(data) > keptAnswer {
		return nil
	}
	out, err := json.Marshal(keptForm{Status: ans.Status, Header: ans.Header, Body: data})
	if err != nil {
		return nil
	}
	return out
}

// replayHeader tells a caller that the answer is that of an earlier request with the key.
const replayHeader = "Idempotent-Replayed"

func replay(kept idempotency.Response) (*upstream.Response, error) {
	var k keptForm
	if err := json.Unmarshal(kept, &k); err != nil {
		return nil, outcome.NewError(outcome.Ran, outcome.CodeKeyLost, err)
	}
	ans := &upstream.Response{Status: k.Status, Header: k.Header}
	if ans.Header == nil {
		ans.Header = make(http.Header)
	}
	ans.Header.Set(replayHeader, "true")
	ans.SetContent(k.Body)
	return ans, nil
}
