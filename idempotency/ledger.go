package idempotency

import (
	"time"
)

// State is what is known about the execution of a key's request.
type State int

// The states of a key.
const (
	Pending State = iota + 1 // the request was dispatched and has not ended
	Ran                      // the request ran; its response is stored unless it was too large or was evicted
	Unknown                  // the request may have run
)

// Verdict is the decision on a request.
type Verdict int

// The verdicts.
const (
	Run             Verdict = iota // first request with the key: it may be dispatched
	Replay                         // the stored response is sent again
	Wait                           // an earlier request with the key is running
	Ambiguous                      // it is not known whether an earlier request with the key ran
	KeyReused                      // the key belongs to a different request
	TooManyKeys                    // no memory for another key
	ResponseEvicted                // an earlier request with the key ran, but its response was too large to store or was evicted
)

// Response is a stored response, encoded by the user of the ledger.
type Response []byte

// Record is what the ledger stores for one key.
type Record struct {
	Key         string
	Fingerprint uint64
	State       State
	FirstSeen   time.Time // time of the first request
	Response    Response
}

type record struct {
	Record
	shard int
	seq   uint64
}

// Limits limits what a ledger stores.
type Limits struct {
	MaxKeys          int           // maximum number of keys
	MaxResponseBytes int           // maximum size of all stored responses
	Retention        time.Duration // time for which a key is kept
}

// Ledger holds the keys of the shards that a node owns.
type Ledger struct {
	bounds        Limits
	records       map[string]*record
	shards        map[int]map[string]*record
	byAge         []*record // in order of insertion; removed records stay until they reach the front
	responses     []*record // records with a stored response, oldest first; removed ones stay until they reach the front
	responseBytes int
	seq           uint64
}

// NewLedger returns an empty ledger.
func NewLedger(b Limits) *Ledger {
	return &Ledger{bounds: b, records: make(map[string]*record), shards: make(map[int]map[string]*record)}
}

// SetRetention changes the time for which keys are kept.
func (l *Ledger) SetRetention(d time.Duration) { l.bounds.Retention = d }

// Len returns the number of keys in the ledger.
func (l *Ledger) Len() int { return len(l.records) }

// ResponseBytes returns the size of all stored responses.
func (l *Ledger) ResponseBytes() int { return l.responseBytes }

// Request is a request with an idempotency key as the owner of its shard sees it.
type Request struct {
	Shard         int
	Key           string
	Fingerprint   uint64    // hash of method, path and body
	FirstAttempt  bool      // no earlier request with the key was sent
	CompleteSince time.Time // time before which records may be missing; zero if none are missing
}

// Begin decides on a request and, if the verdict is Run, records the key as pending.
func (l *Ledger) Begin(now time.Time, r Request) (Verdict, Response) {
	l.expire(now)
	if rec := l.records[r.Key]; rec != nil {
		return rec.verdict(r)
	}
	if !r.FirstAttempt && !r.CompleteSince.IsZero() && now.Sub(r.CompleteSince) < l.bounds.Retention {
		return Ambiguous, nil
	}
	if len(l.records) >= l.bounds.MaxKeys {
		return TooManyKeys, nil
	}
	l.add(r.Shard, Record{Key: r.Key, Fingerprint: r.Fingerprint, State: Pending, FirstSeen: now})
	return Run, nil
}

func (rec *record) verdict(r Request) (Verdict, Response) {
	if rec.Fingerprint != r.Fingerprint {
		return KeyReused, nil
	}
	switch rec.State {
	case Pending:
		return Wait, nil
	case Unknown:
		return Ambiguous, nil
	}
	if rec.Response == nil {
		return ResponseEvicted, nil
	}
	return Replay, rec.Response
}

func (l *Ledger) add(shard int, r Record) *record {
	l.seq++
	rec := &record{Record: r, shard: shard, seq: l.seq}
	l.records[r.Key] = rec
	if l.shards[shard] == nil {
		l.shards[shard] = make(map[string]*record)
	}
	l.shards[shard][r.Key] = rec
	l.byAge = append(l.byAge, rec)
	return rec
}

// Finish records that the request of a pending key ran, and stores its response.
func (l *Ledger) Finish(key string, response Response) {
	rec := l.pending(key)
	if rec == nil {
		return
	}
	rec.State = Ran
	l.storeResponse(rec, response)
}

// MarkUnknown records that the request of a pending key may have run.
func (l *Ledger) MarkUnknown(key string) {
	if rec := l.pending(key); rec != nil {
		rec.State = Unknown
	}
}

// Cancel removes a pending key whose request was certainly not run.
func (l *Ledger) Cancel(key string) {
	if rec := l.pending(key); rec != nil {
		l.remove(rec)
	}
}

func (l *Ledger) pending(key string) *record {
	rec := l.records[key]
	if rec == nil || rec.State != Pending {
		return nil
	}
	return rec
}

// storeResponse stores a response and evicts the oldest ones beyond the bound.
func (l *Ledger) storeResponse(rec *record, response Response) {
	if response == nil || len(response) > l.bounds.MaxResponseBytes {
		return
	}
	rec.Response = response
	l.responseBytes += len(response)
	l.responses = append(l.responses, rec)
	for l.responseBytes > l.bounds.MaxResponseBytes {
		l.evictResponse(l.responses[0])
		l.responses = l.responses[1:]
	}
}

func (l *Ledger) evictResponse(rec *record) {
	l.responseBytes -= len(rec.Response)
	rec.Response = nil
}

// expire removes keys beyond the retention time, except pending ones.
func (l *Ledger) expire(now time.Time) {
	for len(l.byAge) > 0 {
		rec := l.byAge[0]
		current := l.records[rec.Key] == rec
		if current && now.Sub(rec.FirstSeen) < l.bounds.Retention {
			return
		}
		l.byAge = l.byAge[1:]
		if !current {
			continue
		}
		if rec.State == Pending {
			l.byAge = append(l.byAge, rec)
			return
		}
		l.remove(rec)
	}
}

func (l *Ledger) remove(rec *record) {
	l.evictResponse(rec)
	for len(l.responses) > 0 && l.responses[0].Response == nil {
		l.responses = l.responses[1:]
	}
	delete(l.records, rec.Key)
	delete(l.shards[rec.shard], rec.Key)
	if len(l.shards[rec.shard]) == 0 {
		delete(l.shards, rec.shard)
	}
}

// Export returns the records of a shard for its new owner; pending ones become Unknown, since their requests may still run.
func (l *Ledger) Export(shard int) []Record {
	out := make([]Record, 0, len(l.shards[shard]))
	for _, rec := range l.shards[shard] {
		r := rec.Record
		if r.State == Pending {
			r.State = Unknown
		}
		out = append(out, r)
	}
	return out
}

// Import adds the records of a shard from its former owner; keys that the ledger already has stay as they are.
func (l *Ledger) Import(shard int, list []Record) {
	for _, r := range list {
		if l.records[r.Key] != nil {
			continue
		}
		response := r.Response
		r.Response = nil
		l.storeResponse(l.add(shard, r), response)
	}
}

// DropShard removes the records of a shard that another node owns now.
func (l *Ledger) DropShard(shard int) {
	for _, rec := range l.shards[shard] {
		l.remove(rec)
	}
}
