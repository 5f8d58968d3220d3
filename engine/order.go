package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/currantloft/currantloft/intact"
)

// OrderKind is the action of an order.
type OrderKind string

// Kinds of orders.
const (
	// OrderLoad loads a weight version into memory; the engine keeps serving the
	// current one.
	OrderLoad OrderKind = "load"
	// OrderSwitch makes the engine serve a loaded weight version.
	OrderSwitch OrderKind = "switch"
	// OrderUnload removes from memory a weight version that is not being served.
	OrderUnload OrderKind = "unload"
)

type (
	// Order makes an engine load, serve or unload a weight version.
	Order struct {
		// Operation identifies the order; retries repeat it.
		Operation string `json:"operation"`
		// Fence is the fencing token of the node that sends the order.
		Fence uint64 `json:"fence"`
		// Kind is the action.
		Kind OrderKind `json:"kind"`
		// Version is the weight version to load, serve or unload.
		Version uint64 `json:"version"`
	}

	// FencedError reports that the engine has seen a higher fencing token.
	FencedError struct {
		// Fence is the token that the engine has seen.
		Fence uint64
	}

	fencedResponse struct {
		Fence uint64 `json:"fence"`
	}
)

// Error returns the rejection as one line.
func (e *FencedError) Error() string {
	return fmt.Sprintf("order rejected: the engine has seen fencing token %d", e.Fence)
}

// SendOrder sends an order. The engine responds to a load once it has started it,
// and to a switch or an unload once it is done or has failed.
func (c *Client) SendOrder(ctx context.Context, base string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return fmt.Errorf("encoding an order: %w", err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, base+"/v1/orders", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("building an order: %w", err)
	}
	response, err := c.pooled.Do(httpRequest)
	if err != nil {
		return fmt.Errorf("sending an order: %w", err)
	}
	defer response.Body.Close()
	text, err := intact.ReadAll(response.Body, maxResponseBytes)
	if err != nil {
		return fmt.Errorf("reading the response to an order: %w", err)
	}
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		var fenced fencedResponse
		_ = json.Unmarshal(text, &fenced)
		return &FencedError{Fence: fenced.Fence}
	default:
		return fmt.Errorf("order %s %d: engine answered %s: %s",
			order.Kind, order.Version, response.Status, bytes.TrimSpace(text))
	}
}
