package idempotency_test

import (
	"testing"
	"time"

	"github.com/jasminevane/jasminevane/idempotency"
	"github.com/matryer/is"
)

var testTime = time.Unix(1_000_000, 0)

func newLedger() *idempotency.Ledger {
	return idempotency.NewLedger(idempotency.Limits{MaxKeys: 3, MaxResponseBytes: 10, Retention: time.Minute})
}

func TestVerdicts(t *testing.T) {
	handoverTime := testTime.Add(-time.Second)
	tests := []struct {
		name        string
		prepare     func(l *idempotency.Ledger)
		req         idempotency.Request
		wantVerdict idempotency.Verdict
	}{
		{"first", func(*idempotency.Ledger) {}, idempotency.Request{Key: "k"}, idempotency.Run},
		{"running", func(l *idempotency.Ledger) { l.Begin(testTime, idempotency.Request{Key: "k"}) }, idempotency.Request{Key: "k"}, idempotency.Wait},
		{"ran", func(l *idempotency.Ledger) {
			l.Begin(testTime, idempotency.Request{Key: "k"})
			l.Finish("k", idempotency.Response("yes"))
		}, idempotency.Request{Key: "k"}, idempotency.Replay},
		{"ran, with an answer too large to keep", func(l *idempotency.Ledger) {
			l.Begin(testTime, idempotency.Request{Key: "k"})
			l.Finish("k", idempotency.Response("far too large"))
		}, idempotency.Request{Key: "k"}, idempotency.ResponseEvicted},
		{"may have run", func(l *idempotency.Ledger) {
			l.Begin(testTime, idempotency.Request{Key: "k"})
			l.MarkUnknown("k")
		}, idempotency.Request{Key: "k"}, idempotency.Ambiguous},
		{"was not run", func(l *idempotency.Ledger) {
			l.Begin(testTime, idempotency.Request{Key: "k"})
			l.Cancel("k")
		}, idempotency.Request{Key: "k"}, idempotency.Run},
		{"another request", func(l *idempotency.Ledger) { l.Begin(testTime, idempotency.Request{Key: "k"}) }, idempotency.Request{Key: "k", Fingerprint: 1}, idempotency.KeyReused},
		{"a repeat that a new owner knows nothing of", func(*idempotency.Ledger) {}, idempotency.Request{Key: "k", CompleteSince: handoverTime}, idempotency.Ambiguous},
		{"a first request at a new owner", func(*idempotency.Ledger) {}, idempotency.Request{Key: "k", CompleteSince: handoverTime, FirstAttempt: true}, idempotency.Run},
		{"a gap that is over", func(*idempotency.Ledger) {}, idempotency.Request{Key: "k", CompleteSince: testTime.Add(-2 * time.Minute)}, idempotency.Run},
		{"no room", func(l *idempotency.Ledger) {
			for _, k := range []string{"a", "b", "c"} {
				l.Begin(testTime, idempotency.Request{Key: k})
			}
		}, idempotency.Request{Key: "k"}, idempotency.TooManyKeys},
		{"after the retention time", func(l *idempotency.Ledger) {
			l.Begin(testTime.Add(-2*time.Minute), idempotency.Request{Key: "k"})
			l.Finish("k", nil)
		}, idempotency.Request{Key: "k"}, idempotency.Run},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l := newLedger()
			tt.prepare(l)
			verdict, _ := l.Begin(testTime, tt.req)
			is.Equal(verdict, tt.wantVerdict)
		})
	}
}

func TestHandoverKeepsResponses(t *testing.T) {
	is := is.New(t)
	from, to := newLedger(), newLedger()
	for _, k := range []string{"done", "open"} {
		from.Begin(testTime, idempotency.Request{Shard: 7, Key: k})
	}
	from.Finish("done", idempotency.Response("yes"))
	to.Import(7, from.Export(7))
	from.DropShard(7)
	is.Equal(from.Len(), 0)
	is.Equal(from.ResponseBytes(), 0)
	verdict, response := to.Begin(testTime, idempotency.Request{Shard: 7, Key: "done"})
	is.Equal(verdict, idempotency.Replay)
	is.Equal(string(response), "yes")
	verdict, _ = to.Begin(testTime, idempotency.Request{Shard: 7, Key: "open"})
	is.Equal(verdict, idempotency.Ambiguous) // the request may still run at the former owner
}
