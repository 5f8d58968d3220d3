package caller

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/currantloft/currantloft/entry"
	"github.com/currantloft/currantloft/steps"
	"github.com/currantloft/currantloft/waits"
)

const (
	digestBytes      = 16
	silenceLimit     = 3 * time.Second
	progressInterval = 500 * time.Millisecond
	requestProgress  = "Request-Progress"
	stepPause        = 100 * time.Millisecond
	maxStepWait      = 2 * time.Second
)

type (
	// Step is a whole step as a trainer gets it.
	Step struct {
		summary steps.Summary
		groups  []steps.Group
		asks    int
	}

	// stepLine is any line of a step's answer.
	stepLine struct {
		Error    string          `json:"error"`
		Progress *entry.Progress `json:"progress"`
		Step     *steps.Summary  `json:"step"`
		End      *steps.Summary  `json:"end"`
		Group    string          `json:"group"`
		Samples  []steps.Sample  `json:"samples"`
	}
)

// Summary describes the sample set.
func (s Step) Summary() steps.Summary { return s.summary }

// Groups returns the samples by group.
func (s Step) Groups() []steps.Group { return s.groups }

// Asks returns how often the step was asked for.
func (s Step) Asks() int { return s.asks }

// Step asks for a step until it has it whole or ctx ends. An answer that was
// cut is dropped as a whole.
func (c *Client) Step(ctx context.Context, trainer string, step uint64, groups []steps.GroupRequest) (Step, error) {
	for asks := 1; ; asks++ {
		got, err := c.stepOnce(ctx, trainer, step, groups)
		if err == nil {
			got.asks = asks
			return got, nil
		}
		wait := stepPause
		var refused *Error
		if errors.As(err, &refused) {
			if refused.Status() < http.StatusInternalServerError {
				return Step{}, err
			}
			wait = min(maxStepWait, max(wait, refused.RetryAfter()))
		}
		c.Forget()
		if waits.For(ctx, wait) != nil {
			return Step{}, err
		}
	}
}

func (c *Client) stepOnce(ctx context.Context, trainer string, step uint64, groups []steps.GroupRequest) (Step, error) {
	base, err := c.Node(ctx)
	if err != nil {
		return Step{}, err
	}
	return c.StepAt(ctx, base, trainer, step, groups)
}

// StepAt asks a given node once.
func (c *Client) StepAt(
	ctx context.Context, base, trainer string, step uint64, groups []steps.GroupRequest,
) (Step, error) {
	body, err := json.Marshal(steps.Request{Groups: groups})
	if err != nil {
		return Step{}, fmt.Errorf("encoding a step: %w", err)
	}
	header := make(http.Header)
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(requestTimeout, time.Until(deadline).String())
	}
	address := fmt.Sprintf("%s/v1/trainers/%s/steps/%d", base, trainer, step)
	header.Set(requestProgress, progressInterval.String())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence := time.AfterFunc(silenceLimit, cancel)
	defer silence.Stop()
	response, err := c.post(ctx, address, header, body)
	if err != nil {
		return Step{}, err
	}
	defer response.Body.Close()
	return readStep(response.Body, func() { silence.Reset(silenceLimit) })
}

// readStep reads a step and checks that it is whole; heard is called for each line.
func readStep(body io.Reader, heard func()) (Step, error) {
	var got Step
	sum := sha256.New()
	reader := bufio.NewReaderSize(body, initialLine)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return got, &CutError{cause: err}
		}
		heard()
		var parsed stepLine
		if err := json.Unmarshal(bytes.TrimSpace(line), &parsed); err != nil {
			return got, &CutError{cause: err}
		}
		switch {
		case parsed.Error != "":
			e := &Error{}
			_ = json.Unmarshal(line, &e.body)
			e.status = e.body.Status
			return got, e
		case parsed.Progress != nil:
		case parsed.Step != nil:
			got.summary = *parsed.Step
		case parsed.End != nil:
			digest := hex.EncodeToString(sum.Sum(nil)[:digestBytes])
			if digest != parsed.End.Digest || *parsed.End != got.summary {
				return got, &CutError{cause: fmt.Errorf("digest %s, want %s", digest, parsed.End.Digest)}
			}
			return got, nil
		default:
			sum.Write(line)
			got.groups = append(got.groups, steps.Group{Group: parsed.Group, Samples: parsed.Samples})
		}
	}
}
