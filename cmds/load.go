package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/currantloft/currantloft/loads"
)

const defaultLoadDuration = 10 * time.Second

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "generate load on running nodes and report latency, idle time and staleness",
		Flags: []cli.Flag{
			nodesFlag(),
			&cli.DurationFlag{Name: "duration", Value: defaultLoadDuration, Usage: "how long to start new work"},
			&cli.StringFlag{Name: "service", Usage: "model service that callers send requests to"},
			&cli.FloatFlag{Name: "rate", Value: 50, Usage: "callers' requests per second, open loop"},
			&cli.IntFlag{Name: "tokens", Value: 64, Usage: "maximum number of tokens in an answer"},
			&cli.IntFlag{Name: "prompts", Value: 100, Usage: "number of different prompts of callers"},
			&cli.DurationFlag{Name: "timeout", Usage: "time limit of a caller's request, 0 for that of the service"},
			&cli.StringSliceFlag{Name: "trainer", Usage: "`NAME` of a trainer to request steps for, may be repeated"},
			&cli.Uint64Flag{Name: "first-step", Value: 1, Usage: "number of the trainers' first step"},
			&cli.IntFlag{Name: "groups", Value: 16, Usage: "number of groups in a step"},
			&cli.IntFlag{Name: "samples", Value: 4, Usage: "declared number of samples in a group"},
			&cli.DurationFlag{Name: "think", Usage: "how long a trainer works on a step before it requests the next one"},
			&cli.StringSliceFlag{Name: "direct", Usage: "`URL` of an engine to send requests to directly, at random, as the baseline; may be repeated"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "random seed of the arrivals"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			report, err := loads.Run(ctx, loadPlan(c))
			if err != nil {
				return fmt.Errorf("generating load: %w", err)
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
			Rate:      c.Float("rate"),
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
			ThinkTime: c.Duration("think"),
		})
	}
	return plan
}
