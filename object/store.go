package object

import (
	"context"
	"errors"
	"fmt"
	"time"
)

var (
	// ErrUnsure says that a write may or may not have taken effect, or may
	// still take effect.
	ErrUnsure = errors.New("outcome of the write is unknown")

	// ErrRefused says that the platform gave a definite answer that nothing was
	// done.
	ErrRefused = errors.New("refused by the platform")

	// ErrHistoryGone says that a watch asked for revisions that were dropped.
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

	// Change is one event of a watch.
	Change struct {
		// Entry is the object after the change, or before its removal.
		Entry Entry
		// Removed says that the object is gone.
		Removed bool
	}

	// ExistsError says that a creation or a conditional write found another
	// object in its place.
	ExistsError struct {
		// Found is the object as it is, as far as the answer told.
		Found Entry
	}

	// Store is the platform's object store with revisions, conditional writes
	// and watches. A read returns ErrNotFound, or ErrUnavailable when there was
	// no answer. A write returns ErrRefused when nothing was done and ErrUnsure
	// when that is not known.
	Store interface {
		// Get reads one object.
		Get(ctx context.Context, kind, name string, read Read) (Entry, error)
		// List reads all objects of a kind and the store's revision.
		List(ctx context.Context, kind string, read Read) ([]Entry, uint64, error)
		// Watch waits for changes after a revision and returns the revision to go
		// on from. No change within the wait is no error.
		Watch(ctx context.Context, kind string, after uint64, wait time.Duration) ([]Change, uint64, error)
		// Create makes an object, or returns an *ExistsError.
		Create(ctx context.Context, kind, name string, spec []byte) (Entry, error)
		// Replace writes an object that still has the given revision, or returns
		// an *ExistsError. Revision 0 replaces whatever is there.
		Replace(ctx context.Context, kind, name string, spec []byte, revision uint64) (Entry, error)
		// SetStatus writes an object's status.
		SetStatus(ctx context.Context, kind, name string, status []byte) error
		// Delete removes an object, or returns ErrNotFound.
		Delete(ctx context.Context, kind, name string) error
	}

	// Read says how fresh a read must be.
	Read int
)

// Freshness of a read.
const (
	// Fresh reads are linearizable.
	Fresh Read = iota
	// Stale reads may be seconds old and cost a tenth.
	Stale
)

// Error returns the conflict as one line.
func (e *ExistsError) Error() string {
	return fmt.Sprintf("object %q exists with revision %d", e.Found.Name, e.Found.Revision)
}
