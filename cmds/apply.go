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
	defaultWait = 30 * time.Second
	applyTries  = 3
	baseInForce = -1
)

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "put a whole set of declarations in force",
		ArgsUsage: "FOLDER",
		Flags: []cli.Flag{
			nodesFlag(),
			&cli.Int64Flag{
				Name: "base", Value: baseInForce,
				Usage: "`GENERATION` that the change was made against; without it, the one in force now",
			},
			&cli.StringFlag{Name: "operation", Usage: "`ID` of an earlier try whose outcome is not known"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the set is in force at every node"},
			&cli.DurationFlag{Name: "timeout", Value: defaultWait, Usage: "how long to wait"},
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
	_, document, err := inForce(ctx, client, nodes)
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
	if base := c.Int64("base"); base != baseInForce {
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

// applyAnywhere tries the nodes in turn; the operation id makes that idempotent.
func applyAnywhere(
	ctx context.Context, client *caller.Client, nodes []string, request active.Request,
) (applied entry.Applied, err error) {
	for range applyTries {
		for _, node := range nodes {
			applied, err = client.Apply(ctx, node, request)
			var conflict *caller.ConflictError
			var refused *caller.Error
			final := errors.As(err, &conflict) ||
				(errors.As(err, &refused) && refused.Status() < http.StatusInternalServerError)
			if err == nil || final || ctx.Err() != nil {
				return applied, err
			}
		}
	}
	return applied, err
}

// explainApply says what an operator should do next.
func explainApply(err error, operation string) error {
	var conflict *caller.ConflictError
	var refused *caller.Error
	switch {
	case errors.As(err, &conflict):
		return &exitError{code: ExitConflict, cause: fmt.Errorf(
			"another apply came first, generation %d is in force; against it your set changes:\n  %s\nread it and apply again",
			conflict.Generation(), strings.Join(conflict.Changes(), "\n  "))}
	case errors.As(err, &refused) && refused.Status() < http.StatusInternalServerError:
		findings := strings.Join(refused.Body().Findings, "\n  ")
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
	begun := time.Now()
	if _, err := client.AwaitGeneration(ctx, runningNodes(status), generation); err != nil {
		return fmt.Errorf("accepted, but not in force everywhere yet, see currantloft status: %w", err)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "in force at %d nodes after %s\n",
		len(runningNodes(status)), time.Since(begun).Round(time.Millisecond))
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
