package idempotency

import (
	"time"
)

// State is the state of execution of the request with a key.
type State int

// The states of a key.
const (
	Pending State = iota + 1 // the request was dispatched and has not ended
	Ran                      // the request ran; its response is stored unless it was too large or was evicted
	Unknown                  // the request may have run
)

// Verdict is the decision on how to handle a request.
type Verdict int

// The verdicts.
const (
	Run             Verdict = iota // first request with the key: it may be dispatched
	Replay                         // an earlier request with the key ran: its stored response is returned
	Wait                           // an earlier request with the key is running
	Ambiguous                      // it is not known whether an earlier request with the key ran
	KeyReused                      // the key was used by a request with another fingerprint
	TooManyKeys                    // the ledger holds the maximum number of keys
	ResponseEvicted                // an earlier request with the key ran, but its response was too large to store or was evicted
)

// Response is a stored response in an encoding chosen by the code that uses the ledger.
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

// Limits holds the limits of what a ledger stores.
type Limits struct {
	MaxKeys          int           // maximum number of keys
	MaxResponseBytes int           // maximum total size of the stored responses in bytes
	Retention        time.Duration // time for which a key is kept after its first request
}

// Ledger holds the keys of the shards that a node owns.
type Ledger struct {
	limits        Limits
	records       map[string]*record
	shards        map[int]map[string]*record
	oldestFirst   []*record // all records, oldest first; a removed record stays in the slice until it is the first
	withResponse  []*record // records with a stored response, oldest first; a record without one stays in the slice until it is the first
	responseBytes int
	seq           uint64
}

// NewLedger returns an empty ledger with the given limits.
func NewLedger(limits Limits) *Ledger {
	return &Ledger{limits: limits, records: make(map[string]*record), shards: make(map[int]map[string]*record)}
}

// SetRetention changes the time for which keys are kept.
func (l *Ledger) SetRetention(d time.Duration) { l.limits.Retention = d }

// Len returns the number of keys in the ledger.
func (l *Ledger) Len() int { return len(l.records) }

// ResponseBytes returns the total size of the stored responses in bytes.
func (l *Ledger) ResponseBytes() int { return l.responseBytes }

// Request is a request with an idempotency key, received by the owner of the key's shard.
type Request struct {
	Shard         int
	Key           string
	Fingerprint   uint64    // hash of method, path and body
	FirstAttempt  bool      // the caller sent no earlier request with the key
	CompleteSince time.Time // time before which records may be missing; zero if none are missing
}

// Begin returns the verdict on a request and, if it is Replay, the stored response. If it is Run, Begin records the key as pending.
func (l *Ledger) Begin(now time.Time, r Request) (Verdict, Response) {
	l.expire(now)
	if rec := l.records[r.Key]; rec != nil {
		return rec.verdict(r)
	}
	if !r.FirstAttempt && !r.CompleteSince.IsZero() && now.Sub(r.CompleteSince) < l.limits.Retention {
		return Ambiguous, nil
	}
	if len(l.records) >= l.limits.MaxKeys {
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
	l.oldestFirst = append(l.oldestFirst, rec)
	return rec
}

// Finish records that the request of a pending key ran, and stores its response.
func (l *Ledger) Finish(key string, response Response) {
	rec := l.pendingRecord(key)
	if rec == nil {
		return
	}
	rec.State = Ran
	l.storeResponse(rec, response)
}

// MarkUnknown records that the request of a pending key may have run.
func (l *Ledger) MarkUnknown(key string) {
	if rec := l.pendingRecord(key); rec != nil {
		rec.State = Unknown
	}
}

// Cancel removes a pending key whose request was not run.
func (l *Ledger) Cancel(key string) {
	if rec := l.pendingRecord(key); rec != nil {
		l.remove(rec)
	}
}

func (l *Ledger) pendingRecord(key string) *record {
	rec := l.records[key]
	if rec == nil || rec.State != Pending {
		return nil
	}
	return rec
}

// storeResponse stores a response and evicts the oldest responses until their total size is within the limit.
func (l *Ledger) storeResponse(rec *record, response Response) {
	if response == nil || len(response) > l.limits.MaxResponseBytes {
		return
	}
	rec.Response = response
	l.responseBytes += len(response)
	l.withResponse = append(l.withResponse, rec)
	for l.responseBytes > l.limits.MaxResponseBytes {
		l.evictResponse(l.withResponse[0])
		l.withResponse = l.withResponse[1:]
	}
}

func (l *Ledger) evictResponse(rec *record) {
	l.responseBytes -= len(rec.Response)
	rec.Response = nil
}

// expire removes keys older than the retention time, except pending ones.
func (l *Ledger) expire(now time.Time) {
	for len(l.oldestFirst) > 0 {
		rec := l.oldestFirst[0]
		current := l.records[rec.Key] == rec
		if current && now.Sub(rec.FirstSeen) < l.limits.Retention {
			return
		}
		l.oldestFirst = l.oldestFirst[1:]
		if !current {
			continue
		}
		if rec.State == Pending {
			l.oldestFirst = append(l.oldestFirst, rec)
			return
		}
		l.remove(rec)
	}
}

func (l *Ledger) remove(rec *record) {
	l.evictResponse(rec)
	for len(l.withResponse) > 0 && l.withResponse[0].Response == nil {
		l.withResponse = l.withResponse[1:]
	}
	delete(l.records, rec.Key)
	delete(l.shards[rec.shard], rec.Key)
	if len(l.shards[rec.shard]) == 0 {
		delete(l.shards, rec.shard)
	}
}

// Export returns the records of a shard for its new owner. It returns pending records as Unknown, since their requests may still run.
func (l *Ledger) Export(shard int) []Record {
	exported := make([]Record, 0, len(l.shards[shard]))
	for _, rec := range l.shards[shard] {
		r := rec.Record
		if r.State == Pending {
			r.State = Unknown
		}
		exported = append(exported, r)
	}
	return exported
}

// Import adds the records of a shard from its former owner. It skips keys that the ledger already holds.
func (l *Ledger) Import(shard int, records []Record) {
	for _, r := range records {
		if l.records[r.Key] != nil {
			continue
		}
		response := r.Response
		r.Response = nil
		l.storeResponse(l.add(shard, r), response)
	}
}

// DropShard removes the records of a shard that this node no longer owns.
func (l *Ledger) DropShard(shard int) {
	for _, rec := range l.shards[shard] {
		l.remove(rec)
	}
}
