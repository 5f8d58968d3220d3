package object

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
)

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

type (
	// Record is a JSON value that carries the id of the operation that wrote it.
	Record interface {
		// Operation returns the id of the last write.
		Operation() string
	}

	// ReadBackError reports that the outcome of a write is still unknown after the
	// object was read back: the read failed, or the object was not changed yet.
	ReadBackError struct {
		cause error
	}
)

// Error returns why the outcome of the write is unknown.
func (e *ReadBackError) Error() string {
	return fmt.Sprintf("it is not known whether the write took effect: %v", e.cause)
}

// Unwrap returns the cause.
func (e *ReadBackError) Unwrap() error { return e.cause }

// GetRecord reads an object into a record. For a missing object it leaves the
// record unchanged and returns version 0.
func GetRecord(ctx context.Context, c *Client, kind, name string, record any) (uint64, error) {
	value, err := c.Get(ctx, kind, name)
	if errors.Is(err, ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(value.Body(), record); err != nil {
		return 0, fmt.Errorf("decoding object %s/%s: %w", kind, name, err)
	}
	return value.Version(), nil
}

// PutRecord writes a record if the object still has the given version. If the
// answer is lost it reads the object back, retrying until ctx ends, and compares
// the operation id.
func PutRecord[R Record](ctx context.Context, c *Client, kind, name string, record R, version uint64) (uint64, error) {
	body, err := json.Marshal(record)
	if err != nil {
		return 0, fmt.Errorf("encoding object %s/%s: %w", kind, name, err)
	}
	newVersion, err := c.Put(ctx, kind, name, body, version)
	if err == nil {
		return newVersion, nil
	}
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return resolveConflict[R](ctx, c, kind, name, record.Operation(), err)
	}
	return readBack[R](ctx, c, kind, name, record.Operation(), version)
}

// resolveConflict checks whether the conflicting version is this operation's own
// earlier write.
func resolveConflict[R Record](
	ctx context.Context, c *Client, kind, name, operation string, conflict error,
) (uint64, error) {
	var found R
	version, err := GetRecord(ctx, c, kind, name, &found)
	if err != nil {
		return 0, &ReadBackError{cause: err}
	}
	if version > 0 && found.Operation() == operation {
		return version, nil
	}
	return 0, conflict
}

// readBack resolves a write without a definite answer by reading the object until
// a read succeeds.
func readBack[R Record](
	ctx context.Context, c *Client, kind, name, operation string, expected uint64,
) (uint64, error) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = firstBackoff
	policy.MaxInterval = maxBackoff
	version, err := backoff.Retry(ctx, func() (uint64, error) {
		var found R
		version, err := GetRecord(ctx, c, kind, name, &found)
		if err != nil {
			return 0, err
		}
		if version > 0 && found.Operation() == operation {
			return version, nil
		}
		if version != expected {
			return 0, backoff.Permanent(&ConflictError{Version: version})
		}
		return 0, backoff.Permanent(fmt.Errorf("the write did not take effect yet: %w", ErrUnavailable))
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	var conflict *ConflictError
	if err == nil || errors.As(err, &conflict) {
		return version, err
	}
	return 0, &ReadBackError{cause: err}
}
