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
	maxOpenProposals = 256 // maximum number of open proposals: those that wait for signatures or for the operator to roll them out
	maxHistoryLength = 128 // maximum number of recent steps, and of recent proposal results, that are kept
)

// Result is the state of a proposal.
type Result string

// The results of proposals.
const (
	Waiting  Result = "waiting" // the proposal is open: it lacks signatures or was not rolled out
	Accepted Result = "accepted"
	Conflict Result = "conflict" // another step was accepted as this version
	Unsigned Result = "unsigned" // the proposal can't be accepted yet, mostly for lack of signatures; it stays open
	Invalid  Result = "invalid"  // the log record can't be applied
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

// Engine holds one node's copy of the chain of versions: the newest bundle, recent steps and the open proposals.
type Engine struct {
	dc              string
	trust           *keyring.Ring
	head            *bundle.Bundle
	lastStep        Step           // newest accepted step, without the entries of its delta
	previous        *bundle.Bundle // bundle in force in data centres where head is not released yet; nil if head is released everywhere
	history         []Step
	openProposals   map[string]*Step
	openProposalIDs []string // IDs of the open proposals, oldest first
	proposalResults []ProposalResult
	nextOffset      platform.Offset
	fragments       assembler

	acceptsForwardedVersions bool // accept published versions that other nodes forward; see Publish
	published                bool // the newest version was published by an authority outside the fleet
}

// New returns an engine for a node in data centre dc that trusts the given keys.
func New(dc string, trust *keyring.Ring) *Engine {
	return &Engine{dc: dc, trust: trust, head: bundle.Empty(), openProposals: make(map[string]*Step)}
}

// Version returns the newest accepted version, or 0.
func (e *Engine) Version() uint64 { return e.lastStep.Version }

// Head returns the newest accepted bundle and the step that produced it.
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

// Rewind makes the engine read the log from its beginning, since the log was restored from a copy. The accepted versions stay. Open proposals
// and results are dropped: the log has them, or nobody knows them.
func (e *Engine) Rewind() {
	e.nextOffset, e.fragments = 0, assembler{}
	e.setOpenProposals(nil)
}

// OpenProposals returns the open proposals, oldest first.
func (e *Engine) OpenProposals() []Step {
	proposals := make([]Step, 0, len(e.openProposalIDs))
	for _, id := range e.openProposalIDs {
		proposals = append(proposals, *e.openProposals[id])
	}
	return proposals
}

// ProposalResults returns the results of recent proposals, oldest first.
func (e *Engine) ProposalResults() []ProposalResult { return slices.Clone(e.proposalResults) }

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
	if rec.Kind == Part {
		whole, ok, err := e.fragments.add(rec, entry.Offset)
		switch {
		case err != nil:
			return []Event{{ID: rec.ID, Result: Invalid, Text: err.Error()}}
		case !ok:
			return nil
		}
		rec = whole
	}
	return e.applyRecord(rec, entry.Offset)
}

// applyRecord applies the record of the entry at the offset, or the one that is complete with it.
func (e *Engine) applyRecord(rec Record, offset platform.Offset) []Event {
	switch rec.Kind {
	case Propose:
		return e.propose(rec)
	case Approve:
		return e.approve(rec)
	case Roll:
		return e.roll(rec)
	case Snapshot:
		return e.adoptSnapshot(rec, offset)
	}
	return []Event{{ID: rec.ID, Result: Invalid, Text: fmt.Sprintf("unknown record kind %q", rec.Kind)}}
}

func (e *Engine) propose(rec Record) []Event {
	if rec.Step == nil || rec.Step.ID != rec.ID {
		return []Event{{ID: rec.ID, Result: Invalid, Text: "proposal without a step of its id"}}
	}
	if e.hasProposal(rec.ID) {
		return nil // the client repeated the append after the response to it was lost
	}
	if len(e.openProposalIDs) >= maxOpenProposals {
		e.closeProposal(e.openProposalIDs[0])
	}
	s := *rec.Step
	e.openProposals[rec.ID] = &s
	e.openProposalIDs = append(e.openProposalIDs, rec.ID)
	return []Event{{ID: s.ID, Version: s.Version, Result: Waiting}}
}

func (e *Engine) hasProposal(id string) bool {
	if e.openProposals[id] != nil {
		return true
	}
	return slices.ContainsFunc(e.proposalResults, func(result ProposalResult) bool { return result.ID == id })
}

func (e *Engine) closeProposal(id string) {
	delete(e.openProposals, id)
	e.openProposalIDs = slices.DeleteFunc(e.openProposalIDs, func(o string) bool { return o == id })
}

func (e *Engine) approve(rec Record) []Event {
	s := e.openProposals[rec.ID]
	if s == nil || rec.Signature == nil || !e.trust.Verify(s.Message(), *rec.Signature) {
		return nil
	}
	for _, signature := range s.Signatures {
		if signature.Signer == rec.Signature.Signer {
			return nil
		}
	}
	s.Signatures = append(s.Signatures, *rec.Signature)
	return []Event{{ID: s.ID, Version: s.Version, Result: Waiting, Text: "approved by " + rec.Signature.Signer}}
}

func (e *Engine) roll(rec Record) []Event {
	s := e.openProposals[rec.ID]
	if s == nil {
		return nil
	}
	if accepted, ok := e.acceptedStep(s.Version); ok && accepted.ID == s.ID {
		e.closeProposal(s.ID) // the step was already adopted from another node
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

func (e *Engine) acceptedStep(version uint64) (Step, bool) {
	i := slices.IndexFunc(e.history, func(s Step) bool { return s.Version == version })
	if i < 0 {
		return Step{}, false
	}
	return e.history[i], true
}

func (e *Engine) describeAccepted(version uint64) string {
	if s, ok := e.acceptedStep(version); ok {
		return s.ID + " of " + s.Author
	}
	return "an earlier change"
}

func (e *Engine) recordResult(s Step, r Result, text string) []Event {
	result := ProposalResult{ID: s.ID, Version: s.Version, Author: s.Author, Result: r, Text: text}
	e.proposalResults = append(e.proposalResults, result)
	if len(e.proposalResults) > maxHistoryLength {
		e.proposalResults = slices.Clone(e.proposalResults[1:])
	}
	return []Event{{ID: s.ID, Version: s.Version, Result: r, Text: text}}
}

// verify checks that the step applies to the newest bundle and carries the required signatures. It returns the resulting bundle.
func (e *Engine) verify(s Step) (*bundle.Bundle, error) {
	next, err := e.head.Apply(s.Delta)
	if err != nil {
		return nil, err
	}
	if e.previous != nil && s.staged() && !s.releaseOnly() {
		return nil, &StageError{version: e.lastStep.Version}
	}
	if e.head.HasKeys() && !next.RequiresKeys() {
		return nil, &LastKeyError{id: s.ID}
	}
	policy := e.head.Policy()
	if e.lastStep.Version == 0 {
		policy = next.Policy()
	}
	requiredSignatures := policy.RequiredSignoffs()
	if validSignatures := e.trust.CountSigners(s.Message(), s.Signatures); validSignatures < requiredSignatures {
		return nil, &SignoffError{id: s.ID, validSignatures: validSignatures, requiredSignatures: requiredSignatures}
	}
	if team := e.missingTeam(s, next); team != "" {
		return nil, &SignoffError{id: s.ID, team: team, requiredSignatures: requiredSignatures, validSignatures: requiredSignatures}
	}
	return next, nil
}

// missingTeam returns the name of a team that owns a changed service but has not signed the step, or "" if there is none.
func (e *Engine) missingTeam(s Step, next *bundle.Bundle) string {
	services, _ := s.Delta.Services()
	for _, name := range services {
		owner := e.head.Service(name)
		teamSource := e.head
		if owner == nil {
			owner, teamSource = next.Service(name), next
		}
		if owner == nil || owner.Team() == "" {
			continue
		}
		signers := teamSource.Signers(owner.Team())
		signed := slices.ContainsFunc(s.Signatures, func(sig keyring.Signature) bool {
			return slices.Contains(signers, sig.Signer) && e.trust.Verify(s.Message(), sig)
		})
		if !signed {
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
	if len(e.history) > maxHistoryLength {
		e.history = slices.Clone(e.history[1:])
	}
}

// State returns the state of the engine, for a snapshot or for a node that is starting.
func (e *Engine) State() State {
	st := State{Published: e.published, Head: e.lastStep, Entries: e.head.Entries(), Offset: uint64(e.fragments.firstOffset(e.nextOffset)), OpenProposals: e.OpenProposals()}
	if e.previous != nil {
		toPrevious := e.head.Diff(e.previous)
		st.DeltaToPrevious = &toPrevious
	}
	return st
}

// Publish accepts a version from an authority outside the fleet, which needs no signatures. It reports whether
// the version was newer than the current one.
func (e *Engine) Publish(version uint64, b *bundle.Bundle) bool {
	if version <= e.lastStep.Version {
		return false
	}
	e.head, e.previous = b, nil
	e.lastStep = Step{Version: version, Delta: bundle.Delta{Result: b.Digest()}}
	e.published = true
	return true
}

// AcceptForwardedVersions makes the engine accept published versions that other nodes forward.
func (e *Engine) AcceptForwardedVersions() { e.acceptsForwardedVersions = true }

// adoptPublished accepts a published version that another node forwarded, and reports whether it was newer.
func (e *Engine) adoptPublished(st State) (bool, error) {
	if !e.acceptsForwardedVersions {
		return false, &SignoffError{id: "published", requiredSignatures: 1}
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

// Adopt replaces the engine's state with st, from another node or a snapshot, if st is newer, and reports whether it did.
// The newest step of st must carry the required signatures, unless it was published.
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
	requiredSignatures := head.Policy().RequiredSignoffs()
	if validSignatures := e.trust.CountSigners(st.Head.Message(), st.Head.Signatures); validSignatures < requiredSignatures {
		return false, &SignoffError{id: st.Head.ID, validSignatures: validSignatures, requiredSignatures: requiredSignatures}
	}
	var previous *bundle.Bundle
	if st.DeltaToPrevious != nil {
		if previous, err = head.Apply(*st.DeltaToPrevious); err != nil {
			return false, err
		}
	}
	e.head, e.lastStep, e.previous = head, st.Head, previous
	e.history = []Step{st.Head}
	e.nextOffset, e.fragments = platform.Offset(st.Offset), assembler{}
	e.setOpenProposals(st.OpenProposals)
	return true, nil
}

// setOpenProposals replaces the open proposals. It clears the results, since applying the entries after the adopted state's
// offset records them again.
func (e *Engine) setOpenProposals(proposals []Step) {
	e.openProposals, e.openProposalIDs, e.proposalResults = make(map[string]*Step), nil, nil
	for _, s := range proposals {
		e.openProposals[s.ID] = &s
		e.openProposalIDs = append(e.openProposalIDs, s.ID)
	}
}

// adoptSnapshot adopts a snapshot from the log if it is newer. Next is then the offset of the first entry that the snapshot
// does not include, so later entries are applied again. A snapshot can't include entries that were appended after it.
func (e *Engine) adoptSnapshot(rec Record, offset platform.Offset) []Event {
	if rec.State == nil {
		return nil
	}
	if rec.State.Offset > uint64(offset) {
		return []Event{{ID: rec.ID, Result: Invalid, Text: "snapshot of entries that follow it"}}
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

// SignoffError reports a step that lacks required signatures.
type SignoffError struct {
	id                                  string
	team                                string
	validSignatures, requiredSignatures int
}

// Team returns the name of the team whose signature is missing, or "" if the error is about the number of signatures.
func (e *SignoffError) Team() string { return e.team }

// Error implements the error interface.
func (e *SignoffError) Error() string {
	if e.team != "" {
		return fmt.Sprintf("change %s needs a signature of team %s", e.id, e.team)
	}
	return fmt.Sprintf("change %s has %d of %d signatures", e.id, e.validSignatures, e.requiredSignatures)
}

// LastKeyError reports that a step takes the last key of the callers away and would thereby let every request in: its policy must be keyed. To let
// requests in without keys is a later step of its own.
type LastKeyError struct{ id string }

// Error implements the error interface.
func (e *LastKeyError) Error() string {
	return fmt.Sprintf("change %s takes the last key away, but policy.keyed is not set", e.id)
}

// StageError reports that a staged step can't be accepted yet, since an earlier staged step is not released everywhere.
type StageError struct{ version uint64 }

// Error implements the error interface.
func (e *StageError) Error() string {
	return fmt.Sprintf("the release of version %d is not complete", e.version)
}

// DigestError reports a state whose entries do not match the digest in its newest step.
type DigestError struct{ version uint64 }

// Error implements the error interface.
func (e *DigestError) Error() string {
	return fmt.Sprintf("state of version %d does not match its digest", e.version)
}

// ConflictingKeys returns the keys of the entries to which the rejected and the accepted step give different values, or which
// only one of them puts, for the author of the rejected step.
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
