package entry

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/currantloft/currantloft/chart"
	"github.com/currantloft/currantloft/claim"
	"github.com/currantloft/currantloft/permit"
	"github.com/currantloft/currantloft/poison"
	"github.com/currantloft/currantloft/retry"
	"github.com/currantloft/currantloft/route"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	plainDial     = 500 * time.Millisecond
	plainIdle     = 64
	plainAttempts = 3
	maxAnswer     = 16 << 20
)

type (
	// plainCall is one request to a plain service.
	plainCall struct {
		server  *Server
		asked   *asked
		source  *http.Request
		ask     permit.Ask
		machine *chart.Machine
		held    *claim.Held
		written bool
		fresh   bool
		// crashed is set once an endpoint crashed with the request in flight.
		crashed bool
	}

	// plainAnswer is an endpoint's whole answer.
	plainAnswer struct {
		status int
		header http.Header
		body   []byte
	}
)

var attemptChart = chart.MustLoad("attempt")

// newPlainClient returns a client that keeps connections, or one that opens a
// new one for each request: then the transport never sends a request twice.
func newPlainClient(keep bool) *http.Client {
	dialer := &net.Dialer{Timeout: plainDial}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: plainIdle,
			DisableKeepAlives:   !keep,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
}

// call serves a request to a plain service.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	a, p := s.read(w, r, true)
	if p != nil {
		s.fail(w, *p)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), a.deadline)
	defer cancel()
	backend := a.service.Backend()
	c := &plainCall{
		server: s,
		asked:  a,
		source: r,
		ask: permit.Ask{
			Priority: wirepb.Priority_PRIORITY_INTERACTIVE,
			Share:    a.service.Name(),
			Weight:   1,
			Deadline: a.deadline,
			Fingerprint: poison.Fingerprint(backend+" "+r.Method+" "+r.PathValue("path")+"?"+r.URL.RawQuery,
				a.body),
		},
	}
	begun := time.Now()
	answer, err := c.run(ctx)
	s.parts.Scope.Timer("plain_request").Record(time.Since(begun))
	if err != nil {
		s.fail(w, problemOf(err, a.id))
		return
	}
	s.parts.Scope.Counter("requests_answered").Inc(1)
	for key, values := range answer.header {
		w.Header()[key] = values
	}
	w.Header().Set(headerRequestID, a.id)
	w.Header().Set(headerOutcome, outcomeAnswered)
	w.WriteHeader(answer.status)
	_, _ = w.Write(answer.body)
}

// run makes attempts until one is answered or the request is given up.
func (c *plainCall) run(ctx context.Context) (*plainAnswer, error) {
	c.server.budget.First()
	for attempt := 1; ; attempt++ {
		answer, err := c.attempt(ctx)
		if err == nil {
			return answer, nil
		}
		var final *route.Error
		again := !errors.As(err, &final) && attempt < plainAttempts && ctx.Err() == nil &&
			(c.asked.idempotent || !c.written) && c.server.budget.Allow()
		if again {
			_ = waits.For(ctx, retry.Delay(attempt))
			continue
		}
		if c.held != nil && !c.written {
			c.held.Release(context.WithoutCancel(ctx))
		}
		if c.crashed {
			c.server.parts.Ward.Spread(ctx)
		}
		if final != nil {
			return nil, final
		}
		return nil, route.NewError(c.outcome(), time.Second, err)
	}
}

func (c *plainCall) outcome() route.Outcome {
	if c.written {
		return route.Unknown
	}
	return route.NotRun
}

// attempt makes one attempt; only a *route.Error is final.
func (c *plainCall) attempt(ctx context.Context) (*plainAnswer, error) {
	c.machine = attemptChart.Start()
	parts := c.server.parts
	verdict := parts.Ward.Judge(c.ask.Fingerprint)
	if verdict == poison.Quarantined {
		return nil, route.NewError(route.Barred, 0, errors.New("the request crashed endpoints before"))
	}
	c.ask.Alone = verdict == poison.Suspect
	place, err := parts.Desk.Acquire(ctx, c.asked.service.Backend(), c.ask)
	if err != nil {
		return nil, route.Refused(err, c.outcome())
	}
	_ = c.machine.Fire("grant")
	if err := c.claim(ctx); err != nil {
		place.Done(permit.Result{Outcome: wirepb.Outcome_OUTCOME_NOT_RUN})
		return nil, err
	}
	begun := time.Now()
	answer, outcome, err := c.sendWithin(ctx, place.URL())
	place.Done(permit.Result{Outcome: outcome, Run: time.Since(begun)})
	if err != nil {
		if outcome != wirepb.Outcome_OUTCOME_UNKNOWN {
			c.ask.Exclude = append(c.ask.Exclude, place.Endpoint())
		}
		if outcome == wirepb.Outcome_OUTCOME_CRASHED {
			c.crashed = true
			parts.Ward.Crashed(c.ask.Fingerprint, c.ask.Alone)
		}
	}
	return answer, err
}

func (c *plainCall) claim(ctx context.Context) error {
	take := c.server.claimOf(c.asked)
	if take == nil || c.held != nil {
		return nil
	}
	held, err := route.TakeClaim(ctx, take)
	c.held = held
	return err
}

// sendWithin sends an idempotent request on a kept connection for as long as
// the progress limit allows, since that connection may have gone silent; every
// later attempt and every non-idempotent request uses a new connection.
func (c *plainCall) sendWithin(ctx context.Context, base string) (*plainAnswer, wirepb.Outcome, error) {
	if c.fresh || !c.asked.idempotent {
		return c.send(ctx, c.server.fresh, base)
	}
	c.fresh = true
	limited, cancel := context.WithTimeout(ctx, c.asked.service.Progress())
	defer cancel()
	return c.send(limited, c.server.plain, base)
}

// send writes the request to the endpoint and reads the whole answer.
func (c *plainCall) send(
	ctx context.Context, client *http.Client, base string,
) (*plainAnswer, wirepb.Outcome, error) {
	var written atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { written.Store(true) },
	})
	request, err := http.NewRequestWithContext(traced, c.source.Method, c.target(base), bytes.NewReader(c.asked.body))
	if err != nil {
		return nil, wirepb.Outcome_OUTCOME_NOT_RUN, err
	}
	request.Header.Set("Content-Type", c.source.Header.Get("Content-Type"))
	request.Header.Set(headerRequestID, c.asked.id)
	response, err := client.Do(request)
	c.written = c.written || written.Load()
	if err != nil {
		return nil, c.judge(written.Load(), err), err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = fmt.Errorf("the answer is larger than %d bytes", maxAnswer)
	}
	if err != nil {
		return nil, c.judge(true, err), err
	}
	_ = c.machine.Fire("connect")
	_ = c.machine.Fire("write")
	_ = c.machine.Fire("answer")
	header := response.Header.Clone()
	header.Del("Connection")
	header.Del("Content-Length")
	return &plainAnswer{status: response.StatusCode, header: header, body: body}, wirepb.Outcome_OUTCOME_ANSWERED, nil
}

// judge says what a transport error means for the endpoint.
func (c *plainCall) judge(written bool, err error) wirepb.Outcome {
	switch {
	case errors.Is(err, context.Canceled):
		return wirepb.Outcome_OUTCOME_CANCELLED
	case !written:
		return wirepb.Outcome_OUTCOME_SILENT
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET):
		return wirepb.Outcome_OUTCOME_CRASHED
	default:
		return wirepb.Outcome_OUTCOME_UNKNOWN
	}
}

func (c *plainCall) target(base string) string {
	target := base + "/" + c.source.PathValue("path")
	if c.source.URL.RawQuery != "" {
		target += "?" + c.source.URL.RawQuery
	}
	return target
}
