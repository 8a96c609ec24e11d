package caller_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/caller"
	"github.com/jasminevane/jasminevane/outcome"
	"github.com/jasminevane/jasminevane/upstream"
	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
)

// keyBundle has a caller with a key and a priority, one with a key only, and a public route.
const keyBundle = `
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
priority = 3
timeout = "3s"
[[route]]
service = "s"
prefix = "/"
method = ""
class = "book"
[[route]]
service = "s"
prefix = "/open"
method = ""
class = "book"
public = true
`

const (
	urgentKey = "key-of-urgent"
	plainKey  = "key-of-plain"
)

// keyedBundle returns keyBundle with its callers.
func keyedBundle(t *testing.T) *bundle.Bundle {
	text := keyBundle + fmt.Sprintf("[[caller]]\nname = \"urgent\"\nkeys = [%q]\npriority = 1\n[[caller]]\nname = \"plain\"\nkeys = [%q]\n",
		bundle.KeyDigest(urgentKey), bundle.KeyDigest(plainKey))
	b, err := bundle.Parse("test", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// recordingFleet serves each request and keeps the last one, with what it told of how that one ended.
type recordingFleet struct {
	sureNode
	bundle              *bundle.Bundle
	trusts, knowsNewest bool
	newKeys             bool           // the node may lack a bundle for which they are
	next                *bundle.Bundle // comes into force while a request is authenticated, unless it is nil
	served, ended       *caller.Request
	endErr              error
}

func (f *recordingFleet) Bundle() *bundle.Bundle { return f.bundle }

func (f *recordingFleet) TrustsKeys() bool { return f.trusts }

func (f *recordingFleet) ConfirmedNewest() bool {
	if f.next != nil {
		f.bundle = f.next
	}
	return f.knowsNewest
}

func (f *recordingFleet) ExpectsNoKeys() bool { return !f.newKeys }

func (*recordingFleet) Admit(*caller.Request) error { return nil }

func (f *recordingFleet) Serve(_ context.Context, r *caller.Request) (*upstream.Response, error) {
	f.served = r
	resp := &upstream.Response{Status: http.StatusOK, Header: make(http.Header)}
	resp.SetContent(nil)
	return resp, nil
}

func (f *recordingFleet) RecordEnd(r *caller.Request, _ int, _ outcome.Outcome, err error, _ time.Duration) {
	f.ended, f.endErr = r, err
}

// sendTo sends a request with the given header through the handler of callers.
func sendTo(f caller.Fleet, d caller.Dialect, path string, header http.Header) *httptest.ResponseRecorder {
	e := echo.New()
	caller.Mount(e, d, f, caller.Limits{Head: 32 << 10, Body: 16 << 20})
	req := httptest.NewRequest(http.MethodPost, path, nil)
	req.Host, req.Header = "s.test", header
	w := httptest.NewRecorder()
	e.ServeHTTP(w, req)
	return w
}

// TestAuthentication guards against requests that are served without the key that they need, or refused although they may be served.
func TestAuthentication(t *testing.T) {
	tests := []struct {
		name, path    string
		authorization []string
		trusts, knows bool
		wantStatus    int
		wantCode      outcome.Code
		wantCaller    string
		wantPriority  int // -1 if the caller has none
	}{
		{"known key", "/x", []string{"Bearer " + plainKey}, true, true, 200, "", "plain", -1},
		{"key of a caller with a priority", "/x", []string{"Bearer " + urgentKey}, true, true, 200, "", "urgent", 1},
		{"scheme in lower case", "/x", []string{"bearer  " + plainKey}, true, true, 200, "", "plain", -1},
		{"known key at a node that lags", "/x", []string{"Bearer " + plainKey}, true, false, 200, "", "plain", -1},
		{"no key", "/x", nil, true, true, 401, outcome.CodeUnauthenticated, "", -1},
		{"no key at a node that lags", "/x", nil, true, false, 401, outcome.CodeUnauthenticated, "", -1},
		{"empty key", "/x", []string{"Bearer "}, true, true, 401, outcome.CodeUnauthenticated, "", -1},
		{"another scheme", "/x", []string{"Basic " + plainKey}, true, true, 401, outcome.CodeUnauthenticated, "", -1},
		{"key without a scheme", "/x", []string{plainKey}, true, true, 401, outcome.CodeUnauthenticated, "", -1},
		{"two keys", "/x", []string{"Bearer " + plainKey, "Bearer " + urgentKey}, true, true, 401, outcome.CodeUnauthenticated, "", -1},
		{"unknown key", "/x", []string{"Bearer other"}, true, true, 401, outcome.CodeUnauthenticated, "", -1},
		{"digest for a key", "/x", []string{"Bearer " + bundle.KeyDigest(plainKey)}, true, true, 401, outcome.CodeUnauthenticated, "", -1},
		{"unknown key at a node that lags", "/x", []string{"Bearer other"}, true, false, 503, outcome.CodeStaleBundle, "", -1},
		{"known key at a closed node", "/x", []string{"Bearer " + plainKey}, false, false, 503, outcome.CodeStaleBundle, "", -1},
		{"public route", "/open", nil, true, true, 200, "", "", -1},
		{"public route with a key", "/open", []string{"Bearer " + urgentKey}, true, true, 200, "", "urgent", 1},
		{"public route with an unknown key", "/open", []string{"Bearer other"}, true, true, 200, "", "", -1},
		{"public route with an unknown key at a node that lags", "/open", []string{"Bearer other"}, true, false, 200, "", "", -1},
		{"public route with two keys", "/open", []string{"Bearer a", "Bearer b"}, true, true, 200, "", "", -1},
		{"public route with another scheme", "/open", []string{"Basic YTpi"}, true, true, 200, "", "", -1},
		{"public route at a closed node", "/open", nil, false, false, 200, "", "", -1},
		{"public route with a key at a closed node", "/open", []string{"Bearer " + plainKey}, false, false, 503, outcome.CodeStaleBundle, "", -1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &recordingFleet{bundle: keyedBundle(t), trusts: tt.trusts, knowsNewest: tt.knows}
			w := sendTo(f, caller.DefaultDialect(), tt.path, http.Header{"Authorization": tt.authorization, "Caller": {"forged"}, "Request-Id": {"the-id"}})
			is.Equal(w.Code, tt.wantStatus)
			is.Equal(w.Header().Get("Request-Id"), "the-id") // also of refusals, which are looked up in the log by it
			is.Equal(f.ended.ID, "the-id")
			is.Equal(w.Header().Get("Www-Authenticate") != "", tt.wantStatus == http.StatusUnauthorized)
			if tt.wantCode != "" {
				is.Equal(f.served, nil)
				var problem struct{ Code, Outcome string }
				is.NoErr(json.Unmarshal(w.Body.Bytes(), &problem))
				is.Equal(problem.Code, string(tt.wantCode))
				is.Equal(problem.Outcome, string(outcome.NotRun))
				is.Equal(w.Header().Get("Retry-After") != "", tt.wantStatus == http.StatusServiceUnavailable)
				return
			}
			is.Equal(f.served.Caller, tt.wantCaller)
			is.Equal(f.served.Identified, tt.wantCaller != "")
			is.Equal(f.served.Prioritized, tt.wantPriority >= 0)
			is.Equal(f.served.Priority, max(0, tt.wantPriority))
			is.Equal(len(f.served.HTTP.Header.Values("Authorization")), 0)
			is.Equal(len(f.served.HTTP.Header.Values("Caller")), 0)
		})
	}
}

// TestBundleWithoutKeysAsksForNone guards against a change for the callers of a bundle that has no keys.
func TestBundleWithoutKeysAsksForNone(t *testing.T) {
	is := is.New(t)
	b, err := bundle.Parse("test", []byte(keyBundle+"[[caller]]\nname = \"slow\"\nrate = 1\n"))
	is.NoErr(err)
	f := &recordingFleet{bundle: b} // trusts and knows nothing
	for _, path := range []string{"/x", "/open"} {
		w := sendTo(f, caller.DefaultDialect(), path, http.Header{"Authorization": {"Basic YTpi"}, "Caller": {"slow"}})
		is.Equal(w.Code, http.StatusOK)
		is.Equal(f.served.Caller, "slow")
		is.True(!f.served.Identified)
		is.Equal(f.served.HTTP.Header.Get("Authorization"), "Basic YTpi")
		is.Equal(f.served.HTTP.Header.Get("Caller"), "slow")
	}
}

// TestKeyBeforeItIsRequired guards against a key that reaches upstreams, and against a request with a key that runs unidentified, at a node that
// may lack the first bundle with keys.
func TestKeyBeforeItIsRequired(t *testing.T) {
	const served, refused = http.StatusOK, http.StatusServiceUnavailable
	tests := []struct {
		name, path    string
		authorization []string
		reserves      bool // the dialect reserves keys
		knows         bool
		wantStatus    int
		wantForwarded bool
		newKeys       bool
	}{
		{"key", "/x", []string{"Bearer k"}, true, true, served, false, false},
		{"key at a node that lags", "/x", []string{"Bearer k"}, true, false, refused, false, false},
		{"key on a public route of a node that lags", "/open", []string{"Bearer k"}, true, false, served, false, false},
		{"scheme in upper case at a node that lags", "/x", []string{"BEARER k"}, true, false, refused, false, false},
		{"key behind a tab at a node that lags", "/x", []string{"Bearer\tk"}, true, false, refused, false, false},
		{"key without a scheme at a node that lags", "/x", []string{"k"}, true, false, refused, false, false},
		{"key beside another scheme at a node that lags", "/x", []string{"Basic YTpi", "Bearer k"}, true, false, refused, false, false},
		{"another scheme at a node that lags", "/x", []string{"Basic YTpi"}, true, false, served, true, false},
		{"no header at a node that lags", "/x", nil, true, false, served, false, false},
		{"key that a dialect leaves to upstreams", "/x", []string{"Bearer k"}, false, false, served, true, true},
		{"first key", "/x", []string{"Bearer k"}, true, true, refused, false, true},
		{"first key on a public route", "/open", []string{"Bearer k"}, true, true, served, false, true},
	}
	b, err := bundle.Parse("test", []byte(keyBundle))
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &recordingFleet{bundle: b, knowsNewest: tt.knows, newKeys: tt.newKeys}
			w := sendTo(f, caller.Dialect{ReservesKeys: tt.reserves}, tt.path, http.Header{"Authorization": tt.authorization})
			is.Equal(w.Code, tt.wantStatus)
			if tt.wantStatus == refused {
				is.Equal(f.served, nil)
				is.True(w.Header().Get("Retry-After") != "")
				return
			}
			is.Equal(len(f.served.HTTP.Header.Values("Authorization")) > 0, tt.wantForwarded)
		})
	}
}

// TestBundleThatChangesDuringAuthentication guards against a refusal by a bundle that is no longer in force: the node has confirmed the
// version after it.
func TestBundleThatChangesDuringAuthentication(t *testing.T) {
	is := is.New(t)
	b := keyedBundle(t)
	f := &recordingFleet{bundle: b, next: keyedBundle(t), trusts: true, knowsNewest: true}
	w := sendTo(f, caller.DefaultDialect(), "/x", http.Header{"Authorization": {"Bearer other"}})
	is.Equal(w.Code, http.StatusServiceUnavailable)
	is.Equal(f.ended.Bundle, b) // the log names the bundle that decided, not the one in force at the end
}

// TestRefusedRepeatIsUnknown guards against the promise that a request did not run of which an earlier attempt, whose key was valid then, may
// have run.
func TestRefusedRepeatIsUnknown(t *testing.T) {
	for _, tt := range []struct {
		name  string
		knows bool
		want  int
	}{{"unknown key", true, 401}, {"unknown key at a node that lags", false, 502}} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := &recordingFleet{bundle: keyedBundle(t), trusts: true, knowsNewest: tt.knows}
			w := sendTo(f, caller.DefaultDialect(), "/x", http.Header{"Authorization": {"Bearer other"}, "Idempotency-Key": {"k"}})
			is.Equal(w.Code, tt.want)
			is.Equal(w.Header().Get("Outcome"), string(outcome.Unknown))
		})
	}
}

// TestRefusalsDoNotQuoteKeys guards against keys in clear in responses and, since the log has the same errors, in logs.
func TestRefusalsDoNotQuoteKeys(t *testing.T) {
	const secret = "s3cr3t-and-l0ng"
	for _, authorization := range []string{"Bearer " + secret, "Basic " + secret, secret, "Bearer " + secret + " " + secret, "Bearer\t" + secret} {
		for _, knows := range []bool{true, false} {
			is := is.New(t)
			f := &recordingFleet{bundle: keyedBundle(t), trusts: true, knowsNewest: knows}
			w := sendTo(f, caller.DefaultDialect(), "/x", http.Header{"Authorization": {authorization}})
			is.True(f.endErr != nil)
			is.True(!strings.Contains(w.Body.String()+fmt.Sprint(w.Header(), f.endErr), secret))
		}
	}
}
