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

// The limits of the log service.
const (
	maxWait          = 30 * time.Second // maximum time for which a read waits for new records
	maxRecordBytes   = 256 << 10        // maximum size of one record
	maxAppendBytes   = 2 << 20          // maximum size of the body of one append
	maxPageKeys      = 500              // maximum number of keys in one page of newest records
	compactedPrefix  = "keyed."         // prefix of the names of topics that keep the newest record of each key
	maxRecentAppends = 5                // maximum number of latest appends of a producer that are deduplicated when retried
)

// Faults are the faults that the log injects.
type Faults struct {
	Down              bool          `json:"down"`      // all calls fail
	Silent            bool          `json:"silent"`    // calls, and the reads that are held, are never answered; also not after the fault has ended
	RefusedAddrs      []string      `json:"refuse"`    // IP addresses of clients whose calls fail
	Delay             time.Duration `json:"slow"`      // delay of every call
	LostResponseShare float64       `json:"loseshare"` // share of appends that take effect but whose response is lost
	LostAppendDelay   time.Duration `json:"late"`      // delay before an append whose response is lost takes effect
}

// partition is one partition of a topic.
type partition struct {
	compacted   bool   // whether newest is updated
	firstOffset uint64 // offset of the oldest record that is kept
	records     []record
	newest      map[string]record    // newest record of each key; data holds only the value
	producers   map[string]*producer // by producer id
	appended    chan struct{}        // closed by the next append
}

type record struct {
	offset     uint64
	appendedAt time.Time
	data       []byte
}

// producer is a partition's state of one producer that appends with fencing epochs.
type producer struct {
	epoch         uint64       // latest fencing epoch
	nextSeq       uint64       // sequence number that the next append must have
	acceptAnySeq  bool         // the next append may have any sequence number, since it is the first of the epoch
	recentAppends []pastAppend // latest appends, the oldest first
}

// pastAppend is an applied append of a producer, with its offset and the end offset after it.
type pastAppend struct{ seq, offset, end uint64 }

// Log is an in-memory fake of the platform's log service.
type Log struct {
	mu              sync.Mutex
	partitions      map[string]*partition // by TOPIC/PARTITION
	era             uint64                // number of restorations from a copy
	faults          Faults
	retention       time.Duration // time for which records are kept; 0 for ever
	limiter         *rate.Limiter // limits the rate of appends
	rng             *rand.Rand
	appends         int
	reads           int
	peakRate        int   // most appends within one second
	currentSecond   int64 // Unix time of the second that appendsInSecond counts
	appendsInSecond int   // appends in currentSecond
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

// Counts holds the numbers of calls that the log has served.
type Counts struct {
	Appends        int `json:"appends"`
	Reads          int `json:"reads"`
	PeakAppendRate int `json:"peak"` // most appends within one second
}

// Counts returns the numbers of calls served so far.
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
	p.firstOffset += uint64(len(p.records))
	p.records = nil
}

// partition returns a partition after deleting its expired records, and creates it if it does not exist.
func (l *Log) partition(topic, partitionName string) *partition {
	id := topic + "/" + partitionName
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
			p.firstOffset++
		}
	}
	return p
}

func (p *partition) end() uint64 { return p.firstOffset + uint64(len(p.records)) }

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

// The errors of calls, other than conflicts.
var (
	errUnavailable  = errors.New("log service is unavailable")
	errRateLimited  = errors.New("too many appends")
	errResponseLost = errors.New("response lost")
)

// conflict is the error of an append whose condition does not hold.
type conflict struct {
	status  int
	reason  string
	current uint64 // the actual epoch, next sequence number or end offset, depending on reason
}

func (e *conflict) Error() string { return "append: " + e.reason }

// injectFaults delays a call of a client or returns an error, according to the current faults.
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
	if f.Silent {
		<-ctx.Done()
		return ctx.Err()
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

// condition holds the preconditions of an append.
type condition struct {
	end      *uint64 // required end offset of the partition; nil for any
	producer string  // empty for an append without fencing
	epoch    uint64  // fencing epoch of the producer
	seq      uint64  // sequence number of the append
}

// append appends either all of the records or none.
func (l *Log) append(ctx context.Context, client, topic, partitionName string, records [][]byte, c condition) (appended, error) {
	if err := l.injectFaults(ctx, client); err != nil {
		return appended{}, err
	}
	if !l.limiter.Allow() {
		return appended{}, errRateLimited
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(topic, partitionName)
	if past, err := p.checkCondition(c); err != nil || past != nil {
		if past != nil {
			return appended{offset: past.offset, end: past.end, era: l.era}, nil
		}
		return appended{}, err
	}
	responseLost := l.rng.Float64() < l.faults.LostResponseShare
	if responseLost && l.faults.LostAppendDelay > 0 {
		time.AfterFunc(l.faults.LostAppendDelay, func() { l.applyLate(topic, partitionName, records, c) })
		return appended{}, errResponseLost
	}
	offset := l.apply(p, records, c)
	if responseLost {
		return appended{}, errResponseLost
	}
	return appended{offset: offset, end: p.end(), era: l.era}, nil
}

// appended is the result of one append.
type appended struct{ offset, end, era uint64 }

// apply adds the records, records the append for deduplication and returns the first offset. The caller must hold the lock of the log.
func (l *Log) apply(p *partition, records [][]byte, c condition) uint64 {
	now := time.Now()
	offset := p.end()
	if len(records) > 0 {
		p.add(records, now)
		l.countAppend(now)
	}
	if pr := p.producers[c.producer]; pr != nil && len(records) > 0 {
		pr.nextSeq, pr.acceptAnySeq = c.seq+1, false
		pr.recentAppends = append(pr.recentAppends, pastAppend{seq: c.seq, offset: offset, end: p.end()})
		pr.recentAppends = pr.recentAppends[max(0, len(pr.recentAppends)-maxRecentAppends):]
	}
	return offset
}

// applyLate applies an append after its client has received an error, if the condition still holds. It may have been sent in an earlier era.
func (l *Log) applyLate(topic, partitionName string, records [][]byte, c condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.partition(topic, partitionName)
	if past, err := p.checkCondition(c); past == nil && err == nil {
		l.apply(p, records, c)
	}
}

// checkCondition returns the earlier append that this one retries, a *conflict if the condition does not hold, or nil, nil if
// the append may take effect. It creates the state of a new producer or epoch, which fences older epochs.
func (p *partition) checkCondition(c condition) (*pastAppend, error) {
	if c.producer != "" {
		pr := p.producers[c.producer]
		if pr == nil || c.epoch > pr.epoch {
			pr = &producer{epoch: c.epoch, acceptAnySeq: true}
			p.producers[c.producer] = pr
		}
		if c.epoch < pr.epoch {
			return nil, &conflict{status: 409, reason: "fenced", current: pr.epoch}
		}
		for i := range pr.recentAppends {
			if pr.recentAppends[i].seq == c.seq {
				return &pr.recentAppends[i], nil
			}
		}
		if !pr.acceptAnySeq && c.seq != pr.nextSeq {
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
	firstOffset, end uint64
	era              uint64
	records          []record
}

// read returns the records from an offset on. If there are none, it waits for a new record, but no longer than wait.
// It reports false if the partition does not have the offset.
func (l *Log) read(ctx context.Context, client, topic, partitionName string, from uint64, maxBytes int, wait time.Duration) (p page, ok bool, err error) {
	if err := l.injectFaults(ctx, client); err != nil {
		return page{}, false, err
	}
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		p, appended, ok := l.page(topic, partitionName, from, maxBytes)
		if !ok || len(p.records) > 0 || wait <= 0 {
			return p, ok, nil
		}
		select {
		case <-ctx.Done():
			return p, true, ctx.Err()
		case <-timer.C:
			return p, true, l.injectFaults(ctx, client)
		case <-appended:
		}
		if err := l.injectFaults(ctx, client); err != nil {
			return page{}, false, err
		}
	}
}

// page returns the records from an offset on, limited to maxBytes but including at least the first, and a channel that the next
// append closes. It reports false if the partition does not have the offset: its record has been deleted, or it is beyond the end.
func (l *Log) page(topic, partitionName string, from uint64, maxBytes int) (page, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	p := l.partition(topic, partitionName)
	result := page{firstOffset: p.firstOffset, end: p.end(), era: l.era}
	if from < p.firstOffset || from > p.end() {
		return result, nil, false
	}
	for _, r := range p.records[min(len(p.records), int(from-p.firstOffset)):] {
		if maxBytes -= len(r.data); maxBytes < 0 && len(result.records) > 0 {
			break
		}
		result.records = append(result.records, r)
	}
	return result, p.appended, true
}
