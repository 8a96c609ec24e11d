package idempotency

import (
	"time"
)

// State is what is known of a key.
type State int

// The states of a key.
const (
	Pending State = iota + 1 // the request was sent and has not ended
	Ran                      // the request ran and its answer is kept, or was
	Unknown                  // the request may have run
)

// Verdict says what to do with a request.
type Verdict int

// The verdicts.
const (
	Run             Verdict = iota // first request with the key: it may be sent
	Replay                         // the kept answer is given again
	Wait                           // an earlier request with the key is running
	Ambiguous                      // whether it ran is not known
	KeyReused                      // the key belongs to a different request
	Full                           // no further key can be remembered
	ResponseEvicted                // it ran, but the answer is no longer kept
)

// Response is a kept answer in the form that the shell chose.
type Response []byte

// Record is what is kept of one key.
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

// Bounds of the ledger.
type Bounds struct {
	Records       int           // keys remembered
	ResponseBytes int           // bytes of answers kept
	Retention     time.Duration // time for which a key is remembered
}

// Ledger holds the keys of the shards that a node owns.
type Ledger struct {
	bounds  Bounds
	records map[string]*record
	shards  map[int]map[string]*record
	oldest  []*record // in order of time; removed records stay until they reach the front
	answers []*record // records whose answer is kept, oldest first
	bytes   int
	seq     uint64
}

// NewLedger returns an empty ledger.
func NewLedger(b Bounds) *Ledger {
	return &Ledger{bounds: b, records: make(map[string]*record), shards: make(map[int]map[string]*record)}
}

// SetRetention changes the time for which keys are remembered.
func (l *Ledger) SetRetention(d time.Duration) { l.bounds.Retention = d }

// Len returns the number of keys remembered.
func (l *Ledger) Len() int { return len(l.records) }

// Bytes returns the bytes of the answers kept.
func (l *Ledger) Bytes() int { return l.bytes }

// Request is a request with a key as the owner of its shard sees it.
type Request struct {
	Shard         int
	Key           string
	Fingerprint   uint64    // condenses method, path and body
	FirstAttempt  bool      // no earlier request with the key was sent
	CompleteSince time.Time // start of the span before which the owner knows nothing; zero for none
}

// Begin decides on a request and, for Run, remembers the key.
func (l *Ledger) Begin(now time.Time, r Request) (Verdict, Response) {
	l.expire(now)
	if rec := l.records[r.Key]; rec != nil {
		return rec.verdict(r)
	}
	if !r.FirstAttempt && !r.CompleteSince.IsZero() && now.Sub(r.CompleteSince) < l.bounds.Retention {
		return Ambiguous, nil
	}
	if len(l.records) >= l.bounds.Records {
		return Full, nil
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
	l.oldest = append(l.oldest, rec)
	return rec
}

// Finish notes that the request of a pending key ran, with the answer to keep.
func (l *Ledger) Finish(key string, a Response) {
	rec := l.pending(key)
	if rec == nil {
		return
	}
	rec.State = Ran
	l.keep(rec, a)
}

// MarkUnknown notes that the request of a pending key may have run.
func (l *Ledger) MarkUnknown(key string) {
	if rec := l.pending(key); rec != nil {
		rec.State = Unknown
	}
}

// Cancel forgets a pending key whose request was certainly not run.
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

// keep stores an answer and drops the oldest ones beyond the bound.
func (l *Ledger) keep(rec *record, a Response) {
	if a == nil || len(a) > l.bounds.ResponseBytes {
		return
	}
	rec.Response = a
	l.bytes += len(a)
	l.answers = append(l.answers, rec)
	for l.bytes > l.bounds.ResponseBytes {
		l.dropAnswer(l.answers[0])
		l.answers = l.answers[1:]
	}
}

func (l *Ledger) dropAnswer(rec *record) {
	l.bytes -= len(rec.Response)
	rec.Response = nil
}

// expire forgets keys beyond the retention time; a pending key stays.
func (l *Ledger) expire(now time.Time) {
	for len(l.oldest) > 0 {
		rec := l.oldest[0]
		live := l.records[rec.Key] == rec
		if live && now.Sub(rec.FirstSeen) < l.bounds.Retention {
			return
		}
		l.oldest = l.oldest[1:]
		if !live {
			continue
		}
		if rec.State == Pending {
			l.oldest = append(l.oldest, rec)
			return
		}
		l.remove(rec)
	}
}

func (l *Ledger) remove(rec *record) {
	l.dropAnswer(rec)
	for len(l.answers) > 0 && l.answers[0].Response == nil {
		l.answers = l.answers[1:]
	}
	delete(l.records, rec.Key)
	delete(l.shards[rec.shard], rec.Key)
	if len(l.shards[rec.shard]) == 0 {
		delete(l.shards, rec.shard)
	}
}

// Export returns the records of a shard for its new owner; a pending request may still run.
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

// Import takes the records of a shard from its former owner.
func (l *Ledger) Import(shard int, list []Record) {
	for _, r := range list {
		if l.records[r.Key] != nil {
			continue
		}
		answer := r.Response
		r.Response = nil
		l.keep(l.add(shard, r), answer)
	}
}

// DropShard forgets a shard that another node owns now.
func (l *Ledger) DropShard(shard int) {
	for _, rec := range l.shards[shard] {
		l.remove(rec)
	}
}
