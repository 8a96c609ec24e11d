package node_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/node"
	"github.com/jasminevane/jasminevane/setting"
	"github.com/matryer/is"
)

// keyedTestBundle is testBundle with a public route and with callers that have keys.
func keyedTestBundle(keys map[string]string) string {
	text := testBundle + "[[route]]\nservice = \"s\"\nprefix = \"/open\"\nmethod = \"\"\nclass = \"book\"\npublic = true\n"
	for key, caller := range keys {
		text += fmt.Sprintf("[[caller]]\nname = %q\nkeys = [%q]\npriority = 1\n", caller, bundle.KeyDigest(key))
	}
	return text
}

// TestKeyedRequestsOfIdentifiedCallers guards against callers that get each other's responses by the same idempotency key, and against a name
// that is lost or forged on the way through the owner of that key.
func TestKeyedRequestsOfIdentifiedCallers(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	nodeA, _ := f.start("a")
	nodeB, _ := f.start("b", nodeA.Addresses().Peer)
	f.publishBundle(nodeA, keyedTestBundle(map[string]string{"k1": "c1", "k2": "c2"}))
	var executions atomic.Int64
	f.addUpstream(nodeA, "u", func(w http.ResponseWriter, req *http.Request) {
		h := req.Header
		fmt.Fprintf(w, "%d %q %q", executions.Add(1), h.Values("Caller"), h.Values("Authorization"))
	})
	f.waitFor("owners", func() bool { return f.status(nodeA).Serving+f.status(nodeB).Serving == 1024 })
	f.waitFor("the bundle", func() bool { return nodeB.Bundle().RequiresKeys() })
	for i := range 10 {
		key := fmt.Sprintf("order-%d", i)
		for _, caller := range []string{"1", "2"} {
			first := call(nodeA, "POST", "/book", "x", "Idempotency-Key", key, "Authorization", "Bearer k"+caller, "Caller", "c1", "Hop-Caller", "forged")
			again := call(nodeB, "POST", "/book", "x", "Idempotency-Key", key, "Authorization", "Bearer k"+caller, "Caller", "c2")
			is.Equal(first.statusCode, http.StatusOK)
			is.Equal(first.body, fmt.Sprintf(`%d ["c%s"] []`, executions.Load(), caller))
			is.Equal(again.body, first.body)
			is.Equal(again.header.Get("Idempotent-Replayed"), "true")
		}
		anonymous := call(nodeB, "POST", "/open", "x", "Idempotency-Key", key, "Caller", "c1")
		is.Equal(anonymous.body, fmt.Sprintf(`%d [] []`, executions.Load())) // neither that of c1 nor its name
	}
	is.Equal(executions.Load(), int64(30))
}

// TestOwnProtocolConfirmsBeforeItRefuses guards against a node that refuses an unknown key although it has not read the log for some time, and
// against one that never does.
func TestOwnProtocolConfirmsBeforeItRefuses(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(t)
	n, _ := f.start("a")
	f.publishBundle(n, keyedTestBundle(map[string]string{"k1": "c1"}))
	f.addUpstream(n, "u", func(w http.ResponseWriter, req *http.Request) { _, _ = fmt.Fprint(w, req.Header.Values("Caller")) })
	send := func(key string) (int, string) {
		r := call(n, "GET", "/look", "", "Authorization", "Bearer "+key, "Caller", "forged")
		var problem struct{ Code string }
		_ = json.Unmarshal([]byte(r.body), &problem) // a served request has another body
		return r.statusCode, problem.Code
	}
	status, _ := send("k1")
	is.Equal(status, http.StatusOK)
	f.platformLog.unavailable.Store(true)
	time.Sleep(node.DefaultSettings().Platform.Apply.Std() + 200*time.Millisecond)
	for range 3 {
		status, code := send("unknown")
		is.Equal(status, http.StatusServiceUnavailable)
		is.Equal(code, "stale-bundle")
		status, _ = send("k1")
		is.Equal(status, http.StatusOK)
	}
	f.platformLog.unavailable.Store(false)
	f.waitFor("the refusal", func() bool {
		status, code := send("unknown")
		is.True(status == http.StatusUnauthorized || code == "stale-bundle")
		return status == http.StatusUnauthorized
	})
	status, _ = send("k1")
	is.Equal(status, http.StatusOK)
}

// TestKeySettingsAreChecked guards against a node that can't tell when it is out of touch, and would refuse all keys.
func TestKeySettingsAreChecked(t *testing.T) {
	tests := []struct {
		name, contract string
		closed         bool
		revoke         time.Duration
		want           string
	}{
		{"open", "own", false, time.Second, ""},
		{"closed", "store", true, time.Second, ""},
		{"closed with the own protocols", "own", true, time.Second, "keys.closed"},
		{"no time", "store", true, 0, "keys.revoke"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cfg := node.DefaultSettings()
			cfg.Platform.Contract, cfg.Keys.Closed = tt.contract, tt.closed
			cfg.Keys.Revoke = setting.Duration(tt.revoke)
			found := ""
			for _, p := range cfg.Check() {
				if strings.HasPrefix(p.Key(), "keys.") {
					found = p.Key()
				}
			}
			is.Equal(found, tt.want)
		})
	}
}
