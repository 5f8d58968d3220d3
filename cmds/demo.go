package cmds

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/currantloft/currantloft/demo"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run nodes, a quote service and two trainers against fakes in this process",
		Action: func(ctx context.Context, c *cli.Command) error {
			return demo.Run(ctx, c.Root().Writer)
		},
	}
}
