package operator

import (
	"context"

	"github.com/google/uuid"
	"github.com/jasminevane/jasminevane/bundle"
	"github.com/jasminevane/jasminevane/keyring"
	"github.com/jasminevane/jasminevane/rollout"
	"github.com/pkg/errors"
)

// NewStep returns a signed proposal that turns the newest version into next; release names the data centres of a staged roll, none for all.
func NewStep(st rollout.State, next *bundle.Bundle, key keyring.Secret, release []string) (rollout.Step, error) {
	head, err := bundle.FromEntries(st.Entries)
	if err != nil {
		return rollout.Step{}, errors.Wrap(err, "newest version")
	}
	s := rollout.Step{
		ID:      uuid.NewString(),
		Version: st.Head.Version + 1,
		Author:  key.Name(),
		Delta:   head.Diff(next),
		Release: release,
	}
	s.Signatures = []keyring.Signature{key.Sign(s.Message())}
	return s, nil
}

// Publish proposes next, has it approved by the other keys and rolls it; it returns what became of it.
func Publish(ctx context.Context, c *Client, next *bundle.Bundle, keys ...keyring.Secret) (rollout.ProposalResult, error) {
	st, err := c.Bundle(ctx)
	if err != nil {
		return rollout.ProposalResult{}, err
	}
	s, err := NewStep(st, next, keys[0], nil)
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
	fate, err := c.Roll(ctx, s.ID)
	return fate, errors.Wrap(err, "roll")
}
