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

// Bounds of the service.
const (
	maxWait     = 30 * time.Second
	maxRecord   = 256 << 10 // bytes
	maxCall     = 2 << 20   // bytes of the records of one append
	maxItems    = 500       // newest records in one page
	keyedPrefix = "keyed."
	keptAppends = 5 // appends of a producer that are answered again when repeated
)

// Faults are the faults that the stand-in shows.
type Faults struct {
	Down              bool          `json:"down"`
	RefusedAddrs      []string      `json:"refuse"`    // addresses of callers that are refused while others are served
	Delay             time.Duration `json:"slow"`      // delay of every call
	LostResponseShare float64       `json:"loseshare"` // share of appends whose answer is lost after the effect
	LostAppendDelay   time.Duration `json:"late"`      // delay of the effect of an append whose answer is lost
}

// part is one partition of a topic.
type part struct {
	keyed     bool
	first     uint64
	records   []record
	newest    map[string]record
	producers map[string]*producer
	grown     chan struct{}
}

type record struct {
	offset uint64
	at     time.Time
	data   []byte
}

// producer is what a partition knows of one fenced writer.
type producer struct {
	epoch uint64
	next  uint64 // sequence number that must follow
	open  bool   // any sequence number may follow, since the epoch is new
	last  []repeat
}

type repeat struct{ seq, offset, end uint64 }

// Log is the stand-in of the platform's store.
type Log struct {
	mu        sync.Mutex
	parts     map[string]*part
	faults    Faults
	retention time.Duration
	limiter   *rate.Limiter
	rnd       *rand.Rand
	appends   int
	reads     int
	peak      int // most appends within one second
	second    int64
	inSecond  int
}

// New returns an empty log that takes at most perSecond appends a second and keeps records for retention (0 for ever).
func New(perSecond int, retention time.Duration, seed uint64) *Log {
	return &Log{
		parts:     make(map[string]*part),
		retention: retention,
		limiter:   rate.NewLimiter(rate.Limit(perSecond), perSecond),
		rnd:       rand.New(rand.NewPCG(seed, 1)),
	}
}

// SetFaults changes the faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Counts are the calls that the log has taken.
type Counts struct {
	Appends        int `json:"appends"`
	Reads          int `json:"reads"`
	PeakAppendRate int `json:"peak"` // most appends within one second
}

// Counts returns the calls taken so far.
func (l *Log) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Counts{Appends: l.appends, Reads: l.reads, PeakAppendRate: l.peak}
}

// Put writes the newest record of a key as the operator does, regardless of faults.
func (l *Log) Put(topic, key string, value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(topic, "0")
	data := append([]byte{byte(len(key))}, key...)
	p.add([][]byte{append(data, value...)}, time.Now())
}

// TrimAll deletes the history of a topic; the newest record of each key stays.
func (l *Log) TrimAll(topic string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(topic, "0")
	p.first += uint64(len(p.records))
	p.records = nil
}

func (l *Log) part(topic, number string) *part {
	id := topic + "/" + number
	p := l.parts[id]
	if p == nil {
		p = &part{
			keyed: strings.HasPrefix(topic, keyedPrefix), newest: make(map[string]record),
			producers: make(map[string]*producer), grown: make(chan struct{}),
		}
		l.parts[id] = p
	}
	if l.retention > 0 {
		for len(p.records) > 0 && time.Since(p.records[0].at) > l.retention {
			p.records = p.records[1:]
			p.first++
		}
	}
	return p
}

func (p *part) end() uint64 { return p.first + uint64(len(p.records)) }

func (p *part) add(list [][]byte, now time.Time) {
	for _, data := range list {
		r := record{offset: p.end(), at: now, data: data}
		p.records = append(p.records, r)
		if p.keyed {
			p.renew(r)
		}
	}
	close(p.grown)
	p.grown = make(chan struct{})
}

// renew makes the record the newest of its key; without a value it drops the key.
func (p *part) renew(r record) {
	n := 1 + int(r.data[0])
	key := string(r.data[1:n])
	if len(r.data) == n {
		delete(p.newest, key)
		return
	}
	p.newest[key] = record{offset: r.offset, data: r.data[n:]}
}

// The refusals of the service.
var (
	errDown = errors.New("store is away")
	errBusy = errors.New("too many calls")
	errLost = errors.New("answer lost")
)

// conflict reports an append whose condition does not hold.
type conflict struct {
	status int
	why    string
	value  uint64
}

func (e *conflict) Error() string { return "append: " + e.why }

// enter shows the faults that hold for a caller.
func (l *Log) enter(ctx context.Context, from string) error {
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
		return errDown
	}
	for _, addr := range f.RefusedAddrs {
		if addr == from {
			return errDown
		}
	}
	return nil
}

// condition is what must hold for an append.
type condition struct {
	at       *uint64
	producer string
	epoch    uint64
	seq      uint64
}

// append adds the records all or none.
func (l *Log) append(ctx context.Context, from, topic, number string, list [][]byte, c condition) (offset, end uint64, err error) {
	if err := l.enter(ctx, from); err != nil {
		return 0, 0, err
	}
	if !l.limiter.Allow() {
		return 0, 0, errBusy
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.part(topic, number)
	if known, err := p.check(c); err != nil || known != nil {
		if known != nil {
			return known.offset, known.end, nil
		}
		return 0, 0, err
	}
	lost := l.rnd.Float64() < l.faults.LostResponseShare
	if lost && l.faults.LostAppendDelay > 0 {
		time.AfterFunc(l.faults.LostAppendDelay, func() { l.addLate(p, list, c) })
		return 0, 0, errLost
	}
	offset = l.add(p, list, c)
	if lost {
		return 0, 0, errLost
	}
	return offset, p.end(), nil
}

func (l *Log) add(p *part, list [][]byte, c condition) uint64 {
	now := time.Now()
	offset := p.end()
	if len(list) > 0 {
		p.add(list, now)
		l.count(now)
	}
	if pr := p.producers[c.producer]; pr != nil && len(list) > 0 {
		pr.next, pr.open = c.seq+1, false
		pr.last = append(pr.last, repeat{seq: c.seq, offset: offset, end: p.end()})
		pr.last = pr.last[max(0, len(pr.last)-keptAppends):]
	}
	return offset
}

// addLate carries out an append after its caller has given up, if its condition still holds.
func (l *Log) addLate(p *part, list [][]byte, c condition) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if known, err := p.check(c); known == nil && err == nil {
		l.add(p, list, c)
	}
}

// check returns the answer of an append that is repeated, or the conflict of one that must not be done.
func (p *part) check(c condition) (*repeat, error) {
	if c.producer != "" {
		pr := p.producers[c.producer]
		if pr == nil || c.epoch > pr.epoch {
			pr = &producer{epoch: c.epoch, open: true}
			p.producers[c.producer] = pr
		}
		if c.epoch < pr.epoch {
			return nil, &conflict{status: 409, why: "fenced", value: pr.epoch}
		}
		for i := range pr.last {
			if pr.last[i].seq == c.seq {
				return &pr.last[i], nil
			}
		}
		if !pr.open && c.seq != pr.next {
			return nil, &conflict{status: 409, why: "seq", value: pr.next}
		}
	}
	if c.at != nil && *c.at != p.end() {
		return nil, &conflict{status: 412, why: "end", value: p.end()}
	}
	return nil, nil
}

func (l *Log) count(now time.Time) {
	l.appends++
	if now.Unix() != l.second {
		l.second, l.inSecond = now.Unix(), 0
	}
	l.inSecond++
	l.peak = max(l.peak, l.inSecond)
}

// page is what one reading returns.
type page struct {
	first, end uint64
	records    []record
}

// read returns records at and after from, waiting for the first one; ok is false where records were deleted.
func (l *Log) read(ctx context.Context, caller, topic, number string, from uint64, bytes int, wait time.Duration) (p page, ok bool, err error) {
	if err := l.enter(ctx, caller); err != nil {
		return page{}, false, err
	}
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	for {
		p, grown, ok := l.page(topic, number, from, bytes)
		if !ok || len(p.records) > 0 || wait <= 0 {
			return p, ok, nil
		}
		select {
		case <-ctx.Done():
			return p, true, ctx.Err()
		case <-timer.C:
			return p, true, nil
		case <-grown:
		}
		if err := l.enter(ctx, caller); err != nil {
			return page{}, false, err
		}
	}
}

func (l *Log) page(topic, number string, from uint64, bytes int) (page, <-chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	p := l.part(topic, number)
	out := page{first: p.first, end: p.end()}
	if from < p.first {
		return out, nil, false
	}
	for _, r := range p.records[min(len(p.records), int(from-p.first)):] {
		if bytes -= len(r.data); bytes < 0 && len(out.records) > 0 {
			break
		}
		out.records = append(out.records, r)
	}
	return out, p.grown, true
}
