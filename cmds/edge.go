package cmds

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/edge"
	"github.com/currantloft/currantloft/platform"
	"github.com/currantloft/currantloft/setup"
)

func edgeCommand() *cli.Command {
	return &cli.Command{
		Name:  "edge",
		Usage: "run one node on the prepared platform until SIGTERM, then stop gracefully",
		Flags: append(hostFlags(), &cli.IntFlag{
			Name: "admin-port", Usage: "`PORT` that serves metrics, status and dump, 0 for none",
		}, &cli.StringFlag{
			Name: "policy", Value: edge.DefaultPolicy,
			Usage: "`POLICY` that places items and versions, for comparisons: " + edge.PolicyNames(),
		}, &cli.BoolFlag{
			Name: "order-endpoints", Usage: "order endpoints by demand where the settings name that duty",
		}),
		Action: func(ctx context.Context, c *cli.Command) error {
			policy, err := edge.PolicyByName(c.String("policy"))
			if err != nil {
				return usageError("policy: %w", err)
			}
			return runOnHost(c, platform.RoleEdge, func(settings *setup.Host, logger *zap.Logger) error {
				e := edge.New(settings, edge.Options{
					AdminPort: c.Int("admin-port"), Policy: policy, OrderEndpoints: c.Bool("order-endpoints"),
				}, logger)
				go watchSettings(ctx, c.String("settings"), platform.RoleEdge, logger, e.Reload)
				return e.Run(ctx)
			})
		},
	}
}

func storeCommand() *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run the process of a storage host on the prepared platform",
		Flags: hostFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return runOnHost(c, platform.RoleStorage, func(settings *setup.Host, logger *zap.Logger) error {
				s := edge.NewStorage(settings, logger)
				go watchSettings(ctx, c.String("settings"), platform.RoleStorage, logger, s.Reload)
				return s.Run(ctx)
			})
		},
	}
}

func hostFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: "settings", Usage: "the platform's settings `FILE`", Sources: cli.EnvVars(platform.SettingsVariable),
			Required: true,
		},
		&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
	}
}

// runOnHost loads the platform's settings and runs a host's process with them.
func runOnHost(c *cli.Command, role platform.Role, run func(*setup.Host, *zap.Logger) error) error {
	settings, err := platform.LoadSettings(c.String("settings"), role)
	if err != nil {
		return &exitError{code: ExitFindings, cause: err}
	}
	logger, closer, err := newHostLogger(os.Stdout, c.String("log-level"))
	if err != nil {
		return usageError("log-level: %w", err)
	}
	defer closer.Close()
	return run(settings, logger)
}
