package rollout

import (
	"context"
	"crypto/ed25519"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/objectstore"
	"heatherbarrow/internal/rpc"
)

// Propose stores the content and a proposal for the generation after the one in
// force, and returns the proposal. The proposal's name is its content's hash.
func (s *Store) Propose(ctx context.Context, content []byte, author string, key ed25519.PrivateKey) (Current, error) {
	if _, err := bundle.Parse(content); err != nil {
		return Current{}, err
	}
	current, _, err := s.Current(ctx)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return Current{}, err
	}
	proposal := Current{Generation: current.Generation + 1, SHA256: bundle.Hash(content), Base: current.SHA256}
	proposal.SignAuthor(author, key)
	if err := s.Operators.VerifyAuthor(&proposal); err != nil {
		return Current{}, err
	}
	if err := s.createContent(ctx, proposal.SHA256, content); err != nil {
		return Current{}, err
	}
	return s.putProposal(ctx, &proposal)
}

// createContent tolerates content that is already there: its name is its hash.
func (s *Store) createContent(ctx context.Context, sha256 string, content []byte) error {
	return s.repeat(func() (bool, error) {
		if stored, err := s.Content(ctx, sha256); err == nil && stored != nil {
			return true, nil
		}
		_, err := s.Platform.Create(ctx, KindContent, sha256, contentValue{ContentGzip: Compress(content)})
		return err == nil, err
	})
}

// repeat calls write until it is done. It goes on after conflicts and lost
// answers only; write reads what is stored before it writes.
func (s *Store) repeat(write func() (done bool, err error)) error {
	for range writeAttempts {
		done, err := write()
		if done {
			return nil
		}
		if !errors.Is(err, objectstore.ErrConflict) && !errors.Is(err, objectstore.ErrUncertain) {
			return err
		}
	}
	return ErrUnresolved
}

// putProposal keeps a proposal of the same author and generation as it is, so
// that proposing twice does not undo an approval.
func (s *Store) putProposal(ctx context.Context, proposal *Current) (Current, error) {
	stored := *proposal
	err := s.repeat(func() (bool, error) {
		existing, version, err := s.Proposal(ctx, proposal.SHA256)
		switch {
		case errors.Is(err, objectstore.ErrNotFound):
			_, err = s.Platform.Create(ctx, KindProposal, proposal.SHA256, proposal)
			return err == nil, err
		case err != nil:
			return false, err
		case existing.Generation == proposal.Generation && existing.Author == proposal.Author:
			stored = existing
			return true, nil
		case existing.Generation == proposal.Generation:
			return false, eris.Wrap(ErrProposed, existing.Author)
		}
		_, err = s.Platform.Update(ctx, KindProposal, proposal.SHA256, version, proposal)
		return err == nil, err
	})
	return stored, err
}

// Proposal returns a proposal and the version of its object.
func (s *Store) Proposal(ctx context.Context, sha256 string) (Current, uint64, error) {
	o, err := s.Platform.Get(ctx, KindProposal, sha256)
	if err != nil {
		return Current{}, 0, err
	}
	c, err := DecodeCurrent(o)
	return c, o.Version, err
}

// Approve signs a proposal as approver.
func (s *Store) Approve(ctx context.Context, sha256, approver string, key ed25519.PrivateKey, now time.Time) (Current, error) {
	if _, _, err := s.Proposal(ctx, sha256); err != nil {
		return Current{}, err
	}
	content, err := s.proposed(ctx, sha256)
	if err != nil {
		return Current{}, err
	}
	if _, err := bundle.Parse(content); err != nil {
		return Current{}, err
	}
	var approved Current
	err = s.repeat(func() (bool, error) {
		proposal, version, err := s.Proposal(ctx, sha256)
		if err != nil {
			return false, err
		}
		approved = proposal
		if proposal.Approver == approver && s.Operators.Verify(&proposal, content) == nil {
			return true, nil
		}
		approved.SignApprover(approver, key, now)
		if err := s.Operators.Verify(&approved, content); err != nil {
			return false, err
		}
		_, err = s.Platform.Update(ctx, KindProposal, sha256, version, approved)
		return err == nil, err
	})
	return approved, err
}

// RollOut puts an approved proposal in force and returns what is in force. With
// a *StaleError another bundle came first and nothing was changed.
func (s *Store) RollOut(ctx context.Context, sha256 string) (Current, error) {
	proposal, _, err := s.Proposal(ctx, sha256)
	if err != nil {
		return Current{}, err
	}
	content, err := s.proposed(ctx, sha256)
	if err != nil {
		return Current{}, err
	}
	if err := s.Operators.Verify(&proposal, content); err != nil {
		return Current{}, err
	}
	if err := s.rewriteContent(ctx, sha256, content); err != nil {
		return Current{}, err
	}
	err = s.repeat(func() (bool, error) { return s.putCurrent(ctx, &proposal) })
	return proposal, err
}

// proposed returns a proposal's content. Prune may have removed it between two calls
// of Propose; proposing again writes it and keeps an approval.
func (s *Store) proposed(ctx context.Context, sha256 string) ([]byte, error) {
	content, err := s.Content(ctx, sha256)
	if errors.Is(err, objectstore.ErrNotFound) {
		return nil, ErrNoContent
	}
	return content, err
}

// rewriteContent gives the content a new version. Prune may be about to delete
// the version that it saw before the content was proposed again.
func (s *Store) rewriteContent(ctx context.Context, sha256 string, content []byte) error {
	return s.repeat(func() (bool, error) {
		value := contentValue{ContentGzip: Compress(content)}
		o, err := s.Platform.Get(ctx, KindContent, sha256)
		switch {
		case errors.Is(err, objectstore.ErrNotFound):
			_, err = s.Platform.Create(ctx, KindContent, sha256, value)
		case err == nil:
			_, err = s.Platform.Update(ctx, KindContent, sha256, o.Version, value)
		}
		return err == nil, err
	})
}

func (s *Store) putCurrent(ctx context.Context, proposal *Current) (bool, error) {
	current, version, err := s.Current(ctx)
	absent := errors.Is(err, objectstore.ErrNotFound)
	switch {
	case err != nil && !absent:
		return false, err
	case current.Generation == proposal.Generation && current.SHA256 == proposal.SHA256:
		return true, nil
	case current.Generation+1 != proposal.Generation:
		return false, &StaleError{Proposal: *proposal, Current: current}
	case absent:
		_, err = s.Platform.Create(ctx, KindCurrent, NameCurrent, proposal)
	default:
		_, err = s.Platform.Update(ctx, KindCurrent, NameCurrent, version, proposal)
	}
	return err == nil, err
}

// Restore puts a bundle that hosts hold in force again, with the signatures that
// it came with, in the place of the given version of the current object; 0 means
// that there is none. It returns the object's new version. With
// objectstore.ErrConflict another writer came first and nothing was restored.
func (s *Store) Restore(ctx context.Context, record *rpc.BundleRecord, version uint64) (uint64, error) {
	current, content := FromRPC(record)
	if err := s.Operators.Verify(&current, content); err != nil {
		return 0, err
	}
	if err := s.rewriteContent(ctx, current.SHA256, content); err != nil {
		return 0, err
	}
	if version == 0 {
		o, err := s.Platform.Create(ctx, KindCurrent, NameCurrent, current)
		return o.Version, err
	}
	o, err := s.Platform.Update(ctx, KindCurrent, NameCurrent, version, current)
	return o.Version, err
}

// StaleError tells which bundle came into force instead of a proposal.
type StaleError struct {
	Proposal Current
	Current  Current
}

// Error implements error.
func (e *StaleError) Error() string { return ErrStale.Error() }

// Unwrap makes the error an ErrStale.
func (e *StaleError) Unwrap() error { return ErrStale }

// Bundle returns the parsed content with the given hash; an empty hash is the
// bundle before the first one.
func (s *Store) Bundle(ctx context.Context, sha256 string) (*bundle.Bundle, error) {
	if sha256 == "" {
		return &bundle.Bundle{}, nil
	}
	content, err := s.Content(ctx, sha256)
	if err != nil {
		return nil, err
	}
	return bundle.Parse(content)
}
