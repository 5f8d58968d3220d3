package object

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/currantloft/currantloft/wirepb"
)

const (
	fallbackDuration = 5 * time.Second
	fallbackTimeout  = 3 * time.Second
)

// callWithFallback makes a call directly, or through another node if the platform
// does not answer this one. After a call through another node succeeded, further
// calls try that way first for fallbackDuration.
func (c *Client) callWithFallback(ctx context.Context, call *wirepb.PlatformCall) (Value, error) {
	if c.fallback != nil && time.Now().UnixNano() < c.fallbackUntil.Load() {
		if value, err := c.callThroughPeer(ctx, call); !errors.Is(err, ErrUnavailable) {
			return value, err
		}
	}
	value, err := c.direct(ctx, call)
	if c.fallback == nil || !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
		return value, err
	}
	peerValue, peerErr := c.callThroughPeer(ctx, call)
	if errors.Is(peerErr, ErrUnavailable) {
		return value, errors.Join(err, peerErr)
	}
	return peerValue, peerErr
}

// callThroughPeer makes a call through another node.
func (c *Client) callThroughPeer(ctx context.Context, call *wirepb.PlatformCall) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, fallbackTimeout)
	defer cancel()
	reply, err := c.fallback(ctx, call)
	if err != nil {
		c.fallbackUntil.Store(0)
		return Value{}, fmt.Errorf("calling the platform through another node: %w", errors.Join(ErrUnavailable, err))
	}
	value, err := statusResult(int(reply.GetStatus()), reply.GetVersion(), reply.GetBody())
	if errors.Is(err, ErrUnavailable) {
		c.fallbackUntil.Store(0)
		return value, err
	}
	c.fallbackUntil.Store(time.Now().Add(fallbackDuration).UnixNano())
	return value, err
}

// Serve makes a call for another node, without a peer fallback of its own.
func (c *Client) Serve(ctx context.Context, call *wirepb.PlatformCall) *wirepb.PlatformReply {
	value, err := c.direct(ctx, call)
	reply := &wirepb.PlatformReply{Status: http.StatusOK, Version: value.version, Body: value.body}
	var conflict *ConflictError
	switch {
	case errors.As(err, &conflict):
		reply.Status, reply.Version = http.StatusConflict, conflict.Version
	case errors.Is(err, ErrNotFound):
		reply.Status = http.StatusNotFound
	case err != nil:
		reply.Status = 0
	}
	return reply
}
