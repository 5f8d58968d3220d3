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
	digestBytes               = 16
	stallTimeout              = 3 * time.Second
	requestedProgressInterval = 500 * time.Millisecond
	headerRequestProgress     = "Request-Progress"
	stepRetryDelay            = 100 * time.Millisecond
	maxStepRetryDelay         = 2 * time.Second
)

type (
	// Step is a complete step, as delivered to a trainer.
	Step struct {
		summary  steps.Summary
		groups   []steps.Group
		attempts int
	}

	// stepLine holds the fields of all kinds of lines in a step's answer.
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

// Attempts returns how many requests were needed to get the step.
func (s Step) Attempts() int { return s.attempts }

// Step requests a step, from a random node each time, until it receives a
// complete answer, a node rejects the request with a status below 500, or ctx
// ends. It discards incomplete answers.
func (c *Client) Step(ctx context.Context, trainer string, step uint64, groups []steps.GroupRequest) (Step, error) {
	for attempt := 1; ; attempt++ {
		got, err := c.stepOnce(ctx, trainer, step, groups)
		if err == nil {
			got.attempts = attempt
			return got, nil
		}
		wait := stepRetryDelay
		var callErr *Error
		if errors.As(err, &callErr) {
			if callErr.Status() < http.StatusInternalServerError {
				return Step{}, err
			}
			wait = min(maxStepRetryDelay, max(wait, callErr.RetryAfter()))
		}
		c.ExpireAddresses()
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

// StepAt requests a step from the given node once. It returns an error if
// the node sends no line, not even a progress line, for stallTimeout.
func (c *Client) StepAt(
	ctx context.Context, base, trainer string, step uint64, groups []steps.GroupRequest,
) (Step, error) {
	body, err := json.Marshal(steps.Request{Groups: groups})
	if err != nil {
		return Step{}, fmt.Errorf("encoding a step request: %w", err)
	}
	header := make(http.Header)
	if deadline, ok := ctx.Deadline(); ok {
		header.Set(headerRequestTimeout, time.Until(deadline).String())
	}
	address := fmt.Sprintf("%s/v1/trainers/%s/steps/%d", base, trainer, step)
	header.Set(headerRequestProgress, requestedProgressInterval.String())
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stallTimer := time.AfterFunc(stallTimeout, cancel)
	defer stallTimer.Stop()
	response, err := c.postOK(ctx, address, header, body)
	if err != nil {
		return Step{}, err
	}
	defer response.Body.Close()
	return readStep(response.Body, func() { stallTimer.Reset(stallTimeout) })
}

// readStep reads a step and verifies its digest; it calls onLine for each line.
func readStep(body io.Reader, onLine func()) (Step, error) {
	var got Step
	sum := sha256.New()
	reader := bufio.NewReaderSize(body, initialLineBytes)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return got, &IncompleteError{cause: err}
		}
		onLine()
		var parsed stepLine
		if err := json.Unmarshal(bytes.TrimSpace(line), &parsed); err != nil {
			return got, &IncompleteError{cause: err}
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
				return got, &IncompleteError{cause: fmt.Errorf("digest or summary mismatch: digest %s, want %s", digest, parsed.End.Digest)}
			}
			return got, nil
		default:
			sum.Write(line)
			got.groups = append(got.groups, steps.Group{Group: parsed.Group, Samples: parsed.Samples})
		}
	}
}
