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

// Limits of the engine's state.
const (
	maxOpen    = 256 // open proposals, which wait for signatures or for the operator to roll them out
	maxHistory = 128 // recent steps and proposal results that are kept
)

// Result is the state of a proposal.
type Result string

// The results.
const (
	Waiting  Result = "waiting"
	Accepted Result = "accepted"
	Conflict Result = "conflict"
	Unsigned Result = "unsigned"
	Invalid  Result = "invalid"
)

// Event reports a change to a proposal's result.
type Event struct {
	ID      string
	Version uint64
	Result  Result
	Text    string
}

// ProposalResult is the result of one proposal.
type ProposalResult struct {
	ID      string `json:"id"`
	Version uint64 `json:"version"`
	Author  string `json:"author"`
	Result  Result `json:"result"`
	Text    string `json:"text,omitempty"`
}

// Engine holds the chain of versions as one node knows it.
type Engine struct {
	dc         string
	trust      *keyring.Ring
	head       *bundle.Bundle
	lastStep   Step           // the newest accepted step
	previous   *bundle.Bundle // the bundle in force where the newest delta is not released yet; nil if it is released everywhere
	history    []Step
	open       map[string]*Step
	openOrder  []string // open proposals, oldest first
	results    []ProposalResult
	nextOffset platform.Offset

	followsAuthority bool // accept versions from an authority outside the fleet that other nodes pass on
	published        bool // the newest version comes from an authority outside the fleet
}

// New returns an engine for a node in data centre dc that trusts the given keys.
func New(dc string, trust *keyring.Ring) *Engine {
	return &Engine{dc: dc, trust: trust, head: bundle.Empty(), open: make(map[string]*Step)}
}

// Version returns the newest accepted version, or 0.
func (e *Engine) Version() uint64 { return e.lastStep.Version }

// Head returns the newest accepted bundle with its step.
func (e *Engine) Head() (*bundle.Bundle, Step) { return e.head, e.lastStep }

// InForce returns the bundle in force in the node's data centre.
func (e *Engine) InForce() *bundle.Bundle {
	if e.previous != nil && !e.lastStep.releasedIn(e.dc) {
		return e.previous
	}
	return e.head
}

// Next returns the offset of the first log entry not yet applied.
func (e *Engine) Next() platform.Offset { return e.nextOffset }

// Open returns the open proposals, oldest first.
func (e *Engine) Open() []Step {
	out := make([]Step, 0, len(e.openOrder))
	for _, id := range e.openOrder {
		out = append(out, *e.open[id])
	}
	return out
}

// ProposalResults returns the results of recent proposals, oldest first.
func (e *Engine) ProposalResults() []ProposalResult { return slices.Clone(e.results) }

// Apply applies one entry of the log; entries before Next are ignored.
func (e *Engine) Apply(entry platform.Entry) []Event {
	if entry.Offset < e.nextOffset {
		return nil
	}
	e.nextOffset = entry.Offset + 1
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
		return e.adoptSnapshot(rec)
	}
	return []Event{{ID: rec.ID, Result: Invalid, Text: fmt.Sprintf("unknown record kind %q", rec.Kind)}}
}

func (e *Engine) propose(rec Record) []Event {
	if rec.Step == nil || rec.Step.ID != rec.ID {
		return []Event{{ID: rec.ID, Result: Invalid, Text: "proposal without a step of its id"}}
	}
	if e.known(rec.ID) {
		return nil // the append was repeated after its response was lost
	}
	if len(e.openOrder) >= maxOpen {
		e.closeProposal(e.openOrder[0])
	}
	s := *rec.Step
	e.open[rec.ID] = &s
	e.openOrder = append(e.openOrder, rec.ID)
	return []Event{{ID: s.ID, Version: s.Version, Result: Waiting}}
}

func (e *Engine) known(id string) bool {
	if e.open[id] != nil {
		return true
	}
	return slices.ContainsFunc(e.results, func(result ProposalResult) bool { return result.ID == id })
}

func (e *Engine) closeProposal(id string) {
	delete(e.open, id)
	e.openOrder = slices.DeleteFunc(e.openOrder, func(o string) bool { return o == id })
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
		e.closeProposal(s.ID) // already learned from another node
		return e.recordResult(*s, Accepted, "")
	}
	if s.Version != e.lastStep.Version+1 {
		e.closeProposal(s.ID)
		return e.recordResult(*s, Conflict, fmt.Sprintf("version %d was won by %s", s.Version, e.describeAccepted(s.Version)))
	}
	next, err := e.verify(*s)
	if err != nil {
		return []Event{{ID: s.ID, Version: s.Version, Result: Unsigned, Text: err.Error()}}
	}
	e.closeProposal(s.ID)
	e.accept(*s, next)
	return e.recordResult(*s, Accepted, "")
}

func (e *Engine) accepted(version uint64) (Step, bool) {
	i := slices.IndexFunc(e.history, func(s Step) bool { return s.Version == version })
	if i < 0 {
		return Step{}, false
	}
	return e.history[i], true
}

func (e *Engine) describeAccepted(version uint64) string {
	if s, ok := e.accepted(version); ok {
		return s.ID + " of " + s.Author
	}
	return "an earlier change"
}

func (e *Engine) recordResult(s Step, r Result, text string) []Event {
	result := ProposalResult{ID: s.ID, Version: s.Version, Author: s.Author, Result: r, Text: text}
	e.results = append(e.results, result)
	if len(e.results) > maxHistory {
		e.results = slices.Clone(e.results[1:])
	}
	return []Event{{ID: s.ID, Version: s.Version, Result: r, Text: text}}
}

// verify checks that the step builds on the head and carries the signatures that it needs, and returns the resulting bundle.
func (e *Engine) verify(s Step) (*bundle.Bundle, error) {
	next, err := e.head.Apply(s.Delta)
	if err != nil {
		return nil, err
	}
	if e.previous != nil && s.staged() && !s.releaseOnly() {
		return nil, &StageError{version: e.lastStep.Version}
	}
	policy := e.head.Policy()
	if e.lastStep.Version == 0 {
		policy = next.Policy()
	}
	need := policy.RequiredSignoffs()
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
		e.previous = nil
	case !s.releaseOnly():
		e.previous = e.head
	}
	e.head, e.lastStep = next, s.withoutEntries()
	e.history = append(e.history, e.lastStep)
	if len(e.history) > maxHistory {
		e.history = slices.Clone(e.history[1:])
	}
}

// State returns the whole state, for a snapshot or for a node that starts.
func (e *Engine) State() State {
	st := State{Published: e.published, Head: e.lastStep, Entries: e.head.Entries(), Offset: uint64(e.nextOffset), Open: e.Open()}
	if e.previous != nil {
		toPrevious := e.head.Diff(e.previous)
		st.Previous = &toPrevious
	}
	return st
}

// Publish accepts a version from an authority outside the fleet, which needs no signatures, and reports whether it was newer.
func (e *Engine) Publish(version uint64, b *bundle.Bundle) bool {
	if version <= e.lastStep.Version {
		return false
	}
	e.head, e.previous = b, nil
	e.lastStep = Step{Version: version, Delta: bundle.Delta{Result: b.Digest()}}
	e.published = true
	return true
}

// FollowAuthority makes the engine accept published versions that other nodes pass on.
func (e *Engine) FollowAuthority() { e.followsAuthority = true }

// adoptPublished accepts a version of the authority that another node passes on.
func (e *Engine) adoptPublished(st State) (bool, error) {
	if !e.followsAuthority {
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

// Adopt replaces the state by that of another node if it is newer. The state must carry the signatures of its newest step.
func (e *Engine) Adopt(st State) (bool, error) {
	if st.Head.Version <= e.lastStep.Version {
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
	need := head.Policy().RequiredSignoffs()
	if got := e.trust.CountSigners(st.Head.Message(), st.Head.Signatures); got < need {
		return false, &SignoffError{id: st.Head.ID, got: got, need: need}
	}
	var previous *bundle.Bundle
	if st.Previous != nil {
		if previous, err = head.Apply(*st.Previous); err != nil {
			return false, err
		}
	}
	e.head, e.lastStep, e.previous = head, st.Head, previous
	e.history = []Step{st.Head}
	e.nextOffset = platform.Offset(st.Offset)
	e.setOpen(st.Open)
	return true, nil
}

// setOpen replaces the open proposals and clears the results, since the entries after the state's offset are applied again.
func (e *Engine) setOpen(list []Step) {
	e.open, e.openOrder, e.results = make(map[string]*Step), nil, nil
	for _, s := range list {
		e.open[s.ID] = &s
		e.openOrder = append(e.openOrder, s.ID)
	}
}

// adoptSnapshot adopts a snapshot from the log if it is newer; Next then goes back to the first entry that is not part of it.
func (e *Engine) adoptSnapshot(rec Record) []Event {
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

// SignoffError reports a step without the signatures that it needs.
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

// StageError reports a staged step proposed while an earlier one is not released everywhere.
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

// ConflictingKeys returns the keys of the entries in which a rejected step differs from the accepted one, for its author.
func ConflictingKeys(accepted, rejected Step) []string {
	keys := make(map[string]string)
	for _, p := range rejected.Delta.Put {
		keys[p.Key] = string(p.Value)
	}
	for _, p := range accepted.Delta.Put {
		if keys[p.Key] == string(p.Value) {
			delete(keys, p.Key)
		} else {
			keys[p.Key] = ""
		}
	}
	return slices.SortedFunc(maps.Keys(keys), strings.Compare)
}
