package object

import (
	"context"
	"errors"
	"fmt"
	"time"
)

var (
	// ErrOutcomeUnknown reports that the outcome of a write is unknown: it may have
	// taken effect, or may still do so.
	ErrOutcomeUnknown = errors.New("outcome of the write is unknown")

	// ErrRefused reports that the platform definitely did not carry out the write.
	ErrRefused = errors.New("refused by the platform")

	// ErrHistoryGone reports that a watch requested revisions that the store has
	// dropped.
	ErrHistoryGone = errors.New("watch history is gone")
)

type (
	// Entry is one object of the platform's store.
	Entry struct {
		// Name is the object's name within its kind.
		Name string
		// Revision is the store's revision of the last change.
		Revision uint64
		// Spec is the object's content.
		Spec []byte
		// Status is the object's reported status.
		Status []byte
	}

	// Change is one change of an object, as a watch reports it.
	Change struct {
		// Entry is the object after the change, or before its removal.
		Entry Entry
		// Removed is true if the change is the object's removal.
		Removed bool
	}

	// ExistsError reports that Create found an object of that name, or that Replace
	// found a revision other than the given one.
	ExistsError struct {
		// Found is the existing object, as far as the answer contained it.
		Found Entry
	}

	// Store is the platform's object store with revisions, conditional writes and
	// watches. A read returns ErrUnavailable if there was no definite answer. A
	// write returns ErrRefused if nothing was done, and ErrOutcomeUnknown if its
	// outcome is unknown. Both return ErrNotFound if there is no such object.
	Store interface {
		// Get reads one object.
		Get(ctx context.Context, kind, name string, freshness Freshness) (Entry, error)
		// List reads all objects of a kind and the store's revision.
		List(ctx context.Context, kind string, freshness Freshness) ([]Entry, uint64, error)
		// Watch waits for changes after a revision, and returns them with the revision
		// to continue from, or ErrHistoryGone if the store has dropped some of them.
		// It is no error if nothing changes within the wait.
		Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Change, uint64, error)
		// Create makes an object, or returns an *ExistsError.
		Create(ctx context.Context, kind, name string, spec []byte) (Entry, error)
		// Replace writes an object that still has the given revision, or returns
		// an *ExistsError. Revision 0 replaces any revision.
		Replace(ctx context.Context, kind, name string, spec []byte, revision uint64) (Entry, error)
		// SetStatus writes an object's status.
		SetStatus(ctx context.Context, kind, name string, status []byte) error
		// Delete removes an object, or returns ErrNotFound.
		Delete(ctx context.Context, kind, name string) error
	}

	// Freshness is the required freshness of a read.
	Freshness int
)

// Freshness values.
const (
	// Fresh reads are linearizable.
	Fresh Freshness = iota
	// Stale reads may be seconds old and cost a tenth of fresh ones.
	Stale
)

// Error returns the name and the revision of the existing object.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("object %q exists with revision %d", e.Found.Name, e.Found.Revision)
}
