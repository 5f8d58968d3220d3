package cmds

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/entry"
)

const (
	defaultWait   = 30 * time.Second
	applyAttempts = 3
	baseCurrent   = -1
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "apply a complete set of declarations",
		ArgsUsage: "FOLDER",
		Flags: []cli.Flag{
			nodesFlag(),
			&cli.Int64Flag{
				Name: "base", Value: baseCurrent,
				Usage: "`GENERATION` that the change is based on, -1 for the one in force",
			},
			&cli.StringFlag{Name: "operation", Usage: "`ID` of an earlier attempt whose outcome is unknown, to repeat it"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the set is in force at every node"},
			&cli.DurationFlag{Name: "timeout", Value: defaultWait, Usage: "time limit of the command"},
		},
		Action: apply,
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	files, set, err := readSet(c)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	nodes := c.StringSlice("node")
	client := caller.New(nodes, "")
	defer client.Close()
	_, document, err := latestConfig(ctx, client, nodes)
	if err != nil {
		return err
	}
	if err := printPlan(c, document, set); err != nil {
		return err
	}
	request := active.Request{OperationID: c.String("operation"), Base: document.Generation}
	if request.OperationID == "" {
		request.OperationID = rand.Text()
	}
	if base := c.Int64("base"); base != baseCurrent {
		request.Base = uint64(base)
	}
	for _, f := range files {
		request.Files = append(request.Files, active.DocumentFile{Name: f.Name(), Body: string(f.Body())})
	}
	applied, err := applyAnywhere(ctx, client, nodes, request)
	if err != nil {
		return explainApply(err, request.OperationID)
	}
	out := c.Root().Writer
	if _, err := fmt.Fprintf(out, "accepted as generation %d\n", applied.Generation); err != nil {
		return err
	}
	if !c.Bool("wait") {
		return nil
	}
	return waitInForce(ctx, c, client, nodes, applied.Generation)
}

// applyAnywhere sends the request to the nodes in turn, at most applyAttempts
// times each, until one accepts or rejects it. The operation ID makes repeated
// requests idempotent.
func applyAnywhere(
	ctx context.Context, client *caller.Client, nodes []string, request active.Request,
) (applied entry.Applied, err error) {
	for range applyAttempts {
		for _, node := range nodes {
			applied, err = client.Apply(ctx, node, request)
			var conflict *caller.ConflictError
			var callErr *caller.Error
			definite := errors.As(err, &conflict) ||
				(errors.As(err, &callErr) && callErr.Status() < http.StatusInternalServerError)
			if err == nil || definite || ctx.Err() != nil {
				return applied, err
			}
		}
	}
	return applied, err
}

// explainApply adds the operator's next step and the exit code to an error.
func explainApply(err error, operation string) error {
	var conflict *caller.ConflictError
	var callErr *caller.Error
	switch {
	case errors.As(err, &conflict):
		return &exitError{code: ExitConflict, cause: fmt.Errorf(
			"another apply came first, generation %d is in force; compared with it your set changes:\n  %s\nreview the changes and apply again",
			conflict.Generation(), strings.Join(conflict.Changes(), "\n  "))}
	case errors.As(err, &callErr) && callErr.Status() < http.StatusInternalServerError:
		findings := strings.Join(callErr.Body().Findings, "\n  ")
		return &exitError{code: ExitFindings, cause: fmt.Errorf("%w\n  %s", err, findings)}
	default:
		return &exitError{code: ExitUnknown, cause: fmt.Errorf(
			"%w\nit is not known whether the set was accepted: apply again with --operation %s", err, operation)}
	}
}

func waitInForce(ctx context.Context, c *cli.Command, client *caller.Client, nodes []string, generation uint64) error {
	status, err := firstStatus(ctx, client, nodes)
	if err != nil {
		return err
	}
	start := time.Now()
	if _, err := client.AwaitGeneration(ctx, runningNodes(status), generation); err != nil {
		return fmt.Errorf("accepted, but not in force everywhere yet, see currantloft status: %w", err)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "in force at %d nodes after %s\n",
		len(runningNodes(status)), time.Since(start).Round(time.Millisecond))
	return err
}

// runningNodes returns the addresses of the nodes that are not dead.
func runningNodes(status entry.Status) []string {
	var nodes []string
	for _, m := range status.Members {
		if m.State != "dead" {
			nodes = append(nodes, m.URL)
		}
	}
	return nodes
}
