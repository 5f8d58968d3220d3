package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/currantloft/currantloft/member"
	"github.com/currantloft/currantloft/peers"
	"github.com/currantloft/currantloft/route"
	"github.com/currantloft/currantloft/steps"
	"github.com/currantloft/currantloft/waits"
	"github.com/currantloft/currantloft/wirepb"
)

const (
	maxStepBytes        = 32 << 20
	defaultStepTimeout  = 10 * time.Minute
	keeperPollInterval  = 200 * time.Millisecond
	minProgressInterval = 100 * time.Millisecond
	headerProgress      = "Request-Progress"
	outcomeNotReady     = route.Outcome("not_ready")
)

type (
	// httpSink writes a step's response to a trainer.
	httpSink struct {
		server *Server

		mu              sync.Mutex
		writer          http.ResponseWriter
		reportsProgress bool
		// started is set once the step's head was sent.
		started bool
		// incomplete is set by a head with status 200 and cleared at the end of a
		// complete response.
		incomplete bool
	}

	// Progress reports that the step is still being generated.
	Progress struct {
		// WaitedMs is how long the request has been waiting, in milliseconds.
		WaitedMs int64 `json:"waited_ms"`
	}

	// ProgressLine is a line of the response that precedes the step's own lines.
	ProgressLine struct {
		// Progress is the progress at the time of the line.
		Progress Progress `json:"progress"`
	}

	// peerSink writes a step's response to the node that forwarded the request.
	peerSink struct {
		stream *peers.Stream
	}
)

// step serves a trainer's request for a step, here or through the trainer's keeper.
func (s *Server) step(w http.ResponseWriter, r *http.Request) {
	call, p := s.readStep(w, r)
	if p != nil {
		s.writeError(w, *p)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(call.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	sink := &httpSink{server: s, writer: w}
	start := time.Now()
	if text := r.Header.Get(headerProgress); text != "" {
		interval, err := time.ParseDuration(text)
		if err != nil || interval < minProgressInterval {
			s.writeError(w, problem{
				status: http.StatusBadRequest, outcome: route.NotRun,
				text: fmt.Sprintf("%s: want a duration of at least %s, got %q", headerProgress, minProgressInterval, text),
			})
			return
		}
		stop := sink.reportProgress(interval)
		defer stop()
	}
	s.routeStep(ctx, call, sink)
	s.deps.Scope.Timer("step_request").Record(time.Since(start))
	if sink.incomplete {
		// Abort the connection, so that the trainer detects an incomplete response.
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) readStep(w http.ResponseWriter, r *http.Request) (*wirepb.StepCall, *problem) {
	fail := func(status int, format string, args ...any) (*wirepb.StepCall, *problem) {
		return nil, &problem{status: status, outcome: route.NotRun, text: fmt.Sprintf(format, args...)}
	}
	number, err := strconv.ParseUint(r.PathValue("step"), 10, 64)
	if err != nil {
		return fail(http.StatusBadRequest, "the step must be a whole number, got %q", r.PathValue("step"))
	}
	limit := defaultStepTimeout
	if text := r.Header.Get(headerRequestTimeout); text != "" {
		if limit, err = time.ParseDuration(text); err != nil || limit <= 0 {
			return fail(http.StatusBadRequest, "%s: want a duration such as 30s, got %q", headerRequestTimeout, text)
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStepBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fail(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", maxStepBytes)
	}
	if err != nil {
		return fail(http.StatusBadRequest, "reading the body: %v", err)
	}
	return &wirepb.StepCall{
		Trainer:    r.PathValue("trainer"),
		Step:       number,
		Body:       body,
		DeadlineMs: limit.Milliseconds(),
	}, nil
}

// routeStep passes the call to the trainer's keeper. If the keeper is lost before
// it has started to respond, the call goes to the next keeper.
func (s *Server) routeStep(ctx context.Context, call *wirepb.StepCall, sink *httpSink) {
	for {
		keeper, ok := steps.KeeperOf(s.deps.Members.View(), call.GetTrainer())
		if ok && keeper.Name() == s.deps.Members.View().Self() {
			s.deps.Steps.Serve(ctx, call, sink)
			return
		}
		var err error
		if ok {
			err = s.forwardStep(ctx, keeper, call, sink)
		}
		if (ok && err == nil) || sink.started {
			return
		}
		if waits.For(ctx, keeperPollInterval) != nil {
			_ = sink.Head(&wirepb.StepHead{
				Status:       http.StatusServiceUnavailable,
				Outcome:      string(outcomeNotReady),
				RetryAfterMs: time.Second.Milliseconds(),
				Reason:       "the step is not whole yet",
			})
			return
		}
	}
}

// forwardStep relays the call to the trainer's keeper on another node. It cancels
// the call once that node is not running or has restarted. It returns an error if
// it can't reach the keeper or the keeper's response broke off, but none if the
// trainer has disconnected.
func (s *Server) forwardStep(ctx context.Context, keeper member.Node, call *wirepb.StepCall, sink *httpSink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		call.DeadlineMs = time.Until(deadline).Milliseconds()
	}
	stream, err := s.deps.Pool.Open(ctx, keeper.PeerAddress(), &wirepb.Frame{Body: &wirepb.Frame_StepCall{StepCall: call}})
	if err != nil {
		return err
	}
	defer stream.Close()
	go s.watchKeeper(ctx, cancel, keeper)
	for {
		frame, err := stream.Recv()
		if err != nil {
			if sink.started {
				sink.incomplete = true
			}
			return err
		}
		switch body := frame.GetBody().(type) {
		case *wirepb.Frame_StepHead:
			err = sink.Head(body.StepHead)
		case *wirepb.Frame_StepData:
			err = sink.Data(body.StepData.GetData())
		case *wirepb.Frame_StepEnd:
			return sink.End(body.StepEnd.GetWhole())
		}
		if err != nil {
			return nil
		}
	}
}

// watchKeeper cancels a call once its keeper is not running or has restarted.
func (s *Server) watchKeeper(ctx context.Context, cancel context.CancelFunc, keeper member.Node) {
	for waits.For(ctx, keeperPollInterval) == nil {
		current, ok := s.deps.Members.View().Node(keeper.Name())
		if !ok || !current.Running() || current.Incarnation() != keeper.Incarnation() {
			cancel()
			return
		}
	}
}

// ServeStep serves a trainer's request that another node has forwarded.
func (s *Server) ServeStep(ctx context.Context, call *wirepb.StepCall, stream *peers.Stream) {
	s.inFlight.Add()
	defer s.inFlight.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The other node sends nothing more, so Recv returns only when it has
		// closed the stream.
		_, _ = stream.Recv()
		cancel()
	}()
	s.deps.Steps.Serve(ctx, call, &peerSink{stream: stream})
}

// reportProgress starts the response at once and adds a line every interval until
// the step's own lines start, so that a trainer can distinguish a slow step from a
// stalled connection.
func (h *httpSink) reportProgress(interval time.Duration) (stop func()) {
	h.reportsProgress = true
	h.writer.Header().Set("Content-Type", "application/x-ndjson")
	ctx, cancel := context.WithCancel(context.Background())
	var task sync.WaitGroup
	start := time.Now()
	task.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for h.progressLine(time.Since(start)) {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
	return func() {
		cancel()
		task.Wait()
	}
}

// progressLine writes one line. It returns false once the step's own lines have
// started or if the write failed.
func (h *httpSink) progressLine(waited time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.started {
		return false
	}
	line := ProgressLine{Progress: Progress{WaitedMs: waited.Milliseconds()}}
	if json.NewEncoder(h.writer).Encode(line) != nil {
		return false
	}
	if flusher, ok := h.writer.(http.Flusher); ok {
		flusher.Flush()
	}
	return true
}

// Head sends the status, or the complete error response.
func (h *httpSink) Head(head *wirepb.StepHead) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = true
	if head.GetStatus() == http.StatusOK {
		h.incomplete = true
		if !h.reportsProgress {
			h.writer.Header().Set("Content-Type", "application/x-ndjson")
			h.writer.Header().Set(headerOutcome, head.GetOutcome())
			h.writer.WriteHeader(http.StatusOK)
		}
		return nil
	}
	p := problem{
		status:       int(head.GetStatus()),
		outcome:      route.Outcome(head.GetOutcome()),
		text:         head.GetReason(),
		retryAfter:   time.Duration(head.GetRetryAfterMs()) * time.Millisecond,
		expectedStep: head.GetExpected(),
	}
	if h.reportsProgress {
		return json.NewEncoder(h.writer).Encode(p.body())
	}
	h.server.writeError(h.writer, p)
	return nil
}

// Data sends the next part of the body.
func (h *httpSink) Data(data []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := h.writer.Write(data)
	return err
}

// End records whether the response is complete.
func (h *httpSink) End(complete bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if complete {
		h.incomplete = false
	}
	return nil
}

// Head forwards the head.
func (p *peerSink) Head(head *wirepb.StepHead) error {
	return p.stream.Send(&wirepb.Frame{Body: &wirepb.Frame_StepHead{StepHead: head}})
}

// Data forwards the next part of the body.
func (p *peerSink) Data(data []byte) error {
	return p.stream.Send(&wirepb.Frame{Body: &wirepb.Frame_StepData{StepData: &wirepb.StepData{Data: data}}})
}

// End forwards the end.
func (p *peerSink) End(complete bool) error {
	return p.stream.Send(&wirepb.Frame{Body: &wirepb.Frame_StepEnd{StepEnd: &wirepb.StepEnd{Whole: complete}}})
}
