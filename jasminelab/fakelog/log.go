package fakelog

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Limits of the service.
const (
	maxWait           = 30 * time.Second
	maxRecord         = 256 << 10 // bytes
	maxAppend         = 2 << 20   // bytes in the body of one append
	maxItems          = 500       // keys in one page of newest records
	compactedPrefix   = "keyed."  // of topics that keep the newest record of each key
	rememberedAppends = 5         // appends per producer that are deduplicated when retried
)

// Faults are the faults that the log injects.
type Faults struct {
	Down              bool          `json:"down"`
	RefusedAddrs      []string      `json:"refuse"`    // hosts of clients whose calls fail while others are served
	Delay             time.Duration `json:"slow"`      // delay of every call
	LostResponseShare float64       `json:"loseshare"` // share of appends that take effect but whose response is lost
	LostAppendDelay   time.Duration `json:"late"`      // delay before an append whose response is lost takes effect
}

// partition is one partition of a topic.
type partition struct {
	compacted bool // whether newest is kept
	first     uint64
	records   []record
	newest    map[string]record
	producers map[string]*producer
	appended  chan struct{} // closed by the next append
}

type record struct {
	offset     uint64
	appendedAt time.Time
	data       []byte
}

// producer is the state that a partition keeps for one fenced producer.
type producer struct {
	epoch   uint64
	nextSeq uint64 // expected sequence number
	anySeq  bool   // accept any sequence number, since the epoch is new
	recent  []pastAppend
}

type pastAppend struct{ seq, offset, end uint64 }

// Log is an in-memory fake of the platform's log service.
type Log struct {
	mu              sync.Mutex
	partitions      map[string]*partition // by topic and partition name
	faults          Faults
	retention       time.Duration
	limiter         *rate.Limiter
	rng             *rand.Rand
	appends         int
	reads           int
	peakRate        int   // most appends within one second
	currentSecond   int64 // Unix time
	appendsInSecond int
}

// New returns an empty log that accepts at most appendRate appends per second and keeps records for retention (0 for ever).
func New(appendRate int, retention time.Duration, seed uint64) *Log {
	return &Log{
		partitions: make(map[string]*partition),
		retention:  retention,
		limiter:    rate.NewLimiter(rate.Limit(appendRate), appendRate),
		rng:        rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFaults replaces the injected faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Counts are the numbers of calls that the log has served.
type Counts struct {
	Appends        int `json:"appends"`
	Reads          int `json:"reads"`
	PeakAppendRate int `json:"peak"` // most appends within one second
}

// Counts returns the calls served so far.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Appends: l.appends, Reads: l.reads, PeakAppendRate: l.peakRate}
}

// Put appends a record with the key and value to partition 0 of the topic, as an operator would; faults do not apply.
func (l *Log) Put(topic, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(topic, "0")
	data := append([]byte{byte(len(key))}, key...)
	p.add([][]byte{append(data, value...)}, time.Now())
}

// TrimAll deletes all records of partition 0 of the topic; the newest value of each key remains readable.
func (l *Log) TrimAll(topic string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(topic, "0")
	p.first += uint64(len(p.records))
	p.records = nil
}

// partition returns a partition after deleting its expired records, and creates it if it does not exist.
func (l *Log) partition(topic, name string) *partition {
	id := topic + "/" + name
	p := l.partitions[id]
	if p == nil {
		p = &partition{
			compacted: strings.HasPrefix(topic, compactedPrefix), newest: make(map[string]record),
			producers: make(map[string]*producer), appended: make(chan struct{}),
		}
		l.partitions[id] = p
	}
	if l.retention > 0 {
		for len(p.records) > 0 && time.Since(p.records[0].appendedAt) > l.retention {
			p.records = p.records[1:]
			p.first++
		}
	}
	return p
}

func (p *partition) end() uint64 { return p.first + uint64(len(p.records)) }

func (p *partition) add(records [][]byte, now time.Time) {
	for _, data := range records {
		r := record{offset: p.end(), appendedAt: now, data: data}
		p.records = append(p.records, r)
		if p.compacted {
			p.updateNewest(r)
		}
	}
	close(p.appended)
	p.appended = make(chan struct{})
}

// updateNewest makes the record the newest of its key; an empty value deletes the key.
func (p *partition) updateNewest(r record) {
	n := 1 + int(r.data[0])
	key := string(r.data[1:n])
	if len(r.data) == n {
		delete(p.newest, key)
		return
	}
	p.newest[key] = record{offset: r.offset, data: r.data[n:]}
}

// Errors of calls, other than conflicts.
var (
	errUnavailable  = errors.New("log service is unavailable")
	errRateLimited  = errors.New("too many appends")
	errResponseLost = errors.New("response lost")
)

// conflict reports an append whose condition does not hold.
type conflict struct {
	status  int
	reason  string
	current uint64 // the producer's epoch, its next sequence number or the end offset, by reason
}

func (e *conflict) Error() string { return "append: " + e.reason }

// injectFaults delays or fails a call of a client as the current faults demand.
func (l *Log) injectFaults(ctx context.Context, client string) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(f.Delay):
		}
	}
	if f.Down {
		return errUnavailable
	}
	for _, addr := range f.RefusedAddrs {
		if addr == client {
			return errUnavailable
		}
	}
	return nil
}

// condition is what must hold for an append to take effect.
type condition struct {
	end      *uint64 // expected end offset; nil for any
	producer string  // empty for an append without fencing
	epoch    uint64
	seq      uint64
}

// append appends either all of the records or none.
func (l *Log) append(ctx context.Context, client, topic, name string, records [][]byte, c condition) (offset, end uint64, err error) {
	if err := l.injectFaults(ctx, client); err != nil {
		return 0, 0, err
	}
	if !l.limiter.Allow() {
		return 0, 0, errRateLimited
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(topic, name)
	if past, err := p.check(c); err != nil || past != nil {
		if past != nil {
			return past.offset, past.end, nil
		}
		return 0, 0, err
	}
	lost := l.rng.Float64() < l.faults.LostResponseShare
	if lost && l.faults.LostAppendDelay > 0 {
		time.AfterFunc(l.faults.LostAppendDelay, func() { l.applyLate(p, records, c) })
		return 0, 0, errResponseLost
	}
	offset = l.apply(p, records, c)
	if lost {
		return 0, 0, errResponseLost
	}
	return offset, p.end(), nil
}

// apply adds the records, remembers the append for its producer and returns the first offset; the log is locked.
func (l *Log) apply(p *partition, records [][]byte, c condition) uint64 {
	now := time.Now()
	offset := p.end()
	if len(records) > 0 {
		p.add(records, now)
		l.countAppend(now)
	}
	if pr := p.producers[c.producer]; pr != nil && len(records) > 0 {
		pr.nextSeq, pr.anySeq = c.seq+1, false
		pr.recent = append(pr.recent, pastAppend{seq: c.seq, offset: offset, end: p.end()})
		pr.recent = pr.recent[max(0, len(pr.recent)-rememberedAppends):]
	}
	return offset
}

// applyLate applies an append after its client has received an error, if the condition still holds.
func (l *Log) applyLate(p *partition, records [][]byte, c condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if past, err := p.check(c); past == nil && err == nil {
		l.apply(p, records, c)
	}
}

// check returns the former append that this one retries, or a *conflict if the condition does not hold.
func (p *partition) check(c condition) (*pastAppend, error) {
	if c.producer != "" {
		pr := p.producers[c.producer]
		if pr == nil || c.epoch > pr.epoch {
			pr = &producer{epoch: c.epoch, anySeq: true}
			p.producers[c.producer] = pr
		}
		if c.epoch < pr.epoch {
			return nil, &conflict{status: 409, reason: "fenced", current: pr.epoch}
		}
		for i := range pr.recent {
			if pr.recent[i].seq == c.seq {
				return &pr.recent[i], nil
			}
		}
		if !pr.anySeq && c.seq != pr.nextSeq {
			return nil, &conflict{status: 409, reason: "seq", current: pr.nextSeq}
		}
	}
	if c.end != nil && *c.end != p.end() {
		return nil, &conflict{status: 412, reason: "end", current: p.end()}
	}
	return nil, nil
}

func (l *Log) countAppend(now time.Time) {
	l.appends++
	if now.Unix() != l.currentSecond {
		l.currentSecond, l.appendsInSecond = now.Unix(), 0
	}
	l.appendsInSecond++
	l.peakRate = max(l.peakRate, l.appendsInSecond)
}

// page is the result of one read.
type page struct {
	first, end uint64
	records    []record
}

// read returns the records from an offset on, waiting for the first one at most wait.
// It reports false if the records at the offset have been deleted.
func (l *Log) read(ctx context.Context, client, topic, name string, from uint64, maxBytes int, wait time.Duration) (p page, ok bool, err error) {
	if err := l.injectFaults(ctx, client); err != nil {
		return page{}, false, err
	}
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		p, appended, ok := l.page(topic, name, from, maxBytes)
		if !ok || len(p.records) > 0 || wait <= 0 {
			return p, ok, nil
		}
		select {
		case <-ctx.Done():
			return p, true, ctx.Err()
		case <-timer.C:
			return p, true, nil
		case <-appended:
		}
		if err := l.injectFaults(ctx, client); err != nil {
			return page{}, false, err
		}
	}
}

// page returns the records from an offset on that fit into maxBytes, but at least one, and a channel that the next append closes.
func (l *Log) page(topic, name string, from uint64, maxBytes int) (page, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	p := l.partition(topic, name)
	out := page{first: p.first, end: p.end()}
	if from < p.first {
		return out, nil, false
	}
	for _, r := range p.records[min(len(p.records), int(from-p.first)):] {
		if maxBytes -= len(r.data); maxBytes < 0 && len(out.records) > 0 {
			break
		}
		out.records = append(out.records, r)
	}
	return out, p.appended, true
}
