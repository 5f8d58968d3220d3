// Package claim makes sure that a request marked as non-idempotent runs at
// most once, whichever nodes it is sent to.
//
// Before such a request is written to an endpoint, its node creates a claim
// object in the platform. Creating is conditional, so of all nodes that get the
// same request id one wins. A request that then did not run gives its claim
// back, so that it may be sent again. Without a platform no claim can be made
// and the request is refused as not run.
//
// # Usage
//
//	claims := claim.New(platform, "node-1", logger)
//	held, err := claims.Take(ctx, "billing", requestID)
//	defer held.Release(ctx) // only if it did not run
package claim

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/currantloft/currantloft/event"
	"github.com/currantloft/currantloft/object"
)

const (
	kind           = "claims"
	takeTimeout    = time.Second
	releaseTimeout = 30 * time.Second
	downMemory     = 500 * time.Millisecond
)

type (
	record struct {
		OperationID string `json:"operation"`
		Node        string `json:"node"`
		Released    bool   `json:"released"`
		TakenAt     int64  `json:"taken_unix_ms"`
	}

	// Claims takes claims for one node. It is safe for concurrent use.
	Claims struct {
		platform *object.Client
		node     string
		logger   *zap.Logger
		counter  atomic.Uint64
		life     int64
		failedAt atomic.Int64
	}

	// Held is a claim that this node won.
	Held struct {
		claims  *Claims
		name    string
		record  record
		version uint64
	}

	// TakenError says that the request was claimed before and may have run.
	TakenError struct {
		// Node is where it was claimed.
		Node string
	}

	// UnavailableError says that no claim could be made; nothing has run.
	UnavailableError struct {
		cause error
	}
)

// Operation returns the id of the last write.
func (r record) Operation() string { return r.OperationID }

// Error returns who claimed the request.
func (e *TakenError) Error() string { return "the request was claimed before, by " + e.Node }

// Error returns why there is no claim.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the claim could not be made: %v", e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// New returns the claims of a node.
func New(platform *object.Client, node string, logger *zap.Logger) *Claims {
	return &Claims{platform: platform, node: node, logger: logger, life: time.Now().UnixNano()}
}

// Take claims a request id of a service.
func (c *Claims) Take(ctx context.Context, service, request string) (*Held, error) {
	if time.Since(time.Unix(0, c.failedAt.Load())) < downMemory {
		return nil, &UnavailableError{cause: object.ErrUnavailable}
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	held := &Held{
		claims: c,
		name:   objectName(service, request),
		record: record{OperationID: c.operation(), Node: c.node, TakenAt: time.Now().UnixMilli()},
	}
	version, err := object.PutRecord(ctx, c.platform, kind, held.name, held.record, 0)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		version, err = c.retake(ctx, held)
	}
	var taken *TakenError
	if err != nil && !errors.As(err, &taken) {
		c.failedAt.Store(time.Now().UnixNano())
		// The write may still have taken effect: give it back once that is known.
		go held.Release(context.WithoutCancel(ctx))
		return nil, &UnavailableError{cause: err}
	}
	if err != nil {
		return nil, err
	}
	held.version = version
	return held, nil
}

// retake takes a claim that an earlier try gave back.
func (c *Claims) retake(ctx context.Context, held *Held) (uint64, error) {
	var found record
	version, err := object.GetRecord(ctx, c.platform, kind, held.name, &found)
	if err != nil {
		return 0, err
	}
	if !found.Released {
		return 0, &TakenError{Node: found.Node}
	}
	version, err = object.PutRecord(ctx, c.platform, kind, held.name, held.record, version)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		return 0, &TakenError{Node: "another node"}
	}
	return version, err
}

// Release gives back the claim of a request that truly did not run.
func (h *Held) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var found record
	version, err := object.GetRecord(ctx, h.claims.platform, kind, h.name, &found)
	if err != nil {
		event.ClaimFailed.Log(h.claims.logger, zap.String("claim", h.name), zap.Error(err))
		return
	}
	if version == 0 || found.OperationID != h.record.OperationID {
		return
	}
	released := h.record
	released.OperationID = h.claims.operation()
	released.Released = true
	if _, err := object.PutRecord(ctx, h.claims.platform, kind, h.name, released, version); err != nil {
		event.ClaimFailed.Log(h.claims.logger, zap.String("claim", h.name), zap.Error(err))
	}
}

func (c *Claims) operation() string {
	return fmt.Sprintf("%s-%d-%d", c.node, c.life, c.counter.Add(1))
}

func objectName(service, request string) string {
	sum := sha256.Sum256([]byte(service + "\x00" + request))
	return hex.EncodeToString(sum[:16])
}
