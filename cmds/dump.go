package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/currantloft/currantloft/caller"
)

func dumpCommand() *cli.Command {
	return &cli.Command{
		Name:  "dump",
		Usage: "print the state of a node as JSON",
		Flags: []cli.Flag{nodesFlag()},
		Action: func(ctx context.Context, c *cli.Command) error {
			client := caller.New(c.StringSlice("node"), "")
			defer client.Close()
			for _, node := range c.StringSlice("node") {
				state, err := client.Dump(ctx, node)
				if err != nil {
					return fmt.Errorf("requesting the state of %s: %w", node, err)
				}
				var pretty bytes.Buffer
				if err := json.Indent(&pretty, state, "", "  "); err != nil {
					return fmt.Errorf("reading the state of %s: %w", node, err)
				}
				if _, err := fmt.Fprintln(c.Root().Writer, pretty.String()); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
