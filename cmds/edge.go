package cmds

import (
	"context"
	"os"
	"sync"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/edge"
	"github.com/currantloft/currantloft/platform"
	"github.com/currantloft/currantloft/setup"
)

// hostProcess is the process of a host on the prepared platform.
type hostProcess interface {
	// Run runs until the context ends, then stops gracefully.
	Run(ctx context.Context) error
	// Reload applies changed settings.
	Reload(settings *setup.Host)
}

func edgeCommand(received *Signals) *cli.Command {
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
			return runOnHost(ctx, c, received, platform.RoleEdge, func(settings *setup.Host, logger *zap.Logger) hostProcess {
				return edge.New(settings, edge.Options{
					AdminPort: c.Int("admin-port"), Policy: policy, OrderEndpoints: c.Bool("order-endpoints"),
				}, logger)
			})
		},
	}
}

func storeCommand(received *Signals) *cli.Command {
	return &cli.Command{
		Name:  "store",
		Usage: "run the process of a storage host on the prepared platform",
		Flags: hostFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			return runOnHost(ctx, c, received, platform.RoleStorage, func(settings *setup.Host, logger *zap.Logger) hostProcess {
				return edge.NewStorage(settings, logger)
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

// runOnHost loads the platform's settings and runs a host's process with them. Signals and
// changes of the settings are handled until the process has stopped.
func runOnHost(
	ctx context.Context, c *cli.Command, received *Signals, role platform.Role, newProcess func(*setup.Host, *zap.Logger) hostProcess,
) error {
	path := c.String("settings")
	settings, err := platform.LoadSettings(path, role)
	if err != nil {
		return &exitError{code: ExitFindings, cause: err}
	}
	logger, closer, err := newHostLogger(os.Stdout, c.String("log-level"))
	if err != nil {
		return usageError("log-level: %w", err)
	}
	defer closer.Close()
	process := newProcess(settings, logger)
	logStop(ctx, logger)
	watchCtx, stopWatch := context.WithCancel(context.WithoutCancel(ctx))
	var watch sync.WaitGroup
	watch.Go(func() { watchSettings(watchCtx, path, role, received.hangups, logger, process.Reload) })
	defer watch.Wait()
	defer stopWatch()
	return process.Run(ctx)
}
