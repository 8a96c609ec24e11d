package upstream

import (
	"net/http"
	"sync"
	"time"

	"github.com/jasminevane/jasminevane/stream"
)

// Bounds of the memory that holds responses while they are sent.
const (
	StreamWindowBytes = 128 << 10                          // received body of one streamed response or request that nobody has read yet
	streamBytes       = StreamWindowBytes + copyBufferSize // what a streamed response holds at most
	maxHeldBytes      = 32 << 20                           // responses of the node; beyond it, those that nobody reads are ended
	maxHeldBytesHard  = 48 << 20                           // beyond it, the response that nobody has read for longest is ended at once
	minStall          = 500 * time.Millisecond             // time without progress after which a response may be ended
)

// Streams bounds what the responses of a node hold in memory while they are sent to slow readers.
type Streams struct {
	mu      sync.Mutex
	budget  *stream.Budget
	end     map[stream.ID]func() // end the responses
	timer   *time.Timer          // ends further responses; nil if none may have to be ended
	onEnded func()
}

// NewStreams returns bounds for the responses of one node. It calls onEnded, which may be nil, for each response that is ended.
func NewStreams(onEnded func()) *Streams {
	limits := stream.Limits{Total: maxHeldBytes, Hard: maxHeldBytesHard, MinStall: minStall}
	return &Streams{budget: stream.NewBudget(limits), end: make(map[stream.ID]func()), onEnded: onEnded}
}

// Held returns the bytes that responses hold at most.
func (s *Streams) Held() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Held()
}

// sending is a response that is being sent. All methods of a nil *sending do nothing.
type sending struct {
	streams *Streams
	id      stream.ID
}

// open adds a response that holds the given bytes and is written to w.
func (s *Streams) open(w http.ResponseWriter, bytes int64) *sending {
	if s == nil || bytes <= 0 {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := s.budget.Open(bytes)
	s.end[id] = func() {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Unix(1, 0)) // fails if the connection is closed, and then writing fails, too
	}
	s.endExcess()
	return &sending{streams: s, id: id}
}

// endExcess ends the responses that must be, and looks again when another one may have to be.
func (s *Streams) endExcess() {
	ended, next := s.budget.End(time.Now())
	for _, id := range ended {
		s.end[id]()
		delete(s.end, id)
		if s.onEnded != nil {
			s.onEnded()
		}
	}
	if next.IsZero() || s.timer != nil {
		return
	}
	s.timer = time.AfterFunc(time.Until(next), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timer = nil
		s.endExcess()
	})
}

// stall records that the response waits for its reader from now on.
func (x *sending) stall() {
	if x == nil {
		return
	}
	x.streams.mu.Lock()
	defer x.streams.mu.Unlock()
	x.streams.budget.Stall(time.Now(), x.id)
}

// progress records that the reader has taken what was sent.
func (x *sending) progress() {
	if x == nil {
		return
	}
	x.streams.mu.Lock()
	defer x.streams.mu.Unlock()
	x.streams.budget.Progress(x.id)
}

// close removes the response. It is not ended any more afterwards.
func (x *sending) close() {
	if x == nil {
		return
	}
	x.streams.mu.Lock()
	defer x.streams.mu.Unlock()
	x.streams.budget.Close(x.id)
	delete(x.streams.end, x.id)
}
