// Package intact makes sure that clients take an HTTP answer for whole only if it is.
//
// Clients of servers that may fail dial with Dial. It returns connections that tell an orderly
// end from a reset, since an answer without a length ends with its connection. NewClient returns a
// client that rejects answers whose heads net/http would accept although they are malformed.
//
// # Usage
//
//	client := intact.NewClient(&http.Transport{DialContext: intact.Dial(dialer.DialContext)})
//	response, err := client.Do(request)
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
