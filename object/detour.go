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
	detourLife    = 5 * time.Second
	detourTimeout = 3 * time.Second
)

// either makes a call directly, or through another node if the platform does
// not answer here. While a detour works it is taken first.
func (c *Client) either(ctx context.Context, call *wirepb.PlatformCall) (Value, error) {
	if c.detour != nil && time.Now().UnixNano() < c.until.Load() {
		if value, err := c.around(ctx, call); !errors.Is(err, ErrUnavailable) {
			return value, err
		}
	}
	value, err := c.direct(ctx, call)
	if c.detour == nil || !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
		return value, err
	}
	detoured, detourErr := c.around(ctx, call)
	if errors.Is(detourErr, ErrUnavailable) {
		return value, errors.Join(err, detourErr)
	}
	return detoured, detourErr
}

// around makes a call through another node.
func (c *Client) around(ctx context.Context, call *wirepb.PlatformCall) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, detourTimeout)
	defer cancel()
	reply, err := c.detour(ctx, call)
	if err != nil {
		c.until.Store(0)
		return Value{}, fmt.Errorf("calling the platform through another node: %w", errors.Join(ErrUnavailable, err))
	}
	value, err := judge(int(reply.GetStatus()), reply.GetVersion(), reply.GetBody())
	if errors.Is(err, ErrUnavailable) {
		c.until.Store(0)
		return value, err
	}
	c.until.Store(time.Now().Add(detourLife).UnixNano())
	return value, err
}

// Serve makes a call for another node, without a detour of its own.
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
