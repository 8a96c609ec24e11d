package operator

import (
	"context"

	"github.com/google/uuid"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/keyring"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/pkg/errors"
)

// NewStep returns a signed proposal to replace the newest version by next.
// release lists the data centres of a staged rollout; an empty list means all.
func NewStep(state rollout.State, next *bundle.Bundle, key keyring.Secret, release []string) (rollout.Step, error) {
	head, err := bundle.FromEntries(state.Entries)
	if err != nil {
		return rollout.Step{}, errors.Wrap(err, "newest version")
	}
	s := rollout.Step{
		ID:      uuid.NewString(),
		Version: state.Head.Version + 1,
		Author:  key.Name(),
		Delta:   head.Diff(next),
		Release: release,
	}
	s.Signatures = []keyring.Signature{key.Sign(s.Message())}
	return s, nil
}

// Publish proposes next with the first key, approves it with the others, asks for it to be put in force and returns the result.
func Publish(ctx context.Context, c *Client, next *bundle.Bundle, keys ...keyring.Secret) (rollout.ProposalResult, error) {
	state, err := c.Bundle(ctx)
	if err != nil {
		return rollout.ProposalResult{}, err
	}
	s, err := NewStep(state, next, keys[0], nil)
	if err != nil {
		return rollout.ProposalResult{}, err
	}
	if _, err := c.Propose(ctx, s); err != nil {
		return rollout.ProposalResult{}, errors.Wrap(err, "propose")
	}
	for _, k := range keys[1:] {
		if _, err := c.Approve(ctx, Approval{ID: s.ID, Signature: k.Sign(s.Message())}); err != nil {
			return rollout.ProposalResult{}, errors.Wrap(err, "approve")
		}
	}
	result, err := c.Roll(ctx, s.ID)
	return result, errors.Wrap(err, "roll")
}
