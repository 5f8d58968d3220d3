// Package claim ensures that a request marked as non-idempotent runs at most once,
// whichever nodes it is sent to.
//
// Before a node sends such a request to an endpoint, it creates a claim object in
// the platform. The creation is conditional, so only one of the nodes that receive
// the same request id succeeds. If the request then did not run, its claim is
// released, so that it may be sent again. While the platform is unavailable no
// claim can be made, and the request is refused as not run.
//
// # Usage
//
//	claims := claim.New(platform, "node-1", logger)
//	claimed, err := claims.Take(ctx, "billing", requestID)
//	claimed.Release(ctx) // if the request did not run
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
	objectKind      = "claims"
	takeTimeout     = time.Second
	releaseTimeout  = 30 * time.Second
	failureCooldown = 500 * time.Millisecond
)

type (
	// record is the stored content of a claim.
	record struct {
		OperationID string `json:"operation"`
		Node        string `json:"node"`
		Released    bool   `json:"released"`
		TakenAt     int64  `json:"taken_unix_ms"`
	}

	// Claims makes the claims of one node. It is safe for concurrent use.
	Claims struct {
		platform      *object.Client
		node          string
		logger        *zap.Logger
		operations    atomic.Uint64
		incarnation   int64
		failedAtNanos atomic.Int64
	}

	// Claim is a request id that this node has claimed.
	Claim struct {
		claims  *Claims
		name    string
		record  record
		version uint64
	}

	// TakenError reports that the request was claimed before and may have run.
	TakenError struct {
		// Node is the name of the node that claimed it.
		Node string
	}

	// UnavailableError reports that no claim could be made. The request has not run.
	UnavailableError struct {
		cause error
	}
)

// Operation returns the id of the operation that wrote the record.
func (r record) Operation() string { return r.OperationID }

// Error returns which node claimed the request.
func (e *TakenError) Error() string { return "the request was claimed before, by " + e.Node }

// Error returns why the claim could not be made.
func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the claim could not be made: %v", e.cause)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.cause }

// New returns the claims of a node.
func New(platform *object.Client, node string, logger *zap.Logger) *Claims {
	return &Claims{platform: platform, node: node, logger: logger, incarnation: time.Now().UnixNano()}
}

// Take claims a request id of a service. It returns a *TakenError if the request
// was claimed before, or an *UnavailableError; for failureCooldown after one, it
// fails without calling the platform.
func (c *Claims) Take(ctx context.Context, service, request string) (*Claim, error) {
	if time.Since(time.Unix(0, c.failedAtNanos.Load())) < failureCooldown {
		return nil, &UnavailableError{cause: object.ErrUnavailable}
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	claimed := &Claim{
		claims: c,
		name:   objectName(service, request),
		record: record{OperationID: c.newOperationID(), Node: c.node, TakenAt: time.Now().UnixMilli()},
	}
	version, err := object.PutRecord(ctx, c.platform, objectKind, claimed.name, claimed.record, 0)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		version, err = c.takeReleased(ctx, claimed)
	}
	var taken *TakenError
	if err != nil && !errors.As(err, &taken) {
		c.failedAtNanos.Store(time.Now().UnixNano())
		// The write may have taken effect: release the claim if it has.
		go claimed.Release(context.WithoutCancel(ctx))
		return nil, &UnavailableError{cause: err}
	}
	if err != nil {
		return nil, err
	}
	claimed.version = version
	return claimed, nil
}

// takeReleased takes over a claim that was released after an earlier attempt.
func (c *Claims) takeReleased(ctx context.Context, claimed *Claim) (uint64, error) {
	var found record
	version, err := object.GetRecord(ctx, c.platform, objectKind, claimed.name, &found)
	if err != nil {
		return 0, err
	}
	if !found.Released {
		return 0, &TakenError{Node: found.Node}
	}
	version, err = object.PutRecord(ctx, c.platform, objectKind, claimed.name, claimed.record, version)
	var conflict *object.ConflictError
	if errors.As(err, &conflict) {
		return 0, &TakenError{Node: "another node"}
	}
	return version, err
}

// Release releases the claim of a request that certainly did not run, unless
// another write has replaced it.
func (c *Claim) Release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	var found record
	version, err := object.GetRecord(ctx, c.claims.platform, objectKind, c.name, &found)
	if err != nil {
		event.ClaimFailed.Log(c.claims.logger, zap.String("claim", c.name), zap.Error(err))
		return
	}
	if version == 0 || found.OperationID != c.record.OperationID {
		return
	}
	released := c.record
	released.OperationID = c.claims.newOperationID()
	released.Released = true
	if _, err := object.PutRecord(ctx, c.claims.platform, objectKind, c.name, released, version); err != nil {
		event.ClaimFailed.Log(c.claims.logger, zap.String("claim", c.name), zap.Error(err))
	}
}

// newOperationID returns an id that is unique across nodes and incarnations.
func (c *Claims) newOperationID() string {
	return fmt.Sprintf("%s-%d-%d", c.node, c.incarnation, c.operations.Add(1))
}

func objectName(service, request string) string {
	digest := sha256.Sum256([]byte(service + "\x00" + request))
	return hex.EncodeToString(digest[:16])
}
