package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/currantloft/currantloft/chart"
	"github.com/currantloft/currantloft/claim"
	"github.com/currantloft/currantloft/intact"
	"github.com/currantloft/currantloft/permit"
	"github.com/currantloft/currantloft/poison"
	"github.com/currantloft/currantloft/retry"
	"github.com/currantloft/currantloft/route"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	plainDialTimeout = 500 * time.Millisecond
	plainIdleConns   = 64
	plainAttempts    = 3
	maxResponseBytes = 16 << 20
)

type (
	// plainCall is one request to a plain service, over all its attempts.
	plainCall struct {
		server        *Server
		request       *serviceRequest
		httpRequest   *http.Request
		permitRequest permit.Request
		machine       *chart.Machine
		heldClaim     *claim.Claim
		// connected is set once an attempt had a connection, so that bytes may have
		// reached an endpoint.
		connected bool
		// skipPool makes the next attempt use a new connection.
		skipPool bool
		// crashed is set once an endpoint has crashed while it ran the request.
		crashed bool
	}

	// plainResponse is an endpoint's complete response.
	plainResponse struct {
		status int
		header http.Header
		body   []byte
	}
)

var attemptChart = chart.MustLoad("attempt")

// newPlainClient returns a client that reuses connections if pooled is true.
// Otherwise it opens a new connection for each request, on which the transport
// never resends a request. What endpoints answer counts towards the budget while it is read.
func newPlainClient(pooled bool, answers *intact.Budget) *http.Client {
	dialer := &net.Dialer{Timeout: plainDialTimeout}
	return intact.NewClient(&http.Transport{
		DialContext:         intact.Dial(dialer.DialContext),
		MaxIdleConnsPerHost: plainIdleConns,
		DisableKeepAlives:   !pooled,
	}, answers)
}

// call forwards a request to an endpoint of a plain service.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	req, p := s.readRequest(w, r, true)
	if p != nil {
		s.writeError(w, *p)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	backend := req.service.Backend()
	c := &plainCall{
		server:      s,
		request:     req,
		httpRequest: r,
		permitRequest: permit.Request{
			Priority: wirepb.Priority_PRIORITY_INTERACTIVE,
			Share:    req.service.Name(),
			Weight:   1,
			Deadline: req.deadline,
			Fingerprint: poison.Fingerprint(backend+" "+r.Method+" "+r.PathValue("path")+"?"+r.URL.RawQuery,
				req.body),
		},
	}
	start := time.Now()
	response, err := c.run(ctx)
	s.deps.Scope.Timer("plain_request").Record(time.Since(start))
	if err != nil {
		s.writeError(w, problemFromError(err, req.id))
		return
	}
	s.deps.Scope.Counter("requests_answered").Inc(1)
	for key, values := range response.header {
		w.Header()[key] = values
	}
	w.Header().Set(headerRequestID, req.id)
	w.Header().Set(headerOutcome, outcomeAnswered)
	w.WriteHeader(response.status)
	_, _ = w.Write(response.body)
}

// run makes attempts until one is answered or no retry is allowed.
func (c *plainCall) run(ctx context.Context) (*plainResponse, error) {
	c.server.retryBudget.RecordFirst()
	for attempt := 1; ; attempt++ {
		response, err := c.attempt(ctx)
		if err == nil {
			return response, nil
		}
		var final *route.Error
		retryable := !errors.As(err, &final) && attempt < plainAttempts && ctx.Err() == nil &&
			(c.request.idempotent || !c.connected) && c.server.retryBudget.Allow()
		if retryable {
			_ = waits.For(ctx, retry.Delay(attempt))
			continue
		}
		if c.heldClaim != nil && !c.connected {
			c.heldClaim.Release(context.WithoutCancel(ctx))
		}
		if c.crashed {
			c.server.deps.Quarantine.Spread(ctx)
		}
		if final != nil {
			return nil, final
		}
		return nil, route.NewError(c.outcome(), time.Second, err)
	}
}

func (c *plainCall) outcome() route.Outcome {
	if c.connected {
		return route.Unknown
	}
	return route.NotRun
}

// attempt makes one attempt. A *route.Error is final, any other error may be
// retried.
func (c *plainCall) attempt(ctx context.Context) (*plainResponse, error) {
	c.machine = attemptChart.Start()
	deps := c.server.deps
	status := deps.Quarantine.Status(c.permitRequest.Fingerprint)
	if status == poison.StatusQuarantined {
		return nil, route.NewError(route.Quarantined, 0, errors.New("the request crashed endpoints before"))
	}
	c.permitRequest.Alone = status == poison.StatusSuspect
	slot, err := deps.Dispatcher.Acquire(ctx, c.request.service.Backend(), c.permitRequest)
	if err != nil {
		return nil, route.FromPermitError(err, c.outcome())
	}
	_ = c.machine.Fire("grant")
	if err := c.claim(ctx); err != nil {
		slot.Done(permit.Result{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN})
		return nil, err
	}
	start := time.Now()
	response, outcome, err := c.sendOnce(ctx, slot.URL())
	slot.Done(permit.Result{Outcome: outcome, Run: time.Since(start)})
	if err != nil {
		if outcome != wirepb.Outcome_OUTCOME_UNKNOWN {
			c.permitRequest.Exclude = append(c.permitRequest.Exclude, slot.Endpoint())
		}
		if outcome == wirepb.Outcome_OUTCOME_CRASHED {
			c.crashed = true
			deps.Quarantine.Crashed(c.permitRequest.Fingerprint, c.permitRequest.Alone)
		}
	}
	return response, err
}

func (c *plainCall) claim(ctx context.Context) error {
	takeClaim := c.server.claimOf(c.request)
	if takeClaim == nil || c.heldClaim != nil {
		return nil
	}
	heldClaim, err := route.TakeClaim(ctx, takeClaim)
	c.heldClaim = heldClaim
	return err
}

// sendOnce sends the first attempt of an idempotent request on a pooled
// connection. That connection may be stalled, so the attempt is limited to the
// service's progress timeout. Later attempts and all non-idempotent requests use
// a new connection.
func (c *plainCall) sendOnce(ctx context.Context, base string) (*plainResponse, wirepb.Outcome, error) {
	if c.skipPool || !c.request.idempotent {
		return c.send(ctx, c.server.singleUseClient, base)
	}
	c.skipPool = true
	limited, cancel := context.WithTimeout(ctx, c.request.service.ProgressTimeout())
	defer cancel()
	return c.send(limited, c.server.pooledClient, base)
}

// send writes the request to the endpoint and reads the complete response.
func (c *plainCall) send(
	ctx context.Context, client *http.Client, base string,
) (*plainResponse, wirepb.Outcome, error) {
	var connected atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	outgoing, err := http.NewRequestWithContext(traced, c.httpRequest.Method, c.target(base), bytes.NewReader(c.request.body))
	if err != nil {
		return nil, wirepb.Outcome_OUTCOME_NOT_RUN, err
	}
	outgoing.Header.Set("Content-Type", c.httpRequest.Header.Get("Content-Type"))
	outgoing.Header.Set(headerRequestID, c.request.id)
	httpResponse, err := client.Do(outgoing)
	c.connected = c.connected || connected.Load()
	if err != nil {
		return nil, c.classify(connected.Load(), err), err
	}
	defer httpResponse.Body.Close()
	body, err := intact.ReadAll(httpResponse.Body, maxResponseBytes)
	if err != nil {
		return nil, c.classify(true, err), err
	}
	_ = c.machine.Fire("connect")
	_ = c.machine.Fire("write")
	_ = c.machine.Fire("answer")
	header := httpResponse.Header.Clone()
	header.Del("Connection")
	header.Del("Content-Length")
	return &plainResponse{status: httpResponse.StatusCode, header: header, body: body}, wirepb.Outcome_OUTCOME_ANSWERED, nil
}

// classify maps a transport error to the outcome reported for the endpoint.
func (c *plainCall) classify(connected bool, err error) wirepb.Outcome {
	switch {
	case errors.Is(err, context.Canceled):
		return wirepb.Outcome_OUTCOME_CANCELLED
	case !connected:
		return wirepb.Outcome_OUTCOME_SILENT
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET):
		return wirepb.Outcome_OUTCOME_CRASHED
	default:
		return wirepb.Outcome_OUTCOME_UNKNOWN
	}
}

func (c *plainCall) target(base string) string {
	target := base + "/" + c.httpRequest.PathValue("path")
	if c.httpRequest.URL.RawQuery != "" {
		target += "?" + c.httpRequest.URL.RawQuery
	}
	return target
}
