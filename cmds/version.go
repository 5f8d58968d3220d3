package cmds

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// Version is the version of the upcoming release.
const Version = "0.1.0"

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			revision := "unknown revision"
			if info, ok := debug.ReadBuildInfo(); ok {
				for _, setting := range info.Settings {
					if setting.Key == "vcs.revision" {
						revision = setting.Value
					}
				}
			}
			_, err := fmt.Fprintf(c.Root().Writer, "currantloft %s (%s)\n", Version, revision)
			return err
		},
	}
}
