// Package intact makes sure that clients take an HTTP answer for whole only if it is, and that
// answers take bounded memory while they are read.
//
// Clients of servers that may fail dial with Dial. It returns connections that tell an orderly
// end from a reset, since an answer without a length ends with its connection. NewClient returns a
// client that rejects answers whose heads net/http would accept although they are malformed, and
// that counts what answers take towards a Budget. ReadAll reads a body to its end. Readers that
// keep parts of a body count them with the Hold of its answer.
//
// # Usage
//
//	budget := intact.NewBudget(64 << 20)
//	client := intact.NewClient(&http.Transport{DialContext: intact.Dial(dialer.DialContext)}, budget)
//	response, err := client.Do(request)
//	...
//	defer response.Body.Close()
//	body, err := intact.ReadAll(response.Body, limit)
package intact

import (
	"context"
	"net"
)

// DialFunc opens a connection, like the method of net.Dialer.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function that dials with dial and returns connections that tell an orderly end
// from a reset.
func Dial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}
