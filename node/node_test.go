package node_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

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

// memoryLog is a platform.Log in memory; records before first have expired.
type memoryLog struct {
	mu      sync.Mutex
	streams map[string][]platform.Entry
	first   map[string]platform.Offset
}

func newMemoryLog() *memoryLog {
	return &memoryLog{streams: make(map[string][]platform.Entry), first: make(map[string]platform.Offset)}
}

func (l *memoryLog) Append(_ context.Context, stream string, rec platform.Record) (platform.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	off := platform.Offset(len(l.streams[stream]))
	l.streams[stream] = append(l.streams[stream], platform.Entry{Offset: off, Time: time.Now(), Record: rec})
	return off, nil
}

func (l *memoryLog) Read(ctx context.Context, stream string, from platform.Offset, wait time.Duration) (platform.Page, error) {
	for end := time.Now().Add(wait); ; time.Sleep(5 * time.Millisecond) {
		l.mu.Lock()
		all := l.streams[stream]
		page := platform.Page{FirstOffset: l.first[stream], Next: platform.Offset(len(all))}
		if from = max(from, page.FirstOffset); from < page.Next {
			page.Entries = append(page.Entries, all[from:]...)
		}
		l.mu.Unlock()
		if len(page.Entries) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return page, ctx.Err()
		}
	}
}

// expire drops all records before the newest snapshot of the stream and reports whether there is one.
func (l *memoryLog) expire(stream string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, e := range l.streams[stream] {
		if strings.HasPrefix(e.ID, "snapshot-") {
			l.first[stream] = platform.Offset(i)
		}
	}
	return l.first[stream] > 0
}

// testFleet is a small fleet in one process.
type testFleet struct {
	t   *testing.T
	log *memoryLog
	key keyring.Secret
}

func newTestFleet(t *testing.T) *testFleet {
	key, err := keyring.Generate("ana")
	if err != nil {
		t.Fatal(err)
	}
	return &testFleet{t: t, log: newMemoryLog(), key: key}
}

// start runs a node and returns it with a function that stops it gracefully.
func (f *testFleet) start(name string, seeds ...string) (*node.Node, func()) {
	cfg := node.DefaultSettings()
	cfg.Name, cfg.Region, cfg.DataCentre = name, "r", "dc"
	cfg.Listen.Caller, cfg.Listen.Peer, cfg.Listen.Upstream, cfg.Listen.Admin = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	cfg.Peers.Seeds = seeds
	cfg.Platform.Log = "http://127.0.0.1:1"
	cfg.Platform.Snapshot = setting.Duration(2 * time.Second)
	cfg.Trust.Keys = []string{f.key.Public().String()}
	cfg.Limits.LameDuck = setting.Duration(100 * time.Millisecond)
	cfg.Limits.Body = 1 << 20
	if p := cfg.Check(); len(p) > 0 {
		f.t.Fatal(p)
	}
	n, err := node.New(cfg, node.Options{Log: f.log})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				f.t.Error(err)
			}
		})
	}
	f.t.Cleanup(stop)
	return n, stop
}

func (f *testFleet) publish(n *node.Node) {
	b, err := bundle.Parse("b.toml", []byte(testBundle))
	if err != nil {
		f.t.Fatal(err)
	}
	result, err := operator.Publish(context.Background(), operator.NewClient(n.Addresses().Admin, ""), b, f.key)
	if err != nil || result.Result != rollout.Accepted {
		f.t.Fatal(result, err)
	}
}

// waitFor polls until cond holds; its timeout is there to end a hang, not to check the speed of the fleet.
func (f *testFleet) waitFor(what string, cond func() bool) {
	f.t.Helper()
	for end := time.Now().Add(30 * time.Second); !cond(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("timed out waiting for %s", what)
		}
	}
}

func (f *testFleet) status(n *node.Node) operator.Status {
	st, err := operator.NewClient(n.Addresses().Admin, "").Status(context.Background())
	if err != nil {
		f.t.Fatal(err)
	}
	return st
}

// addUpstream announces an upstream with the handler h beside the node.
func (f *testFleet) addUpstream(n *node.Node, id string, h http.HandlerFunc) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(upstream.AttemptHeader, req.Header.Get(upstream.AttemptHeader))
		h(w, req)
	}))
	f.t.Cleanup(srv.Close)
	a := upstream.Announcement{ID: id, Service: "s", Address: srv.Listener.Addr().String(), Slots: 4, State: upstream.Ready}
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	go upstream.NewAnnouncer(n.Addresses().Upstream).Run(ctx, func() upstream.Announcement { return a })
	f.waitFor("the upstream", func() bool {
		list, err := operator.NewClient(n.Addresses().Admin, "").Upstreams(context.Background())
		return err == nil && len(list) > 0
	})
}

type callResult struct {
	status  int
	outcome string
	body    string
	header  http.Header
	err     error
}

func call(n *node.Node, method, path, body string, header ...string) callResult {
	req, err := http.NewRequest(method, "http://"+n.Addresses().Caller+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	req.Host = "s.test"
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResult{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callResult{resp.StatusCode, resp.Header.Get("Outcome"), string(data), resp.Header, err}
}

func TestResponsesAndOutcomes(t *testing.T) {
	f := newTestFleet(t)
	n, _ := f.start("a")
	f.publish(n)
	big := strings.Repeat("x", 300<<10)
	f.addUpstream(n, "u", func(w http.ResponseWriter, req *http.Request) {
		switch req.URL.Path {
		case "/big":
			_, _ = io.WriteString(w, big)
		case "/cut", "/cutbig":
			w.Header().Set("Content-Length", fmt.Sprint(len(big)))
			_, _ = io.WriteString(w, big[:100])
			_ = http.NewResponseController(w).Flush()
			if req.URL.Path == "/cutbig" {
				_, _ = io.WriteString(w, big[:200<<10])
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
		header                   []string
		status                   int
		outcome, code            string
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
			got := call(n, tt.method, tt.path, tt.body, tt.header...)
			is.NoErr(got.err)
			is.Equal(got.status, tt.status)
			is.Equal(got.outcome, tt.outcome)
			is.True(strings.Contains(got.body, tt.code)) // names the code
		})
	}
	t.Run("a large answer that is cut is no success", func(t *testing.T) {
		is := is.New(t)
		got := call(n, "POST", "/cutbig", "")
		is.True(got.err != nil || got.status >= 500) // the connection is cut or the caller gets an error status
	})
}

func TestKeyedWorkRunsOnceThroughAnyNode(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	a, _ := f.start("a")
	b, stopB := f.start("b", a.Addresses().Peer)
	f.publish(a)
	var ran atomic.Int64
	for i, n := range []*node.Node{a, b} {
		f.addUpstream(n, fmt.Sprintf("u%d", i), func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "booking %d", ran.Add(1))
		})
	}
	f.waitFor("owners", func() bool { return f.status(a).Serving+f.status(b).Serving == 1024 })
	for i := range 20 {
		key := fmt.Sprintf("k%d", i)
		first := call(a, "POST", "/book", "x", "Idempotency-Key", key)
		again := call(b, "POST", "/book", "x", "Idempotency-Key", key)
		other := call(b, "POST", "/book", "y", "Idempotency-Key", key)
		is.Equal(first.outcome, "ran")
		is.Equal(again.body, first.body) // the same response
		is.Equal(again.header.Get("Idempotent-Replayed"), "true")
		is.Equal(other.status, 422) // the key belongs to another request
	}
	is.Equal(ran.Load(), int64(20))
	stopB() // hands its shards over with their keys
	f.waitFor("the shards", func() bool { return f.status(a).Serving == 1024 })
	for i := range 20 {
		got := call(a, "POST", "/book", "x", "Idempotency-Key", fmt.Sprintf("k%d", i))
		is.Equal(got.outcome, "ran")
	}
	is.Equal(ran.Load(), int64(20))
}

func TestNodeStartsFromASnapshot(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	a, stop := f.start("a")
	f.publish(a)
	f.waitFor("snapshots", func() bool { return f.log.expire(rollout.Stream) && f.log.expire("owner") })
	stop()
	b, _ := f.start("b") // no peer: the log alone
	f.waitFor("the bundle", func() bool { return f.status(b).Version == 1 })
	is.Equal(f.status(b).InForce, f.status(b).Digest)
}

func TestPortInUseIsNamed(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { _ = ln.Close() }()
	cfg := node.DefaultSettings()
	cfg.Name = "a"
	cfg.Listen.Caller, cfg.Listen.Peer, cfg.Listen.Upstream, cfg.Listen.Admin = "127.0.0.1:0", ln.Addr().String(), "127.0.0.1:0", "127.0.0.1:0"
	_, err = node.New(cfg, node.Options{Log: newMemoryLog()})
	is.True(err != nil)
	is.True(strings.HasPrefix(err.Error(), "listen.peer:")) // names the setting
}
