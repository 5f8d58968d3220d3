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
	maxStepBody    = 32 << 20
	stepTimeout    = 10 * time.Minute
	keeperPause    = 200 * time.Millisecond
	minProgress    = 100 * time.Millisecond
	headerProgress = "Request-Progress"
	outcomeWaiting = route.Outcome("not_ready")
)

type (
	// httpSink writes a step's answer to a trainer.
	httpSink struct {
		server *Server

		mu       sync.Mutex
		writer   http.ResponseWriter
		progress bool
		begun    bool
		cut      bool
	}

	// Progress says that the step is being made.
	Progress struct {
		// WaitedMs is how long the request has waited, in milliseconds.
		WaitedMs int64 `json:"waited_ms"`
	}

	// ProgressLine is a line before a step's own lines.
	ProgressLine struct {
		// Progress is what the line says.
		Progress Progress `json:"progress"`
	}

	// peerSink writes a step's answer to another node.
	peerSink struct {
		stream *peers.Stream
	}
)

// step serves a trainer's request for a step.
func (s *Server) step(w http.ResponseWriter, r *http.Request) {
	call, p := s.readStep(w, r)
	if p != nil {
		s.fail(w, *p)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(call.GetDeadlineMs())*time.Millisecond)
	defer cancel()
	sink := &httpSink{server: s, writer: w}
	begun := time.Now()
	if text := r.Header.Get(headerProgress); text != "" {
		interval, err := time.ParseDuration(text)
		if err != nil || interval < minProgress {
			s.fail(w, problem{
				status: http.StatusBadRequest, outcome: route.NotRun,
				text: fmt.Sprintf("%s: want a duration of at least %s, got %q", headerProgress, minProgress, text),
			})
			return
		}
		stop := sink.reportProgress(interval)
		defer stop()
	}
	s.carryStep(ctx, call, sink)
	s.parts.Scope.Timer("step_request").Record(time.Since(begun))
	if sink.cut {
		// The trainer must see that the answer is not whole.
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
	limit := stepTimeout
	if text := r.Header.Get(headerTimeLimit); text != "" {
		if limit, err = time.ParseDuration(text); err != nil || limit <= 0 {
			return fail(http.StatusBadRequest, "%s: want a duration such as 30s, got %q", headerTimeLimit, text)
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxStepBody))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fail(http.StatusRequestEntityTooLarge, "the body is larger than %d bytes", maxStepBody)
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

// carryStep passes the call to the trainer's keeper. A keeper that is lost
// before its answer has begun is replaced by the next one.
func (s *Server) carryStep(ctx context.Context, call *wirepb.StepCall, sink *httpSink) {
	for {
		keeper, ok := steps.KeeperOf(s.parts.Members.View(), call.GetTrainer())
		if ok && keeper.Name() == s.parts.Members.View().Self() {
			s.parts.Steps.Serve(ctx, call, sink)
			return
		}
		var err error
		if ok {
			err = s.forwardStep(ctx, keeper, call, sink)
		}
		if (ok && err == nil) || sink.begun {
			return
		}
		if waits.For(ctx, keeperPause) != nil {
			_ = sink.Head(&wirepb.StepHead{
				Status:       http.StatusServiceUnavailable,
				Outcome:      string(outcomeWaiting),
				RetryAfterMs: time.Second.Milliseconds(),
				Reason:       "the step is not whole yet",
			})
			return
		}
	}
}

// forwardStep relays the call to another node. While the step is being made it
// watches that the node is still the keeper.
func (s *Server) forwardStep(ctx context.Context, keeper member.Node, call *wirepb.StepCall, sink *httpSink) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if deadline, ok := ctx.Deadline(); ok {
		call.DeadlineMs = time.Until(deadline).Milliseconds()
	}
	stream, err := s.parts.Pool.Open(ctx, keeper.PeerAddress(), &wirepb.Frame{Body: &wirepb.Frame_StepCall{StepCall: call}})
	if err != nil {
		return err
	}
	defer stream.Close()
	go s.watchKeeper(ctx, cancel, keeper)
	for {
		frame, err := stream.Recv()
		if err != nil {
			if sink.begun {
				sink.cut = true
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

// watchKeeper gives a call up once its keeper is no longer held alive.
func (s *Server) watchKeeper(ctx context.Context, cancel context.CancelFunc, keeper member.Node) {
	for waits.For(ctx, keeperPause) == nil {
		now, ok := s.parts.Members.View().Node(keeper.Name())
		if !ok || !now.Running() || now.Incarnation() != keeper.Incarnation() {
			cancel()
			return
		}
	}
}

// ServeStep answers another node that passes a trainer's request on.
func (s *Server) ServeStep(ctx context.Context, call *wirepb.StepCall, stream *peers.Stream) {
	s.inFlight.Add()
	defer s.inFlight.Done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		// The caller sends nothing more; an end means that it went away.
		_, _ = stream.Recv()
		cancel()
	}()
	s.parts.Steps.Serve(ctx, call, &peerSink{stream: stream})
}

// reportProgress begins the answer at once and adds a line every interval until
// the step's own lines begin, so that a trainer can tell waiting from silence.
func (h *httpSink) reportProgress(interval time.Duration) (stop func()) {
	h.progress = true
	h.writer.Header().Set("Content-Type", "application/x-ndjson")
	ctx, cancel := context.WithCancel(context.Background())
	var task sync.WaitGroup
	begun := time.Now()
	task.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for h.progressLine(time.Since(begun)) {
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

// progressLine adds one line, false once the step's own lines have begun.
func (h *httpSink) progressLine(waited time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.begun {
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

// Head sends the status, or the whole error answer.
func (h *httpSink) Head(head *wirepb.StepHead) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.begun = true
	if head.GetStatus() == http.StatusOK {
		h.cut = true
		if !h.progress {
			h.writer.Header().Set("Content-Type", "application/x-ndjson")
			h.writer.Header().Set(headerOutcome, head.GetOutcome())
			h.writer.WriteHeader(http.StatusOK)
		}
		return nil
	}
	p := problem{
		status:   int(head.GetStatus()),
		outcome:  route.Outcome(head.GetOutcome()),
		text:     head.GetReason(),
		retry:    time.Duration(head.GetRetryAfterMs()) * time.Millisecond,
		expected: head.GetExpected(),
	}
	if h.progress {
		return json.NewEncoder(h.writer).Encode(p.body())
	}
	h.server.fail(h.writer, p)
	return nil
}

// Data sends a part of the body.
func (h *httpSink) Data(data []byte) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, err := h.writer.Write(data)
	return err
}

// End notes whether the answer is whole.
func (h *httpSink) End(whole bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if whole {
		h.cut = false
	}
	return nil
}

// Head passes the head on.
func (p *peerSink) Head(head *wirepb.StepHead) error {
	return p.stream.Send(&wirepb.Frame{Body: &wirepb.Frame_StepHead{StepHead: head}})
}

// Data passes a part of the body on.
func (p *peerSink) Data(data []byte) error {
	return p.stream.Send(&wirepb.Frame{Body: &wirepb.Frame_StepData{StepData: &wirepb.StepData{Data: data}}})
}

// End passes the end on.
func (p *peerSink) End(whole bool) error {
	return p.stream.Send(&wirepb.Frame{Body: &wirepb.Frame_StepEnd{StepEnd: &wirepb.StepEnd{Whole: whole}}})
}
