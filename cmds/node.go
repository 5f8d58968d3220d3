package cmds

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/currantloft/currantloft/node"
	"github.com/currantloft/currantloft/setup"
)

func nodeCommand(received *Signals) *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run one node until SIGTERM, then stop gracefully",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Usage: "settings `FILE`", Required: true},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := setup.Load(c.String("config"))
			if err != nil {
				return &exitError{code: ExitFindings, cause: err}
			}
			logger, err := newLogger(settings.LogLevel())
			if err != nil {
				return usageError("node.log_level: %w", err)
			}
			defer func() { _ = logger.Sync() }()
			n, err := node.New(settings, logger)
			if err != nil {
				return err
			}
			logStop(ctx, logger)
			go received.logHangups(ctx, logger)
			return n.Run(ctx)
		},
	}
}

// newLogger returns a logger that writes JSON lines to stderr.
func newLogger(level string) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	if err := config.Level.UnmarshalText([]byte(level)); err != nil {
		return nil, fmt.Errorf("want debug, info, warn or error: %w", err)
	}
	config.DisableCaller = true
	config.DisableStacktrace = true
	config.Sampling = nil
	return config.Build()
}
