package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// OrderKind says what an order does.
type OrderKind string

// Kinds of orders.
const (
	// OrderLoad fetches a weight version into memory and keeps serving the old one.
	OrderLoad OrderKind = "load"
	// OrderSwitch serves a loaded weight version.
	OrderSwitch OrderKind = "switch"
	// OrderUnload drops a version that is not being served.
	OrderUnload OrderKind = "unload"
)

type (
	// Order tells an engine to change what it has loaded or serves.
	Order struct {
		// Operation is the same for each try of one order.
		Operation string `json:"operation"`
		// Fence is the fencing number of the node that gives the order.
		Fence uint64 `json:"fence"`
		// Kind says what to do.
		Kind OrderKind `json:"kind"`
		// Version is the weight version concerned.
		Version uint64 `json:"version"`
	}

	// FencedError says that the engine has seen a higher fencing number.
	FencedError struct {
		// Fence is the number that the engine has seen.
		Fence uint64
	}

	fencedBody struct {
		Fence uint64 `json:"fence"`
	}
)

// Error returns the refusal as one line.
func (e *FencedError) Error() string {
	return fmt.Sprintf("order refused: the engine has seen fencing number %d", e.Fence)
}

// Order gives an order. A load is answered once the engine has begun it, a
// switch or an unload once it is done or has failed.
func (c *Client) Order(ctx context.Context, base string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encoding an order: %w", err)
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("building an order: %w", err)
	}
	response, err := c.http.Do(call)
	if err != nil {
		return fmt.Errorf("giving an order: %w", err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxStatus))
	if err != nil {
		return fmt.Errorf("reading the answer to an order: %w", err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		var refused fencedBody
		_ = json.Unmarshal(text, &refused)
		return &FencedError{Fence: refused.Fence}
	default:
		return fmt.Errorf("order %s %d: engine answered %s: %s",
			order.Kind, order.Version, response.Status, bytes.TrimSpace(text))
	}
}
