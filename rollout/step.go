package rollout

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"strings"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/keyring"
)

// Step is one version in the chain: a delta to the preceding version, in force in the data centres of Release.
type Step struct {
	ID         string              `json:"id"`
	Version    uint64              `json:"version"`
	Author     string              `json:"author"`
	Delta      bundle.Delta        `json:"delta"`
	Release    []string            `json:"release,omitempty"` // data centres where the step is in force; empty for all
	Signatures []keyring.Signature `json:"signatures,omitempty"`
}

// Message returns the bytes to sign: a hash of all of the step but the signatures.
func (s *Step) Message() []byte {
	text := fmt.Sprintf("jasminevane step\n%s\n%d\n%s\n%x\n%x\n%s\n",
		s.ID, s.Version, s.Author, s.Delta.Base, s.Delta.Result, strings.Join(s.Release, ","))
	sum := sha256.Sum256([]byte(text))
	return sum[:]
}

// withoutEntries returns the step without the entries of its delta; the signatures stay valid.
func (s *Step) withoutEntries() Step {
	out := *s
	out.Delta = bundle.Delta{Base: s.Delta.Base, Result: s.Delta.Result}
	return out
}

// staged reports whether the step is in force in some data centres only.
func (s *Step) staged() bool { return len(s.Release) > 0 }

// releasedIn reports whether the step is in force in the data centre.
func (s *Step) releasedIn(dc string) bool { return !s.staged() || slices.Contains(s.Release, dc) }

// releaseOnly reports whether the step changes only the release of the preceding version.
func (s *Step) releaseOnly() bool { return s.Delta.Base == s.Delta.Result }

// RecordKind is the type of a log record.
type RecordKind string

// The types of log records.
const (
	Propose  RecordKind = "propose"  // adds an open proposal
	Approve  RecordKind = "approve"  // adds a signature to an open proposal
	Roll     RecordKind = "roll"     // puts an open proposal in force if it has the signatures that it needs
	Snapshot RecordKind = "snapshot" // holds the whole state of an engine
)

// Record is a record that operators and nodes append to the log stream.
type Record struct {
	Kind      RecordKind         `json:"kind"`
	ID        string             `json:"id"`
	Step      *Step              `json:"step,omitempty"`
	Signature *keyring.Signature `json:"signature,omitempty"`
	State     *State             `json:"state,omitempty"`
}

// State is the whole state of an engine, as stored in snapshots and sent to nodes that start.
type State struct {
	Head     Step           `json:"head"`
	Entries  []bundle.Entry `json:"entries"`
	Previous *bundle.Delta  `json:"back,omitempty"` // from the head to the bundle in force where it is not released
	Offset   uint64         `json:"offset"`         // the state includes the log entries before this offset
	Open     []Step         `json:"open,omitempty"`

	Published bool `json:"published,omitempty"` // the version comes from an authority outside the fleet and has no signatures
}

// Stream is the name of the log stream that holds the records.
const Stream = "bundle"
