package objectstore

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone means that the changes after the given revision are no longer
// kept: list the kind again.
var ErrHistoryGone = errors.New("history of the object store is gone")

// Revisions is a part of the store's content at one revision.
type Revisions struct {
	Objects []Object
	AsOf    uint64 // the store's revision; watch from here
	// Era counts how often the store came back from a copy and lost changes. Revisions of different
	// eras cannot be compared: those of the lost changes are given out again. 0 if the store has none.
	Era uint64
	// Unreadable is the number of entries left out because they have no name.
	Unreadable int
}

// Store is what hosts need of an object store: lists, watches, and objects of
// their own. Client speaks the product's own dialect; other dialects implement Store.
type Store interface {
	// ListKind returns all objects of a kind, as of now.
	ListKind(ctx context.Context, kind string) (Revisions, error)
	// ListKindStale is ListKind for a reader that does with a state that is seconds old,
	// where the store has a cheaper read for it.
	ListKindStale(ctx context.Context, kind string) (Revisions, error)
	// WatchKind waits until an object of the kind changes after a revision, or until
	// wait has passed, and returns the changes. It may return ErrHistoryGone.
	WatchKind(ctx context.Context, kind string, after uint64, wait time.Duration) (Revisions, error)
	// Replace creates an object or replaces its value.
	Replace(ctx context.Context, kind, name string, value any) error
	// Remove deletes an object; one that does not exist is no error.
	Remove(ctx context.Context, kind, name string) error
}

// ConditionalStore is what a lease needs of an object store: writes that take effect only if the object has not changed.
type ConditionalStore interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, kind, name string) (Object, error)
	// Create writes an object that must not exist yet, and returns it.
	Create(ctx context.Context, kind, name string, value any) (Object, error)
	// Update writes an object that must have the given version, and returns it.
	Update(ctx context.Context, kind, name string, version uint64, value any) (Object, error)
}

var _ ConditionalStore = (*Client)(nil)
