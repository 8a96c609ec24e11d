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

// memoryLog is the log as lists; records before first have expired.
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

// rig is a small fleet in one process.
type rig struct {
	t   *testing.T
	log *memoryLog
	key keyring.Secret
}

func newRig(t *testing.T) *rig {
	key, err := keyring.Generate("ana")
	if err != nil {
		t.Fatal(err)
	}
	return &rig{t: t, log: newMemoryLog(), key: key}
}

// start runs a node and returns it with a function that stops it gracefully.
func (r *rig) start(name string, seeds ...string) (*node.Node, func()) {
	cfg := node.DefaultSettings()
	cfg.Name, cfg.Region, cfg.DataCentre = name, "r", "dc"
	cfg.Listen.Caller, cfg.Listen.Peer, cfg.Listen.Upstream, cfg.Listen.Admin = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	cfg.Peers.Seeds = seeds
	cfg.Platform.Log = "http://127.0.0.1:1"
	cfg.Platform.Snapshot = setting.Duration(2 * time.Second)
	cfg.Trust.Keys = []string{r.key.Public().String()}
	cfg.Limits.LameDuck = setting.Duration(100 * time.Millisecond)
	cfg.Limits.Body = 1 << 20
	if p := cfg.Check(); len(p) > 0 {
		r.t.Fatal(p)
	}
	n, err := node.New(cfg, node.Options{Log: r.log})
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	var once sync.Once
	stop := func() {
		once.Do(func() {
			cancel()
			if err := <-done; err != nil {
				r.t.Error(err)
			}
		})
	}
	r.t.Cleanup(stop)
	return n, stop
}

func (r *rig) publish(n *node.Node) {
	b, err := bundle.Parse("b.toml", []byte(testBundle))
	if err != nil {
		r.t.Fatal(err)
	}
	fate, err := operator.Publish(context.Background(), operator.NewClient(n.Addresses().Admin, ""), b, r.key)
	if err != nil || fate.Result != rollout.Accepted {
		r.t.Fatal(fate, err)
	}
}

// wait polls until f holds; it bounds a hang, not the speed of the fleet.
func (r *rig) wait(what string, f func() bool) {
	r.t.Helper()
	for end := time.Now().Add(30 * time.Second); !f(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			r.t.Fatalf("waited in vain for %s", what)
		}
	}
}

func (r *rig) status(n *node.Node) operator.Status {
	st, err := operator.NewClient(n.Addresses().Admin, "").Status(context.Background())
	if err != nil {
		r.t.Fatal(err)
	}
	return st
}

// server announces an upstream that answers with h beside the node.
func (r *rig) server(n *node.Node, id string, h http.HandlerFunc) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		w.Header().Set(upstream.AttemptHeader, req.Header.Get(upstream.AttemptHeader))
		h(w, req)
	}))
	r.t.Cleanup(srv.Close)
	a := upstream.Announcement{ID: id, Service: "s", Address: srv.Listener.Addr().String(), Slots: 4, State: upstream.Ready}
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go upstream.NewAnnouncer(n.Addresses().Upstream).Run(ctx, func() upstream.Announcement { return a })
	r.wait("the upstream", func() bool {
		list, err := operator.NewClient(n.Addresses().Admin, "").Upstreams(context.Background())
		return err == nil && len(list) > 0
	})
}

type answer struct {
	status  int
	outcome string
	body    string
	header  http.Header
	err     error
}

func call(n *node.Node, method, path, body string, header ...string) answer {
	req, err := http.NewRequest(method, "http://"+n.Addresses().Caller+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "s.test"
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answer{resp.StatusCode, resp.Header.Get("Outcome"), string(data), resp.Header, err}
}

func TestAnswersAndOutcomes(t *testing.T) {
	r := newRig(t)
	n, _ := r.start("a")
	r.publish(n)
	big := strings.Repeat("x", 300<<10)
	r.server(n, "u", func(w http.ResponseWriter, req *http.Request) {
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
		is.True(got.err != nil || got.status >= 500) // the connection is cut or an error is told
	})
}

func TestKeyedWorkRunsOnceThroughAnyNode(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a, _ := r.start("a")
	b, stopB := r.start("b", a.Addresses().Peer)
	r.publish(a)
	var ran atomic.Int64
	for i, n := range []*node.Node{a, b} {
		r.server(n, fmt.Sprintf("u%d", i), func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "booking %d", ran.Add(1))
		})
	}
	r.wait("owners", func() bool { return r.status(a).Serving+r.status(b).Serving == 1024 })
	for i := range 20 {
		key := fmt.Sprintf("k%d", i)
		first := call(a, "POST", "/book", "x", "Idempotency-Key", key)
		again := call(b, "POST", "/book", "x", "Idempotency-Key", key)
		other := call(b, "POST", "/book", "y", "Idempotency-Key", key)
		is.Equal(first.outcome, "ran")
		is.Equal(again.body, first.body) // the same answer
		is.Equal(again.header.Get("Idempotent-Replayed"), "true")
		is.Equal(other.status, 422) // the key belongs to another request
	}
	is.Equal(ran.Load(), int64(20))
	stopB() // hands its shards over with their keys
	r.wait("the shards", func() bool { return r.status(a).Serving == 1024 })
	for i := range 20 {
		got := call(a, "POST", "/book", "x", "Idempotency-Key", fmt.Sprintf("k%d", i))
		is.Equal(got.outcome, "ran")
	}
	is.Equal(ran.Load(), int64(20))
}

func TestNodeStartsFromASnapshot(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	a, stop := r.start("a")
	r.publish(a)
	r.wait("snapshots", func() bool { return r.log.expire(rollout.Stream) && r.log.expire("owner") })
	stop()
	b, _ := r.start("b") // no peer: the log alone
	r.wait("the bundle", func() bool { return r.status(b).Version == 1 })
	is.Equal(r.status(b).InForce, r.status(b).Digest)
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
