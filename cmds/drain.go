package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/currantloft/currantloft/caller"
)

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "stop nodes gracefully, or send no new work to an endpoint",
		Flags: []cli.Flag{
			nodesFlag(),
			&cli.StringFlag{Name: "endpoint", Usage: "`NAME` of an endpoint to drain in place of a node"},
			&cli.BoolFlag{Name: "undo", Usage: "send work to the endpoint again"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			nodes := c.StringSlice("node")
			client := caller.New(nodes, "")
			defer client.Close()
			if endpoint := c.String("endpoint"); endpoint != "" {
				return drainEndpoint(ctx, c, client, nodes, endpoint)
			}
			for _, node := range nodes {
				if err := client.Drain(ctx, node); err != nil {
					return fmt.Errorf("draining %s: %w", node, err)
				}
				if _, err := fmt.Fprintln(c.Root().Writer, node, "is leaving"); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// drainEndpoint marks the endpoint as leaving, or with --undo as no longer
// leaving, at the first node that answers. That node notifies its peers.
func drainEndpoint(
	ctx context.Context, c *cli.Command, client *caller.Client, nodes []string, endpoint string,
) (err error) {
	for _, node := range nodes {
		if err = client.MarkEndpoint(ctx, node, endpoint, !c.Bool("undo")); err == nil {
			_, err = fmt.Fprintf(c.Root().Writer, "endpoint %s is marked\n", endpoint)
			return err
		}
	}
	return fmt.Errorf("marking endpoint %s: %w", endpoint, err)
}
