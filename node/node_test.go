package node_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/keyring"
	"github.com/jasminevane/jasminevane/node"
	"github.com/jasminevane/jasminevane/operator"
	"github.com/jasminevane/jasminevane/platform"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/jasminevane/jasminevane/setting"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/matryer/is"
)

const testBundle = `
[policy]
signoffs = 1
key_retention = "10m"
retries = 0.1
link_bytes = "0B"
[[service]]
name = "s"
hosts = ["s.test"]
floor = 0.5
[[class]]
service = "s"
name = "book"
priority = 0
share = 0.5
timeout = "3s"
[[class]]
service = "s"
name = "look"
priority = 3
idempotent = true
timeout = "3s"
[[route]]
service = "s"
prefix = "/"
method = "POST"
class = "book"
[[route]]
service = "s"
prefix = "/"
method = "GET"
class = "look"
[[caller]]
name = "slow"
rate = 1
burst = 1
`

// memoryLog is an in-memory platform.Log. Records of a stream before its offset in firstOffset have expired.
type memoryLog struct {
	mu              sync.Mutex
	entriesByStream map[string][]platform.Entry
	firstOffset     map[string]platform.Offset
	unavailable     atomic.Bool // whether reads fail
	era             uint64      // number of restorations from a copy
}

func newMemoryLog() *memoryLog {
	return &memoryLog{entriesByStream: make(map[string][]platform.Entry), firstOffset: make(map[string]platform.Offset)}
}

func (l *memoryLog) Append(_ context.Context, stream string, record platform.Record) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := platform.Offset(len(l.entriesByStream[stream]))
	l.entriesByStream[stream] = append(l.entriesByStream[stream], platform.Entry{Offset: offset, Time: time.Now(), Record: record})
	return offset, nil
}

func (l *memoryLog) Read(ctx context.Context, stream string, fromOffset platform.Offset, wait time.Duration) (platform.Page, error) {
	for deadline := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		if l.unavailable.Load() {
			return platform.Page{}, errors.New("the log is unavailable")
		}
		l.mu.Lock()
		entries := l.entriesByStream[stream]
		page := platform.Page{FirstOffset: l.firstOffset[stream], Next: platform.Offset(len(entries)), Era: l.era}
		if fromOffset > page.Next {
			l.mu.Unlock()
			return platform.Page{Era: page.Era}, platform.ErrGap
		}
		if fromOffset = max(fromOffset, page.FirstOffset); fromOffset < page.Next {
			page.Entries = append(page.Entries, entries[fromOffset:]...)
		}
		l.mu.Unlock()
		if len(page.Entries) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return page, ctx.Err()
		}
	}
}

// copyEntries returns a copy of all streams, for restore.
func (l *memoryLog) copyEntries() map[string][]platform.Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	streams := make(map[string][]platform.Entry)
	for stream, entries := range l.entriesByStream {
		streams[stream] = slices.Clone(entries)
	}
	return streams
}

// restore replaces all streams by those of a copy, and raises the era.
func (l *memoryLog) restore(streams map[string][]platform.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entriesByStream = streams
	l.era++
}

// expire makes all records before the newest snapshot of the stream expire, and reports whether any did.
func (l *memoryLog) expire(stream string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, e := range l.entriesByStream[stream] {
		if strings.HasPrefix(e.ID, "snapshot-") {
			l.firstOffset[stream] = platform.Offset(i)
		}
	}
	return l.firstOffset[stream] > 0
}

// dropBefore makes all records of the stream before the one with the id expire.
func (l *memoryLog) dropBefore(stream, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, e := range l.entriesByStream[stream] {
		if e.ID == id {
			l.firstOffset[stream] = platform.Offset(i)
		}
	}
}

// newestSnapshot returns the newest snapshot of the stream.
func (l *memoryLog) newestSnapshot(stream string) platform.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	var newest platform.Record
	for _, e := range l.entriesByStream[stream] {
		if strings.HasPrefix(e.ID, "snapshot-") {
			newest = e.Record
		}
	}
	return newest
}

// testFleet is a fleet whose nodes run in the test process and share one in-memory log.
type testFleet struct {
	t           *testing.T
	platformLog *memoryLog
	signingKey  keyring.Secret
	logger      log.Logger // of all nodes; nil for none
}

func newTestFleet(t *testing.T) *testFleet {
	key, err := keyring.Generate("ana")
	if err != nil {
		t.Fatal(err)
	}
	return &testFleet{t: t, platformLog: newMemoryLog(), signingKey: key}
}

// start starts a node and returns it together with a function that stops it gracefully.
func (f *testFleet) start(name string, seeds ...string) (*node.Node, func()) {
	return f.startWith(name, func(*node.Settings) {}, seeds...)
}

// startWith starts a node whose settings are changed by the given function.
func (f *testFleet) startWith(name string, change func(*node.Settings), seeds ...string) (*node.Node, func()) {
	cfg := node.DefaultSettings()
	cfg.Name, cfg.Region, cfg.DataCentre = name, "r", "dc"
	cfg.Listen.Caller, cfg.Listen.Peer, cfg.Listen.Upstream, cfg.Listen.Admin = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	cfg.Peers.Seeds = seeds
	cfg.Platform.Log = "http://127.0.0.1:1"
	cfg.Platform.Snapshot = setting.Duration(2 * time.Second)
	cfg.Trust.Keys = []string{f.signingKey.Public().String()}
	cfg.Limits.LameDuck = setting.Duration(100 * time.Millisecond)
	cfg.Limits.Body = 1 << 20
	change(&cfg)
	if problems := cfg.Check(); len(problems) > 0 {
		f.t.Fatal(problems)
	}
	n, err := node.New(cfg, node.Options{Log: f.platformLog, Logger: f.logger})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	go func() { runErr <- n.Run(ctx) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			if err := <-runErr; err != nil {
				f.t.Error(err)
			}
		})
	}
	f.t.Cleanup(stop)
	return n, stop
}

func (f *testFleet) publishTestBundle(n *node.Node) { f.publishBundle(n, testBundle) }

func (f *testFleet) publishBundle(n *node.Node, text string) {
	b, err := bundle.Parse("b.toml", []byte(text))
	if err != nil {
		f.t.Fatal(err)
	}
	result, err := operator.Publish(context.Background(), operator.NewClient(n.Addresses().Admin, ""), b, f.signingKey)
	if err != nil || result.Result != rollout.Accepted {
		f.t.Fatal(result, err)
	}
}

// waitFor polls until cond returns true. Its long timeout ends a hanging test; it does not check how fast the fleet is.
func (f *testFleet) waitFor(description string, cond func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !cond(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting for %s", description)
		}
	}
}

func (f *testFleet) status(n *node.Node) operator.Status {
	nodeStatus, err := operator.NewClient(n.Addresses().Admin, "").Status(context.Background())
	if err != nil {
		f.t.Fatal(err)
	}
	return nodeStatus
}

// addUpstream starts an upstream with the given handler and announces it to the node.
func (f *testFleet) addUpstream(n *node.Node, id string, handler http.HandlerFunc) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(upstream.AttemptHeader, req.Header.Get(upstream.AttemptHeader))
		handler(w, req)
	}))
	f.t.Cleanup(server.Close)
	announcement := upstream.Announcement{ID: id, Service: "s", Address: server.Listener.Addr().String(), Slots: 4, State: upstream.Ready}
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go upstream.NewAnnouncer(n.Addresses().Upstream).Run(ctx, func() upstream.Announcement { return announcement })
	f.waitFor("the upstream", func() bool {
		upstreams, err := operator.NewClient(n.Addresses().Admin, "").Upstreams(context.Background())
		return err == nil && len(upstreams) > 0
	})
}

type callResult struct {
	statusCode int
	outcome    string
	body       string
	header     http.Header
	err        error
}

func call(n *node.Node, method, path, body string, headerPairs ...string) callResult {
	req, err := http.NewRequest(method, "http://"+n.Addresses().Caller+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	req.Host = "s.test"
	for i := 0; i+1 < len(headerPairs); i += 2 {
		req.Header.Set(headerPairs[i], headerPairs[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResult{err: err}
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	return callResult{resp.StatusCode, resp.Header.Get("Outcome"), string(respBody), resp.Header, err}
}

func TestResponsesAndOutcomes(t *testing.T) {
	f := newTestFleet(t)
	n, _ := f.start("a")
	f.publishTestBundle(n)
	largeBody := strings.Repeat("x", 300<<10)
	f.addUpstream(n, "u", func(w http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case "/big":
			_, _ = io.WriteString(w, largeBody)
		case "/cut", "/cutbig":
			w.Header().Set("Content-Length", fmt.Sprint(len(largeBody)))
			_, _ = io.WriteString(w, largeBody[:100])
			_ = http.NewResponseController(w).Flush()
			if req.URL.Path == "/cutbig" {
				_, _ = io.WriteString(w, largeBody[:200<<10])
			}
			panic(http.ErrAbortHandler)
		case "/crossed":
			w.Header().Set(upstream.AttemptHeader, "another")
		case "/shed":
			w.Header().Set(upstream.ShedHeader, "busy")
			w.WriteHeader(http.StatusServiceUnavailable)
		case "/missing":
			w.WriteHeader(http.StatusNotFound)
		case "/slow":
			<-req.Context().Done()
		case "/echo":
			_, _ = io.Copy(w, req.Body)
		}
	})
	tests := []struct {
		name, method, path, body string
		headerPairs              []string
		wantStatus               int
		wantOutcome, wantCode    string
	}{
		{"a whole answer", "POST", "/echo", "hello", nil, 200, "ran", ""},
		{"a large answer", "GET", "/big", "", nil, 200, "ran", ""},
		{"an answer of the upstream's own", "GET", "/missing", "", nil, 404, "ran", ""},
		{"a cut answer to work that must not run twice", "POST", "/cut", "", nil, 502, "unknown", "truncated"},
		{"an answer to another attempt", "POST", "/crossed", "", nil, 502, "unknown", "crossed"},
		{"work that the upstream refused", "POST", "/shed", "", nil, 503, "not-run", "shed"},
		{"a deadline that passes", "POST", "/slow", "", []string{"Request-Timeout", "200"}, 504, "unknown", "timeout"},
		{"a bad deadline", "GET", "/echo", "", []string{"Request-Timeout", "soon"}, 400, "not-run", "bad-request"},
		{"a key that is too long", "POST", "/echo", "", []string{"Idempotency-Key", strings.Repeat("k", 200)}, 400, "not-run", "bad-request"},
		{"a body that is too large", "POST", "/echo", strings.Repeat("x", 2<<20), nil, 413, "not-run", "too-large"},
		{"a method without a route", "PUT", "/echo", "", nil, 404, "not-run", "no-route"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			result := call(n, tt.method, tt.path, tt.body, tt.headerPairs...)
			is.NoErr(result.err)
			is.Equal(result.statusCode, tt.wantStatus)
			is.Equal(result.outcome, tt.wantOutcome)
			is.True(strings.Contains(result.body, tt.wantCode)) // the body contains the outcome code
		})
	}
	t.Run("a large answer that is cut is no success", func(t *testing.T) {
		is := is.New(t)
		result := call(n, "POST", "/cutbig", "")
		is.True(result.err != nil || result.statusCode >= 500) // either the connection breaks or the response is an error
	})
}

func TestKeyedRequestRunsOnceThroughAnyNode(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	nodeA, _ := f.start("a")
	nodeB, stopB := f.start("b", nodeA.Addresses().Peer)
	f.publishTestBundle(nodeA)
	var executions atomic.Int64
	for i, n := range []*node.Node{nodeA, nodeB} {
		f.addUpstream(n, fmt.Sprintf("u%d", i), func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "booking %d", executions.Add(1))
		})
	}
	f.waitFor("owners", func() bool { return f.status(nodeA).Serving+f.status(nodeB).Serving == 1024 })
	for i := range 20 {
		key := fmt.Sprintf("k%d", i)
		original := call(nodeA, "POST", "/book", "x", "Idempotency-Key", key)
		replay := call(nodeB, "POST", "/book", "x", "Idempotency-Key", key)
		conflict := call(nodeB, "POST", "/book", "y", "Idempotency-Key", key)
		is.Equal(original.outcome, "ran")
		is.Equal(replay.body, original.body) // the stored response is replayed
		is.Equal(replay.header.Get("Idempotent-Replayed"), "true")
		is.Equal(conflict.statusCode, 422) // the key was already used by a request with another body
	}
	is.Equal(executions.Load(), int64(20))
	stopB() // hands over the shards of nodeB and their key records to nodeA
	f.waitFor("the shards", func() bool { return f.status(nodeA).Serving == 1024 })
	for i := range 20 {
		result := call(nodeA, "POST", "/book", "x", "Idempotency-Key", fmt.Sprintf("k%d", i))
		is.Equal(result.outcome, "ran")
	}
	is.Equal(executions.Load(), int64(20))
}

func TestNodeStartsFromASnapshot(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	nodeA, stopA := f.start("a")
	f.publishTestBundle(nodeA)
	f.waitFor("snapshots", func() bool { return f.platformLog.expire(rollout.Stream) && f.platformLog.expire("owner") })
	published := f.status(nodeA).InForce
	stopA()
	nodeB, _ := f.start("b")                                                             // without peers, so that it can read only the log
	f.waitFor("the bundle", func() bool { return f.status(nodeB).InForce == published }) // its version is known some time before it is in force
	is.Equal(f.status(nodeB).BundleVersion, uint64(1))
	is.Equal(f.status(nodeB).Digest, published)
}

func TestErrorNamesSettingOfPortInUse(t *testing.T) {
	is := is.New(t)
	occupiedListener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = occupiedListener.Close() }()
	cfg := node.DefaultSettings()
	cfg.Name = "a"
	cfg.Listen.Caller, cfg.Listen.Peer, cfg.Listen.Upstream, cfg.Listen.Admin = "127.0.0.1:0", occupiedListener.Addr().String(), "127.0.0.1:0", "127.0.0.1:0"
	_, err = node.New(cfg, node.Options{Log: newMemoryLog()})
	is.True(err != nil)
	is.True(strings.HasPrefix(err.Error(), "listen.peer:")) // the error begins with the name of the setting
}
