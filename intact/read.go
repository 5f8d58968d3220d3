package intact

import (
	"errors"
	"fmt"
	"io"
)

// ErrTooLong reports that a body exceeds its limit.
var ErrTooLong = errors.New("the body is too long")

// ReadAll reads a body to its end. It returns an error if the body breaks off or exceeds the limit
// in bytes: what was read of it is no answer.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, fmt.Errorf("reading a body: %w", err)
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%w: over %d bytes", ErrTooLong, limit)
	}
	return data, nil
}
