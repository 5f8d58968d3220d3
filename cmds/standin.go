package cmds

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/currantloft/currantloft/fakes/depot"
	"github.com/currantloft/currantloft/fakes/model"
	"github.com/currantloft/currantloft/fakes/objapi"
	"github.com/currantloft/currantloft/fakes/plain"
	"github.com/currantloft/currantloft/fakes/score"
)

// fakeServer is a running fake of an external system.
type fakeServer interface {
	URL() string
	Close()
}

func fakeCommand() *cli.Command {
	return &cli.Command{
		Name:      "standin",
		Hidden:    true,
		Usage:     "run a fake of an external system, for tests",
		ArgsUsage: "platform|engine|plain|scorer|depot",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS`"},
			&cli.DurationFlag{Name: "delay", Value: time.Millisecond, Usage: "duration of one request"},
			&cli.Uint64Flag{Name: "version", Value: 1, Usage: "first weight version of an engine"},
			&cli.DurationFlag{Name: "token", Value: time.Millisecond, Usage: "duration of one decoding step"},
			&cli.IntFlag{Name: "batch", Value: 8, Usage: "number of streams that decode at once"},
			&cli.IntFlag{Name: "chunk", Value: 4, Usage: "number of tokens in one line of a stream"},
			&cli.IntFlag{Name: "stragglers", Usage: "`PERCENT` of streams that are ten times slower"},
			&cli.BoolFlag{Name: "fixed-length", Usage: "answers are as long as the request allows"},
			&cli.BoolFlag{Name: "ignore-fence", Usage: "accept orders with old fencing tokens"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			running, err := startFake(c)
			if err != nil {
				return err
			}
			defer running.Close()
			if _, err := fmt.Fprintln(c.Root().Writer, running.URL()); err != nil {
				return err
			}
			<-ctx.Done()
			return nil
		},
	}
}

func startFake(c *cli.Command) (fakeServer, error) {
	listen, delay := c.String("listen"), c.Duration("delay")
	switch kind := c.Args().First(); kind {
	case "platform":
		return objapi.Start(listen)
	case "engine":
		return model.Start(listen, model.Options{
			Version:          c.Uint64("version"),
			TokenTime:        c.Duration("token"),
			BatchSize:        c.Int("batch"),
			ChunkTokens:      c.Int("chunk"),
			IgnoreFence:      c.Bool("ignore-fence"),
			StragglerPercent: c.Int("stragglers"),
			FixedLength:      c.Bool("fixed-length"),
		})
	case "plain":
		return plain.Start(listen, delay)
	case "scorer":
		return score.Start(listen, delay)
	case "depot":
		return depot.Start(listen, float64(c.Int("batch")), delay)
	default:
		return nil, usageError("unknown kind of fake %q", kind)
	}
}
