package rollout

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/keyring"
	"github.com/jasminevane/jasminevane/platform"
)

// Bounds of the state.
const (
	maxOpen    = 256 // proposals that wait for signatures or a roll
	maxHistory = 128 // steps kept for nodes that are behind
)

// Result tells what became of a proposal.
type Result string

// The results.
const (
	Waiting  Result = "waiting"
	Accepted Result = "accepted"
	Conflict Result = "conflict"
	Unsigned Result = "unsigned"
	Invalid  Result = "invalid"
)

// Event tells that a proposal changed its result.
type Event struct {
	ID      string
	Version uint64
	Result  Result
	Text    string
}

// Fate is what became of a proposal.
type Fate struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	Result  Result `json:"result"`
	Text    string `json:"text,omitempty"`
}

// Engine holds the chain of versions as one node knows it.
type Engine struct {
	dc      string
	trust   *keyring.Ring
	head    *bundle.Bundle
	last    Step           // the newest step; its version is the chain's
	before  *bundle.Bundle // in force where the newest delta is not released; nil when it is everywhere
	history []Step
	open    map[string]*Step
	order   []string // open proposals, oldest first
	fates   []Fate
	next    platform.Offset

	authority bool // versions published outside the fleet are taken from other nodes
	published bool // the newest version was published outside the fleet
}

// New returns an engine of a node in the data centre that trusts the given keys.
func New(dc string, trust *keyring.Ring) *Engine {
	return &Engine{dc: dc, trust: trust, head: bundle.Empty(), open: make(map[string]*Step)}
}

// Version returns the newest accepted version, or 0.
func (e *Engine) Version() uint64 { return e.last.Version }

// Head returns the newest accepted bundle with its step.
func (e *Engine) Head() (*bundle.Bundle, Step) { return e.head, e.last }

// InForce returns the bundle in force in the node's data centre.
func (e *Engine) InForce() *bundle.Bundle {
	if e.before != nil && !e.last.covers(e.dc) {
		return e.before
	}
	return e.head
}

// Next returns the offset of the first log record not yet taken.
func (e *Engine) Next() platform.Offset { return e.next }

// Open returns the proposals that wait, oldest first.
func (e *Engine) Open() []Step {
	out := make([]Step, 0, len(e.order))
	for _, id := range e.order {
		out = append(out, *e.open[id])
	}
	return out
}

// Fates returns what became of recent proposals, oldest first.
func (e *Engine) Fates() []Fate { return slices.Clone(e.fates) }

// Apply takes one entry of the log; entries before Next are ignored.
func (e *Engine) Apply(entry platform.Entry) []Event {
	if entry.Offset < e.next {
		return nil
	}
	e.next = entry.Offset + 1
	rec, err := platform.Decode[Record](entry.Record)
	if err != nil {
		return []Event{{ID: entry.ID, Result: Invalid, Text: err.Error()}}
	}
	switch rec.Kind {
	case Propose:
		return e.propose(rec)
	case Approve:
		return e.approve(rec)
	case Roll:
		return e.roll(rec)
	case Snapshot:
		return e.adoptRecord(rec)
	}
	return []Event{{ID: rec.ID, Result: Invalid, Text: fmt.Sprintf("unknown record kind %q", rec.Kind)}}
}

func (e *Engine) propose(rec Record) []Event {
	if rec.Step == nil || rec.Step.ID != rec.ID {
		return []Event{{ID: rec.ID, Result: Invalid, Text: "proposal without a step of its id"}}
	}
	if e.known(rec.ID) {
		return nil // an append repeated after its answer was lost
	}
	if len(e.order) >= maxOpen {
		e.close(e.order[0])
	}
	s := *rec.Step
	e.open[rec.ID] = &s
	e.order = append(e.order, rec.ID)
	return []Event{{ID: s.ID, Version: s.Version, Result: Waiting}}
}

func (e *Engine) known(id string) bool {
	if e.open[id] != nil {
		return true
	}
	return slices.ContainsFunc(e.fates, func(f Fate) bool { return f.ID == id })
}

func (e *Engine) close(id string) {
	delete(e.open, id)
	e.order = slices.DeleteFunc(e.order, func(o string) bool { return o == id })
}

func (e *Engine) approve(rec Record) []Event {
	s := e.open[rec.ID]
	if s == nil || rec.Signature == nil || !e.trust.Verify(s.Message(), *rec.Signature) {
		return nil
	}
	for _, old := range s.Signatures {
		if old.Signer == rec.Signature.Signer {
			return nil
		}
	}
	s.Signatures = append(s.Signatures, *rec.Signature)
	return []Event{{ID: s.ID, Version: s.Version, Result: Waiting, Text: "approved by " + rec.Signature.Signer}}
}

func (e *Engine) roll(rec Record) []Event {
	s := e.open[rec.ID]
	if s == nil {
		return nil
	}
	if accepted, ok := e.accepted(s.Version); ok && accepted.ID == s.ID {
		e.close(s.ID) // learned from another node before
		return e.fate(*s, Accepted, "")
	}
	if s.Version != e.last.Version+1 {
		e.close(s.ID)
		return e.fate(*s, Conflict, fmt.Sprintf("version %d was won by %s", s.Version, e.winner(s.Version)))
	}
	next, err := e.check(*s)
	if err != nil {
		return []Event{{ID: s.ID, Version: s.Version, Result: Unsigned, Text: err.Error()}}
	}
	e.close(s.ID)
	e.accept(*s, next)
	return e.fate(*s, Accepted, "")
}

func (e *Engine) accepted(version uint64) (Step, bool) {
	i := slices.IndexFunc(e.history, func(s Step) bool { return s.Version == version })
	if i < 0 {
		return Step{}, false
	}
	return e.history[i], true
}

func (e *Engine) winner(version uint64) string {
	if s, ok := e.accepted(version); ok {
		return s.ID + " of " + s.Author
	}
	return "an earlier change"
}

func (e *Engine) fate(s Step, r Result, text string) []Event {
	f := Fate{ID: s.ID, Version: s.Version, Author: s.Author, Result: r, Text: text}
	e.fates = append(e.fates, f)
	if len(e.fates) > maxHistory {
		e.fates = slices.Clone(e.fates[1:])
	}
	return []Event{{ID: s.ID, Version: s.Version, Result: r, Text: text}}
}

// check verifies that the step builds on the head and carries the signatures it needs.
func (e *Engine) check(s Step) (*bundle.Bundle, error) {
	next, err := e.head.Apply(s.Delta)
	if err != nil {
		return nil, err
	}
	if e.before != nil && s.staged() && !s.empty() {
		return nil, &StageError{version: e.last.Version}
	}
	policy := e.head.Policy()
	if e.last.Version == 0 {
		policy = next.Policy()
	}
	need := policy.Signoffs()
	if got := e.trust.CountSigners(s.Message(), s.Signatures); got < need {
		return nil, &SignoffError{id: s.ID, got: got, need: need}
	}
	if team := e.missingTeam(s, next); team != "" {
		return nil, &SignoffError{id: s.ID, team: team, need: need, got: need}
	}
	return next, nil
}

// missingTeam returns a team that owns a changed service and has not signed, or "".
func (e *Engine) missingTeam(s Step, next *bundle.Bundle) string {
	services, _ := s.Delta.Services()
	for _, name := range services {
		owner := e.head.Service(name)
		teams := e.head
		if owner == nil {
			owner, teams = next.Service(name), next
		}
		if owner == nil || owner.Team() == "" {
			continue
		}
		signers := teams.Signers(owner.Team())
		signed := slices.ContainsFunc(s.Signatures, func(sig keyring.Signature) bool {
			return slices.Contains(signers, sig.Signer) && e.trust.Verify(s.Message(), sig)
		})
		if len(signers) > 0 && !signed {
			return owner.Team()
		}
	}
	return ""
}

func (e *Engine) accept(s Step, next *bundle.Bundle) {
	switch {
	case !s.staged():
		e.before = nil
	case !s.empty():
		e.before = e.head
	}
	e.head, e.last = next, s.light()
	e.history = append(e.history, e.last)
	if len(e.history) > maxHistory {
		e.history = slices.Clone(e.history[1:])
	}
}

// State returns the whole state for a snapshot or for a node that starts.
func (e *Engine) State() State {
	st := State{Published: e.published, Head: e.last, Entries: e.head.Entries(), Offset: uint64(e.next), Open: e.Open()}
	if e.before != nil {
		back := e.head.Diff(e.before)
		st.Back = &back
	}
	return st
}

// Publish takes a version from an authority outside the fleet, which needs no signatures and whose versions only rise; it reports whether the version was newer.
func (e *Engine) Publish(version uint64, b *bundle.Bundle) bool {
	if version <= e.last.Version {
		return false
	}
	e.head, e.before = b, nil
	e.last = Step{Version: version, Delta: bundle.Delta{Result: b.Digest()}}
	e.published = true
	return true
}

// FollowAuthority makes the engine take published versions from other nodes, too.
func (e *Engine) FollowAuthority() { e.authority = true }

// adoptPublished takes a version of the authority that another node passes on.
func (e *Engine) adoptPublished(st State) (bool, error) {
	if !e.authority {
		return false, &SignoffError{id: "published", need: 1}
	}
	b, err := bundle.FromEntries(st.Entries)
	if err != nil {
		return false, err
	}
	if b.Digest() != st.Head.Delta.Result {
		return false, &DigestError{version: st.Head.Version}
	}
	return e.Publish(st.Head.Version, b), nil
}

// Adopt takes the whole state of another node where it is newer; the state must carry the signatures of its newest step.
func (e *Engine) Adopt(st State) (bool, error) {
	if st.Head.Version <= e.last.Version {
		return false, nil
	}
	if st.Published {
		return e.adoptPublished(st)
	}
	head, err := bundle.FromEntries(st.Entries)
	if err != nil {
		return false, err
	}
	if head.Digest() != st.Head.Delta.Result {
		return false, &DigestError{version: st.Head.Version}
	}
	need := head.Policy().Signoffs()
	if got := e.trust.CountSigners(st.Head.Message(), st.Head.Signatures); got < need {
		return false, &SignoffError{id: st.Head.ID, got: got, need: need}
	}
	var before *bundle.Bundle
	if st.Back != nil {
		if before, err = head.Apply(*st.Back); err != nil {
			return false, err
		}
	}
	e.head, e.last, e.before = head, st.Head, before
	e.history = []Step{st.Head}
	e.next = platform.Offset(st.Offset)
	e.reopen(st.Open)
	return true, nil
}

// reopen replaces the proposals that wait; the records after the state's offset are folded again.
func (e *Engine) reopen(list []Step) {
	e.open, e.order, e.fates = make(map[string]*Step), nil, nil
	for _, s := range list {
		e.open[s.ID] = &s
		e.order = append(e.order, s.ID)
	}
}

// adoptRecord takes a snapshot from the log; where it is newer, Next goes back to the first record that is not part of it.
func (e *Engine) adoptRecord(rec Record) []Event {
	if rec.State == nil {
		return nil
	}
	ok, err := e.Adopt(*rec.State)
	switch {
	case err != nil:
		return []Event{{ID: rec.ID, Result: Invalid, Text: err.Error()}}
	case !ok:
		return nil
	}
	return []Event{{ID: rec.State.Head.ID, Version: rec.State.Head.Version, Result: Accepted, Text: "snapshot"}}
}

// SignoffError reports a step without the signatures it needs.
type SignoffError struct {
	id        string
	team      string
	got, need int
}

// Team returns the team whose signature is missing, or "".
func (e *SignoffError) Team() string { return e.team }

// Error implements error.
func (e *SignoffError) Error() string {
	if e.team != "" {
		return fmt.Sprintf("change %s needs a signature of team %s", e.id, e.team)
	}
	return fmt.Sprintf("change %s has %d of %d signatures", e.id, e.got, e.need)
}

// StageError reports a staged step that came before the release of an earlier one was complete.
type StageError struct{ version uint64 }

// Error implements error.
func (e *StageError) Error() string {
	return fmt.Sprintf("the release of version %d is not complete", e.version)
}

// DigestError reports a state whose entries do not match its newest step.
type DigestError struct{ version uint64 }

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("state of version %d does not match its digest", e.version)
}

// Differs returns the keys of the entries in which a step differs from the version that won, for the operator who lost.
func Differs(won, lost Step) []string {
	keys := make(map[string]string)
	for _, p := range lost.Delta.Put {
		keys[p.Key] = string(p.Value)
	}
	for _, p := range won.Delta.Put {
		if keys[p.Key] == string(p.Value) {
			delete(keys, p.Key)
		} else {
			keys[p.Key] = ""
		}
	}
	return slices.SortedFunc(maps.Keys(keys), strings.Compare)
}
