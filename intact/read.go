package intact

import (
	"errors"
	"fmt"
	"io"
)

// firstBufferBytes is the size of the first buffer for a body. Servers may announce more than they
// send.
const firstBufferBytes = 512

// ErrTooLong reports that a body exceeds its limit.
var ErrTooLong = errors.New("the body is too long")

// ReadAll reads a body to its end. It returns an error if the body breaks off, exceeds the limit in
// bytes, or has to make room for others in the budget of its answer: what was read is no answer.
func ReadAll(body io.Reader, limit int64) ([]byte, error) {
	hold := HoldOf(body)
	limited := io.LimitReader(body, limit+1)
	var data []byte
	for {
		if len(data) == cap(data) {
			size := max(firstBufferBytes, 2*cap(data))
			if err := hold.Grow(int64(size - cap(data))); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := limited.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if int64(len(data)) > limit {
			return nil, fmt.Errorf("%w: over %d bytes", ErrTooLong, limit)
		}
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, fmt.Errorf("reading a body: %w", err)
		}
	}
}
