package detour

import (
	"errors"
	"fmt"
	"io"

	"github.com/currantloft/currantloft/intact"
	"github.com/currantloft/currantloft/reach"
)

// flightBody is the body of an answer whose path is watched until it is closed.
type flightBody struct {
	io.ReadCloser
	flight *flight
}

// Read reads from the body. Its error wraps reach.ErrPathLost if the path was found
// broken.
func (b *flightBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.flight.heard()
	}
	if err != nil && !errors.Is(err, io.EOF) && b.flight.lost.Load() {
		err = fmt.Errorf("%w: %w", reach.ErrPathLost, err)
	}
	return n, err
}

// Hold returns what the answer takes of a budget.
func (b *flightBody) Hold() *intact.Hold { return intact.HoldOf(b.ReadCloser) }

// Close ends the flight.
func (b *flightBody) Close() error {
	defer b.flight.end()
	return b.ReadCloser.Close()
}
