package stream

import "time"

// Limits bound what the streams of a node hold in memory. A limit of 0 is none.
type Limits struct {
	Total    int64         // bytes of all streams; beyond it, those that are stalled for MinStall are ended
	Hard     int64         // bytes of all streams; beyond it, the one that is stalled for longest is ended, however short that is
	MinStall time.Duration // time for which a reader must have taken nothing before its stream is ended
}

// ID identifies an open stream.
type ID uint64

// entry is an open stream.
type entry struct {
	bytes        int64
	stalledSince time.Time // zero while the stream doesn't wait for its reader
}

// Budget keeps account of the open streams and decides which ones are ended.
type Budget struct {
	limits  Limits
	streams map[ID]*entry
	held    int64
	lastID  ID
}

// NewBudget returns a budget without streams.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, streams: make(map[ID]*entry)}
}

// Held returns the bytes that the open streams hold.
func (b *Budget) Held() int64 { return b.held }

// Open adds a stream that holds the given bytes.
func (b *Budget) Open(bytes int64) ID {
	b.lastID++
	b.streams[b.lastID] = &entry{bytes: bytes}
	b.held += bytes
	return b.lastID
}

// Close removes a stream; one that is not open is ignored.
func (b *Budget) Close(id ID) {
	s := b.streams[id]
	if s == nil {
		return
	}
	delete(b.streams, id)
	b.held -= s.bytes
}

// Stall records that a stream waits for its reader from now on.
func (b *Budget) Stall(now time.Time, id ID) {
	if s := b.streams[id]; s != nil {
		s.stalledSince = now
	}
}

// Progress records that the reader of a stream has taken what was sent.
func (b *Budget) Progress(id ID) {
	if s := b.streams[id]; s != nil {
		s.stalledSince = time.Time{}
	}
}

// End removes the streams that must be ended and returns them. If a limit is still exceeded, next is the time at which another stream may have to
// be ended, unless a reader makes progress before; otherwise it is zero.
func (b *Budget) End(now time.Time) (ended []ID, next time.Time) {
	for {
		minStall, exceeded := b.excess()
		if !exceeded {
			return ended, time.Time{}
		}
		id := b.longestStalled()
		if id == 0 {
			return ended, now.Add(b.limits.MinStall)
		}
		if due := b.streams[id].stalledSince.Add(minStall); due.After(now) {
			return ended, due
		}
		b.Close(id)
		ended = append(ended, id)
	}
}

// excess reports whether the streams hold too much, and for how long one must be stalled to be ended.
func (b *Budget) excess() (minStall time.Duration, exceeded bool) {
	l := b.limits
	if l.Hard > 0 && b.held > l.Hard {
		return 0, true
	}
	return l.MinStall, l.Total > 0 && b.held > l.Total
}

// longestStalled returns the stream that waits for its reader for longest, or 0. Of two that wait for equally long, it is the older one.
func (b *Budget) longestStalled() ID {
	var longest ID
	for id, s := range b.streams {
		if s.stalledSince.IsZero() {
			continue
		}
		if longest == 0 || s.stalledSince.Before(b.streams[longest].stalledSince) || s.stalledSince.Equal(b.streams[longest].stalledSince) && id < longest {
			longest = id
		}
	}
	return longest
}
