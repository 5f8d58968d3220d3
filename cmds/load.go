package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/currantloft/currantloft/loads"
)

const defaultLoadTime = 10 * time.Second

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "put load on running nodes and report latency, idle time and staleness",
		Flags: []cli.Flag{
			nodesFlag(),
			&cli.DurationFlag{Name: "duration", Value: defaultLoadTime, Usage: "how long to begin new work"},
			&cli.StringFlag{Name: "service", Usage: "model service that callers ask"},
			&cli.FloatFlag{Name: "rate", Value: 50, Usage: "callers' requests a second, open loop"},
			&cli.IntFlag{Name: "tokens", Value: 64, Usage: "most tokens of an answer"},
			&cli.IntFlag{Name: "prompts", Value: 100, Usage: "different prompts of callers"},
			&cli.DurationFlag{Name: "timeout", Usage: "limit of a caller's request; the service's own without it"},
			&cli.StringSliceFlag{Name: "trainer", Usage: "`NAME` of a trainer job to take steps for, may be repeated"},
			&cli.Uint64Flag{Name: "first-step", Value: 1, Usage: "number of the trainers' first step"},
			&cli.IntFlag{Name: "groups", Value: 16, Usage: "groups of a step"},
			&cli.IntFlag{Name: "samples", Value: 4, Usage: "declared samples of a group"},
			&cli.DurationFlag{Name: "think", Usage: "how long a trainer works between two steps"},
			&cli.StringSliceFlag{Name: "direct", Usage: "`URL` of an engine: send there at random, as the baseline"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			report, err := loads.Run(ctx, loadPlan(c))
			if err != nil {
				return fmt.Errorf("putting load on: %w", err)
			}
			if c.Bool("json") {
				return report.WriteJSON(c.Root().Writer)
			}
			return report.WriteTable(c.Root().Writer)
		},
	}
}

func loadPlan(c *cli.Command) loads.Plan {
	plan := loads.Plan{
		Nodes:    c.StringSlice("node"),
		Duration: c.Duration("duration"),
		Direct:   c.StringSlice("direct"),
		Seed:     c.Uint64("seed"),
	}
	if c.String("service") != "" {
		plan.Callers = &loads.Callers{
			Service:   c.String("service"),
			PerSecond: c.Float("rate"),
			MaxTokens: c.Int("tokens"),
			Prompts:   c.Int("prompts"),
			Timeout:   c.Duration("timeout"),
		}
	}
	for _, name := range c.StringSlice("trainer") {
		plan.Trainers = append(plan.Trainers, loads.Trainer{
			Name:      name,
			FirstStep: c.Uint64("first-step"),
			Groups:    c.Int("groups"),
			Samples:   c.Int("samples"),
			MaxTokens: c.Int("tokens"),
			Think:     c.Duration("think"),
		})
	}
	return plan
}
