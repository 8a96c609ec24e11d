package node_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/node"
	"github.com/matryer/is"
)

// TestRestoredLogKeepsTheBundle guards against nodes that go on at an offset of a log which was restored from a copy, and against a version in
// force that goes back with the log or is unknown to nodes that start later.
func TestRestoredLogKeepsTheBundle(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	a, stopA := f.start("a")
	b, stopB := f.start("b", a.Addresses().Peer)
	f.publishTestBundle(a)
	copied := f.platformLog.copyEntries()
	withRate := func(rate int) string {
		return strings.Replace(testBundle, "rate = 1", fmt.Sprintf("rate = %d", rate), 1)
	}
	f.publishBundle(a, withRate(2))
	f.publishBundle(a, withRate(3))
	inForce := func(n *node.Node, version uint64) func() bool {
		return func() bool { return f.status(n).BundleVersion == version }
	}
	f.waitFor("version 3 at b", inForce(b, 3))
	f.platformLog.restore(copied) // which holds version 1
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		is.Equal(f.status(a).BundleVersion, uint64(3))
		is.Equal(f.status(b).BundleVersion, uint64(3))
	}
	f.publishBundle(b, withRate(4)) // gets an offset that version 2 had before
	f.waitFor("version 4 at a", inForce(a, 4))
	stopA()
	stopB()
	c, _ := f.start("c") // without peers, so that it can read only the log
	f.waitFor("version 4 at c", inForce(c, 4))
}

// TestRestoredLogLetsNoKeyRunTwice guards against shards that get the same epoch again from a log that has lost their claims: two nodes could
// then run a request with the same key.
func TestRestoredLogLetsNoKeyRunTwice(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	a, _ := f.start("a")
	f.publishTestBundle(a)
	copied := f.platformLog.copyEntries()
	b, _ := f.start("b", a.Addresses().Peer)
	var executions atomic.Int64
	for i, n := range []*node.Node{a, b} {
		f.addUpstream(n, fmt.Sprintf("u%d", i), func(w http.ResponseWriter, _ *http.Request) {
			fmt.Fprintf(w, "booking %d", executions.Add(1))
		})
	}
	f.waitFor("owners", func() bool { return f.status(a).Serving+f.status(b).Serving == 1024 && f.status(b).Serving > 0 })
	for i := range 20 {
		is.Equal(call(a, "POST", "/book", "x", "Idempotency-Key", fmt.Sprintf("k%d", i)).outcome, "ran")
	}
	f.platformLog.restore(copied)
	c, _ := f.start("c", a.Addresses().Peer)
	f.addUpstream(c, "u2", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintf(w, "booking %d", executions.Add(1)) })
	f.waitFor("owners", func() bool {
		return f.status(a).Serving+f.status(b).Serving+f.status(c).Serving == 1024 && f.status(c).Serving > 0
	})
	for i := range 20 {
		is.Equal(call(c, "POST", "/book", "x", "Idempotency-Key", fmt.Sprintf("k%d", i)).outcome, "ran") // the stored response
	}
	is.Equal(executions.Load(), int64(20))
}
