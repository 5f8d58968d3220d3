package intact

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
)

type (
	// transport is an http.Transport that checks the heads of answers and counts what they take.
	transport struct {
		base   *http.Transport
		budget *Budget
	}

	// exchange is a request and its answer.
	exchange struct {
		// hold is what the answer takes.
		hold   *Hold
		cancel context.CancelCauseFunc
		// keepHold prevents that the end of the context closes the hold.
		keepHold func() bool
	}

	// countedBody is a body whose answer takes memory until it is closed.
	countedBody struct {
		io.ReadCloser
		exchange exchange
	}
)

// NewClient returns a client over the transport, which it takes over. The transport's DialContext
// must return connections that tell an orderly end from a reset, like those of Dial. A request
// fails if the head of its answer is malformed. Redirects are not followed. What answers take until
// their bodies are closed counts towards the budget, if it is not nil; ErrNoMemory is the error of
// those that are given up for others.
func NewClient(base *http.Transport, budget *Budget) *http.Client {
	dial := base.DialContext
	base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &headConn{Conn: conn}, nil
	}
	base.MaxResponseHeaderBytes = maxHeadBytes
	return &http.Client{
		Transport:     &transport{base: base, budget: budget},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// RoundTrip sends a request and returns its answer.
func (t *transport) RoundTrip(request *http.Request) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(request.Context())
	hold := t.budget.Open(func() { cancel(ErrNoMemory) })
	// The body of an answer that nobody wants any more may never be closed.
	x := exchange{hold: hold, cancel: cancel, keepHold: context.AfterFunc(ctx, hold.Close)}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if conn, ok := info.Conn.(*headConn); ok {
				conn.expectAnswer(hold)
			}
		},
	})
	response, err := t.base.RoundTrip(request.WithContext(ctx))
	if err != nil {
		x.end()
		return nil, err
	}
	if response.Body == http.NoBody {
		x.end()
		return response, nil
	}
	response.Body = &countedBody{ReadCloser: response.Body, exchange: x}
	return response, nil
}

// end ends an exchange.
func (x exchange) end() {
	x.keepHold()
	x.hold.Close()
	x.cancel(nil)
}

// CloseIdleConnections closes the connections that no request uses.
func (t *transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// Hold returns what the answer takes.
func (b *countedBody) Hold() *Hold { return b.exchange.hold }

// Close closes the body and returns what the answer takes.
func (b *countedBody) Close() error {
	defer b.exchange.end()
	return b.ReadCloser.Close()
}
