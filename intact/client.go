package intact

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// maxHeadBytes limits the head of an answer, interim answers included, unless the transport has
// a limit of its own.
const maxHeadBytes = 64 << 10

// transport is an http.Transport whose connections check the heads of answers.
type transport struct{ base *http.Transport }

// NewClient returns a client over the transport, which it takes over. The transport's DialContext
// must return connections that tell an orderly end from a reset, like those of Dial. A request
// fails if the head of its answer is malformed. Redirects are not followed.
func NewClient(base *http.Transport) *http.Client {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: conn}, nil
	}
	if base.MaxResponseHeaderBytes == 0 {
		base.MaxResponseHeaderBytes = maxHeadBytes
	}
	return &http.Client{
		Transport:     &transport{base: base},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// RoundTrip sends a request and returns its answer.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*headConn); ok {
				conn.expectAnswer()
			}
		},
	})
	return t.base.RoundTrip(request.WithContext(ctx))
}

// CloseIdleConnections closes the connections that no request uses.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
