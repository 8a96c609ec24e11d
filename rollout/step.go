package rollout

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/keyring"
)

// Step is one version in the chain: a delta to the preceding version and the data centres to which it is released.
type Step struct {
	ID         string              `json:"id"`
	Version    uint64              `json:"version"`
	Author     string              `json:"author"`
	Delta      bundle.Delta        `json:"delta"`
	Release    []string            `json:"release,omitempty"` // data centres to which the step is released; empty for all
	Signatures []keyring.Signature `json:"signatures,omitempty"`
}

// Message returns the bytes to sign: a hash of the step's fields except Signatures, with the digests that stand for the delta.
func (s *Step) Message() []byte {
	text := fmt.Sprintf("jasminevane step\n%s\n%d\n%s\n%x\n%x\n%s\n",
		s.ID, s.Version, s.Author, s.Delta.Base, s.Delta.Result, strings.Join(s.Release, ","))
	sum := sha256.Sum256([]byte(text))
	return sum[:]
}

// withoutEntries returns a copy of the step without the entries of its delta. Its signatures stay valid, since they cover
// only the digests of the delta.
func (s *Step) withoutEntries() Step {
	stripped := *s
	stripped.Delta = bundle.Delta{Base: s.Delta.Base, Result: s.Delta.Result}
	return stripped
}

// staged reports whether the step is released to only some of the data centres.
func (s *Step) staged() bool { return len(s.Release) > 0 }

// releasedIn reports whether the step is released to the data centre dc.
func (s *Step) releasedIn(dc string) bool { return !s.staged() || slices.Contains(s.Release, dc) }

// releaseOnly reports whether the step leaves the bundle unchanged and only changes the data centres to which it is released.
func (s *Step) releaseOnly() bool { return s.Delta.Base == s.Delta.Result }

// RecordKind is the type of a log record.
type RecordKind string

// The types of log records.
const (
	Propose  RecordKind = "propose"  // adds an open proposal
	Approve  RecordKind = "approve"  // adds a signature to an open proposal
	Roll     RecordKind = "roll"     // rolls out an open proposal if it has the required signatures
	Snapshot RecordKind = "snapshot" // holds the whole state of an engine
	Part     RecordKind = "part"     // holds a part of a record that is too large for one entry
)

// Record is a record that operators and nodes append to the log stream.
type Record struct {
	Kind      RecordKind         `json:"kind"`
	ID        string             `json:"id"`
	Step      *Step              `json:"step,omitempty"`
	Signature *keyring.Signature `json:"signature,omitempty"`
	State     *State             `json:"state,omitempty"`
	Fragment  *Fragment          `json:"part,omitempty"`
}

// State is the state of an engine, as stored in snapshots and sent to nodes that are starting.
type State struct {
	Head            Step           `json:"head"`
	Entries         []bundle.Entry `json:"entries"`
	DeltaToPrevious *bundle.Delta  `json:"back,omitempty"` // delta from the newest bundle to the one in force where the newest is not released yet
	Offset          uint64         `json:"offset"`         // offset of the first log entry that must be applied to the state
	OpenProposals   []Step         `json:"open,omitempty"`

	Published bool `json:"published,omitempty"` // Head was published by an authority outside the fleet and has no signatures
}

// Stream is the name of the log stream of records.
const Stream = "bundle"
