package rollout

import (
	"cmp"
	"context"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"heatherbarrow/internal/objectstore"
)

// State tells how far a proposal has come.
type State string

// States of a proposal.
const (
	StateProposed State = "proposed"
	StateApproved State = "approved"
	StateInForce  State = "in force"
	StatePast     State = "past" // its generation has been taken, by it or by another
)

// Entry is a stored proposal.
type Entry struct {
	Current
	State State `json:"state"`

	version uint64 // of the proposal's object
}

// History returns the stored proposals, highest generation first. Content that
// was proposed several times is listed once, under its last generation.
func (s *Store) History(ctx context.Context) ([]Entry, error) {
	current, _, err := s.Current(ctx)
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return nil, err
	}
	objects, err := s.Platform.List(ctx, KindProposal, "")
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(objects))
	for _, o := range objects {
		proposal, err := DecodeCurrent(o)
		if err != nil {
			return nil, err
		}
		entries = append(entries, Entry{Current: proposal, State: stateOf(&proposal, &current), version: o.Version})
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Generation, a.Generation), cmp.Compare(a.SHA256, b.SHA256))
	})
	return entries, nil
}

func stateOf(proposal, current *Current) State {
	switch {
	case proposal.SHA256 == current.SHA256 && proposal.Generation == current.Generation:
		return StateInForce
	case proposal.Generation <= current.Generation:
		return StatePast
	case proposal.Approver != "":
		return StateApproved
	default:
		return StateProposed
	}
}

// Prune removes the proposals, with their content, whose generation is keep or
// more below the one in force, and returns how many it removed. It never removes
// content that is in force: the proposal's deletion fails when it was written since,
// and RollOut writes the content again before it moves the current object, so that a
// late deletion of the content fails too. Content proposed again at the same time
// may be removed before that; Approve and RollOut then return ErrNoContent.
func (s *Store) Prune(ctx context.Context, keep uint64) (int, error) {
	entries, err := s.History(ctx)
	if err != nil {
		return 0, err
	}
	current, _, err := s.Current(ctx)
	if err != nil {
		return 0, err
	}
	removed := 0
	for _, e := range entries {
		if e.Generation+keep > current.Generation || e.SHA256 == current.SHA256 {
			continue
		}
		done, err := s.remove(ctx, &e)
		if err != nil {
			return removed, err
		}
		if done {
			removed++
		}
	}
	return removed, nil
}

// remove deletes a proposal before its content, so that no proposal is left
// without content. The content's version is read first: a write after that makes
// its deletion fail.
func (s *Store) remove(ctx context.Context, e *Entry) (bool, error) {
	content, err := s.Platform.Get(ctx, KindContent, e.SHA256)
	hasContent := err == nil
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		return false, err
	}
	gone, err := s.delete(ctx, KindProposal, e.SHA256, e.version)
	if !gone || err != nil || !hasContent {
		return gone, err
	}
	_, err = s.delete(ctx, KindContent, e.SHA256, content.Version)
	return true, err
}

// delete removes the given version of an object. It returns false when the
// object was written since.
func (s *Store) delete(ctx context.Context, kind, name string, version uint64) (gone bool, err error) {
	err = s.repeat(func() (bool, error) {
		err := s.Platform.Delete(ctx, kind, name, version)
		gone = err == nil || errors.Is(err, objectstore.ErrNotFound)
		return gone || errors.Is(err, objectstore.ErrConflict), err
	})
	return gone, eris.Wrapf(err, "remove %s/%s", kind, name)
}
