package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/currantloft/currantloft/active"
	"github.com/currantloft/currantloft/caller"
	"github.com/currantloft/currantloft/specs"
)

const defaultNode = "http://127.0.0.1:7480"

func planCommand() *cli.Command {
	return &cli.Command{
		Name:      "plan",
		Usage:     "show the changes that an apply would make",
		ArgsUsage: "FOLDER",
		Flags:     []cli.Flag{nodesFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			_, set, err := readSet(c)
			if err != nil {
				return err
			}
			client := caller.New(c.StringSlice("node"), "")
			defer client.Close()
			_, document, err := latestConfig(ctx, client, c.StringSlice("node"))
			if err != nil {
				return err
			}
			return printPlan(c, document, set)
		},
	}
}

func nodesFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name: "node", Aliases: []string{"n"}, Usage: "`URL` of a node to connect to, may be repeated",
		Value: []string{defaultNode}, Sources: cli.EnvVars("CURRANTLOFT_NODE"),
	}
}

// latestConfig returns the configuration with the highest generation that is in force
// at the given nodes, and the node that has it.
func latestConfig(ctx context.Context, client *caller.Client, nodes []string) (string, active.Document, error) {
	var latest active.Document
	var latestNode string
	var lastErr error
	for _, node := range nodes {
		document, err := client.Config(ctx, node)
		if err != nil {
			lastErr = err
			continue
		}
		if latestNode == "" || document.Generation > latest.Generation {
			latest, latestNode = document, node
		}
	}
	if latestNode == "" {
		return "", latest, fmt.Errorf("no node answers, name one with --node: %w", lastErr)
	}
	return latestNode, latest, nil
}

func printPlan(c *cli.Command, document active.Document, set *specs.Set) error {
	var before *specs.Set
	if document.Generation > 0 {
		parsed, err := specs.Parse(document.SpecFiles())
		if err != nil {
			return fmt.Errorf("parsing generation %d: %w", document.Generation, err)
		}
		before = parsed
	}
	changes := specs.Diff(before, set)
	out := c.Root().Writer
	for _, change := range changes {
		if _, err := fmt.Fprintln(out, change); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(out, "%d changes against generation %d\n", len(changes), document.Generation)
	return err
}
